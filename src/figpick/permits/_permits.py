"""Permits: how many requests each calling node may have in flight."""

from itertools import count
from typing import NamedTuple

from ._division import (
    IMPORTANCE_COUNT,
    CallerAllocation,
    Demand,
    divide,
    grant_free_permits,
    recall_permits,
)

LEASE_S = 5.0


class Usage(NamedTuple):
    """Use of permits that a calling node reports to the owner.

    :param number: number of the message; the owner ignores older ones.
    :param incarnation: incarnation of the owner that sent the newest known grant.
    :param sequence: sequence number of that grant.
    :param held: permits that the calling node may use under that grant.
    :param in_use: requests of the calling node in flight.
    :param demand: :class:`Demand`.
    """

    number: int
    incarnation: int
    sequence: int
    held: int
    in_use: int
    demand: Demand


class Grant(NamedTuple):
    """Number of permits that the owner of an upstream grants to a calling node.

    :param permits: maximum number of requests in flight.
    :param incarnation: incarnation of the owner.
    :param sequence: number of the grant within the incarnation.
    :param lease_s: seconds for which the grant is valid, from the time at which the
        calling node sent its request; 0 in a push, which does not extend the lease.
    """

    permits: int
    incarnation: int
    sequence: int
    lease_s: float

    @property
    def order(self):
        """Position among the grants of an owner; older ones are ignored."""
        return self.incarnation, self.sequence


class PermitPool:
    """Divides the slots of one upstream among calling nodes.

    :param limit: maximum number of requests in flight at the upstream.
    :param incarnation: incarnation of the owner.
    :param started_at: monotonic seconds at the start of the owner.
    """

    def __init__(self, limit, incarnation=0, started_at=None):
        self.limit = limit
        self.incarnation = incarnation
        self._confirm_until = None if started_at is None else started_at + LEASE_S
        self._sequence = count(1)
        self._allocations = {}
        self._confirmed_callers = set()

    @property
    def committed(self):
        """Permits that are granted or in use."""
        return sum(item.committed for item in self._allocations.values())

    @property
    def is_confirming(self):
        """Whether grants of an earlier process of the owner may still be in use."""
        return self._confirm_until is not None

    @property
    def has_shortage(self):
        """Whether a calling node has more requests than granted permits."""
        return any(
            item.granted < item.demand.total for item in self._allocations.values()
        )

    @property
    def can_grant_more(self):
        """Whether a push could grant a calling node more of the permits it requests."""
        has_free = self.committed < self.limit
        return any(
            item.granted < item.demand.total + (item.demand.spare if has_free else 0)
            for item in self._allocations.values()
        )

    def grants(self):
        """Returns the granted permits by calling node."""
        return {caller: item.granted for caller, item in self._allocations.items()}

    def renew(self, caller, usage, now):
        """Renews the allocation of a calling node.

        :param caller: name of the calling node.
        :param usage: :class:`Usage`.
        :param now: monotonic seconds.
        :return: :class:`Grant`.
        """
        self.expire(now)
        allocation = self._allocations.get(caller)
        if allocation is None:
            allocation = self._allocations[caller] = CallerAllocation()
        self._confirmed_callers.add(caller)
        if usage.number <= allocation.usage_number:
            # The message is late: a newer one was already handled.
            order = allocation.pending[-1][0] if allocation.pending else (0, 0)
            return Grant(allocation.granted, *order, 0.0)
        self._record_usage(allocation, usage)
        allocation.demand = usage.demand
        allocation.expires_at = now + LEASE_S
        permits = self._permits_for(caller, allocation, usage)
        return self._grant(allocation, permits, LEASE_S)

    def acknowledge(self, caller, usage, now):
        """Handles the reply of a calling node to a push.

        :param usage: :class:`Usage`.
        :param now: monotonic seconds.
        """
        self.expire(now)
        allocation = self._allocations.get(caller)
        if allocation is not None and usage.number > allocation.usage_number:
            self._record_usage(allocation, usage)
            allocation.demand = usage.demand

    def rebalance(self, now):
        """Moves permits to calling nodes with more important waiting requests.

        :param now: monotonic seconds.
        :return: list of pairs of calling node and :class:`Grant`, to be pushed.
        """
        self.expire(now)
        if self.is_confirming or not (
            self.can_grant_more or self.committed > self.limit
        ):
            return []
        targets = self._targets()
        old_permits = {
            caller: item.granted for caller, item in self._allocations.items()
        }
        new_permits = dict(old_permits)
        if self.committed > self.limit:
            new_permits = {
                caller: min(new_permits[caller], targets[caller])
                for caller in new_permits
            }
        else:
            grant_free_permits(
                self._allocations,
                new_permits,
                targets,
                self.limit - self.committed,
                now,
            )
            recall_permits(self._allocations, new_permits, old_permits, targets)
        return [
            (caller, self._grant(self._allocations[caller], permits, 0.0))
            for caller, permits in new_permits.items()
            if permits != old_permits[caller]
        ]

    def confirm_members(self, names):
        """Ends the confirmation after a start once every node has renewed its permits.

        :param names: names of the nodes that may hold grants.
        """
        if self.is_confirming and self._confirmed_callers.issuperset(names):
            self._confirm_until = None

    def expire(self, now):
        """Frees the permits of expired leases.

        :param now: monotonic seconds.
        """
        if self._confirm_until is not None and now >= self._confirm_until:
            self._confirm_until = None
        ended = [
            caller
            for caller, allocation in self._allocations.items()
            if allocation.expires_at <= now
        ]
        for caller in ended:
            del self._allocations[caller]

    def _record_usage(self, allocation, usage):
        allocation.usage_number = usage.number
        allocation.in_use = usage.in_use
        order = (usage.incarnation, usage.sequence)
        later = [item for item in allocation.pending if item[0] > order]
        # The calling node may hold fewer permits than granted, or permits from an
        # earlier process of the owner.
        allocation.pending = [(order, usage.held), *later]
        allocation.granted = allocation.pending[-1][1]

    def _permits_for(self, caller, allocation, usage):
        others = self.committed - allocation.committed
        free = max(0, self.limit - others)
        if self.is_confirming:
            return min(usage.held, free)
        demand = allocation.demand
        if demand.total + demand.spare <= free:
            return demand.total + demand.spare
        # A renewal never recalls permits, since only the reply to a push confirms at
        # once that the calling node has reduced its allocation.
        return min(max(self._targets()[caller], usage.held), free)

    def _targets(self):
        demands = {caller: item.demand for caller, item in self._allocations.items()}
        return divide(self.limit, demands)

    def _grant(self, allocation, permits, lease_s):
        sequence = next(self._sequence)
        allocation.granted = permits
        allocation.pending.append(((self.incarnation, sequence), permits))
        return Grant(permits, self.incarnation, sequence, lease_s)


class PermitCache:
    """Permits that a calling node holds at one upstream."""

    def __init__(self):
        self.granted = 0
        self.in_use = 0
        self.expires_at = 0.0
        self.order = (0, 0)
        self.owner_silent = False
        self.contended = False
        self._by_importance = [0] * IMPORTANCE_COUNT
        self._peaks = [0.0] * IMPORTANCE_COUNT

    @property
    def by_importance(self):
        """Requests in flight, for importance 0 to 9."""
        return tuple(self._by_importance)

    def accept(self, grant, sent_at):
        """Applies a grant unless a newer one is known.

        :param grant: :class:`Grant`.
        :param sent_at: monotonic seconds at which the renewal was sent. The lease is
            counted from then, so that it ends here before it ends at the owner.
        """
        # The clock of a restarted owner, and so its incarnation, may be behind that of
        # its earlier process.
        has_restarted = grant.incarnation < self.order[0] and sent_at >= self.expires_at
        if grant.order > self.order or (has_restarted and grant.lease_s):
            self.order = grant.order
            self.granted = grant.permits
        if grant.lease_s and grant.incarnation == self.order[0]:
            self.expires_at = max(self.expires_at, sent_at + grant.lease_s)

    def is_outdated(self, grant):
        """Returns whether a newer grant of the same process of the owner is known."""
        incarnation, sequence = self.order
        return grant.incarnation == incarnation and grant.sequence < sequence

    def held(self, now):
        """Returns the number of permits that may be used.

        :param now: monotonic seconds.
        """
        if now < self.expires_at:
            return self.granted
        # While the owner is unreachable, each node may still send one request.
        return 1 if self.owner_silent else 0

    def free(self, now):
        """Returns the number of usable permits that are not in use.

        :param now: monotonic seconds.
        """
        return self.held(now) - self.in_use

    def acquire(self, importance=0):
        """Marks one permit as used by a request."""
        self.in_use += 1
        wanted = self._by_importance
        wanted[importance] += 1
        if wanted[importance] > self._peaks[importance]:
            self._peaks[importance] = wanted[importance]

    def release(self, importance=0):
        """Marks one permit as no longer used."""
        self.in_use -= 1
        self._by_importance[importance] -= 1

    def decay_peaks(self, kept_share):
        """Lowers the recent peaks of requests in flight toward the current number.

        :param kept_share: share of the difference to the current number that is kept.
        :return: tuple of the rounded peaks, for importance 0 to 9.
        """
        for importance, present in enumerate(self._by_importance):
            above = self._peaks[importance] - present
            self._peaks[importance] = present + kept_share * above
        return tuple(round(peak) for peak in self._peaks)

    def make_usage(self, number, demand, now):
        """Creates the report to the owner and drops the permits not needed.

        :param number: number of the message.
        :param demand: :class:`Demand`.
        :param now: monotonic seconds.
        :return: :class:`Usage`.
        """
        wanted = demand.total + demand.spare if now < self.expires_at else 0
        # Permits that are not reported as held must not be used, even if a late
        # reply extends the lease.
        self.granted = min(self.granted, wanted)
        return Usage(number, *self.order, self.granted, self.in_use, demand)

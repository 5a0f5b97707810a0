"""Permits: how many requests each calling node may have in flight."""

from itertools import count
from typing import NamedTuple

from ._division import IMPORTANCE_COUNT, Demand, Holding, divide, give, take_back

LEASE_S = 5.0


class Usage(NamedTuple):
    """What a calling node tells the owner.

    :param number: number of the message; the owner ignores older ones.
    :param incarnation: incarnation of the owner that gave the newest grant known.
    :param sequence: sequence of that grant.
    :param held: permits that it may use under that grant.
    :param in_use: requests that it has in flight.
    :param demand: :class:`Demand`.
    """

    number: int
    incarnation: int
    sequence: int
    held: int
    in_use: int
    demand: Demand


class Grant(NamedTuple):
    """An allocation given by the owner of an upstream.

    :param permits: most requests in flight.
    :param incarnation: incarnation of the owner.
    :param sequence: number of the grant within the incarnation.
    :param lease_s: seconds for which the grant holds, counted from the send of
        the request that it answers; 0 in a push, which extends no lease.
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

    :param limit: most requests in flight at the upstream.
    :param incarnation: incarnation of the owner.
    :param started_at: monotonic seconds at the start of the owner.
    """

    def __init__(self, limit, incarnation=0, started_at=None):
        self.limit = limit
        self.incarnation = incarnation
        self._confirm_until = None if started_at is None else started_at + LEASE_S
        self._sequence = count(1)
        self._holdings = {}
        self._seen = set()

    @property
    def committed(self):
        """Permits that are granted or in use."""
        return sum(item.committed for item in self._holdings.values())

    @property
    def confirming(self):
        """Whether grants of an earlier process of the owner may be in use."""
        return self._confirm_until is not None

    @property
    def short(self):
        """Whether requests wait for more permits than are granted."""
        return any(item.granted < item.demand.total for item in self._holdings.values())

    @property
    def movable(self):
        """Whether a push could give a calling node more of what it wants."""
        free = self.committed < self.limit
        return any(
            item.granted < item.demand.total + (item.demand.spare if free else 0)
            for item in self._holdings.values()
        )

    def grants(self):
        """Gives the permits granted, by calling node."""
        return {caller: item.granted for caller, item in self._holdings.items()}

    def renew(self, caller, usage, now):
        """Renews the allocation of a calling node.

        :param caller: name of the calling node.
        :param usage: :class:`Usage`.
        :param now: monotonic seconds.
        :return: :class:`Grant`.
        """
        self.expire(now)
        holding = self._holdings.get(caller)
        if holding is None:
            holding = self._holdings[caller] = Holding()
        self._seen.add(caller)
        if usage.number <= holding.number:
            # A late message; the newer one was answered.
            order = holding.pending[-1][0] if holding.pending else (0, 0)
            return Grant(holding.granted, *order, 0.0)
        self._note(holding, usage)
        holding.demand = usage.demand
        holding.expires_at = now + LEASE_S
        permits = self._allowed(caller, holding, usage)
        return self._grant(holding, permits, LEASE_S)

    def acknowledge(self, caller, usage, now):
        """Takes the answer of a calling node to a push.

        :param usage: :class:`Usage`.
        :param now: monotonic seconds.
        """
        self.expire(now)
        holding = self._holdings.get(caller)
        if holding is not None and usage.number > holding.number:
            self._note(holding, usage)
            holding.demand = usage.demand

    def pushes(self, now):
        """Moves permits from calling nodes that need them less to those waiting.

        :param now: monotonic seconds.
        :return: list of calling node and :class:`Grant`, to send as pushes.
        """
        self.expire(now)
        if self.confirming or not (self.movable or self.committed > self.limit):
            return []
        targets = self._targets()
        before = {caller: item.granted for caller, item in self._holdings.items()}
        after = dict(before)
        if self.committed > self.limit:
            after = {caller: min(after[caller], targets[caller]) for caller in after}
        else:
            give(self._holdings, after, targets, self.limit - self.committed, now)
            take_back(self._holdings, after, before, targets)
        return [
            (caller, self._grant(self._holdings[caller], permits, 0.0))
            for caller, permits in after.items()
            if permits != before[caller]
        ]

    def confirm_members(self, names):
        """Ends the phase after a start once every member has exchanged.

        :param names: names of the nodes that may hold grants.
        """
        if self.confirming and self._seen.issuperset(names):
            self._confirm_until = None

    def expire(self, now):
        """Frees the permits whose lease has ended.

        :param now: monotonic seconds.
        """
        if self._confirm_until is not None and now >= self._confirm_until:
            self._confirm_until = None
        ended = [
            caller
            for caller, holding in self._holdings.items()
            if holding.expires_at <= now
        ]
        for caller in ended:
            del self._holdings[caller]

    def _note(self, holding, usage):
        holding.number = usage.number
        holding.in_use = usage.in_use
        order = (usage.incarnation, usage.sequence)
        later = [item for item in holding.pending if item[0] > order]
        # What is held may be less than granted, or come from an earlier process.
        holding.pending = [(order, usage.held), *later]
        holding.granted = holding.pending[-1][1]

    def _allowed(self, caller, holding, usage):
        others = self.committed - holding.committed
        free = max(0, self.limit - others)
        if self.confirming:
            return min(usage.held, free)
        demand = holding.demand
        if demand.total + demand.spare <= free:
            return demand.total + demand.spare
        # A reply takes nothing back, since only the answer to a push tells at
        # once that the calling node has lowered its allocation.
        return min(max(self._targets()[caller], usage.held), free)

    def _targets(self):
        demands = {caller: item.demand for caller, item in self._holdings.items()}
        return divide(self.limit, demands)

    def _grant(self, holding, permits, lease_s):
        sequence = next(self._sequence)
        holding.granted = permits
        holding.pending.append(((self.incarnation, sequence), permits))
        return Grant(permits, self.incarnation, sequence, lease_s)


class PermitCache:
    """The allocation that a calling node holds at one upstream."""

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
        """Takes a grant unless a newer one is known.

        :param grant: :class:`Grant`.
        :param sent_at: monotonic seconds when the answered request was sent, so
            that the lease ends here before it ends at the owner.
        """
        # The clock of a restarted owner may be behind that of its earlier process.
        restarted = grant.incarnation < self.order[0] and sent_at >= self.expires_at
        if grant.order > self.order or (restarted and grant.lease_s):
            self.order = grant.order
            self.granted = grant.permits
        if grant.lease_s and grant.incarnation == self.order[0]:
            self.expires_at = max(self.expires_at, sent_at + grant.lease_s)

    def held(self, now):
        """Counts the permits that may be used.

        :param now: monotonic seconds.
        """
        if now < self.expires_at:
            return self.granted
        # Without an owner the upstream keeps a little work from each node.
        return 1 if self.owner_silent else 0

    def free(self, now):
        """Counts the permits that are not in use.

        :param now: monotonic seconds.
        """
        return self.held(now) - self.in_use

    def acquire(self, importance=0):
        """Uses one permit."""
        self.in_use += 1
        wanted = self._by_importance
        wanted[importance] += 1
        if wanted[importance] > self._peaks[importance]:
            self._peaks[importance] = wanted[importance]

    def release(self, importance=0):
        """Returns one permit."""
        self.in_use -= 1
        self._by_importance[importance] -= 1

    def decay_peaks(self, keep):
        """Gives the recent peaks of requests in flight by importance.

        :param keep: share of the distance to the present number that is kept.
        """
        for importance, present in enumerate(self._by_importance):
            above = self._peaks[importance] - present
            self._peaks[importance] = present + keep * above
        return tuple(round(peak) for peak in self._peaks)

    def usage(self, number, demand, now):
        """Makes the message to the owner and gives up the permits not wanted.

        :param number: number of the message.
        :param demand: :class:`Demand`.
        :param now: monotonic seconds.
        :return: :class:`Usage`.
        """
        wanted = demand.total + demand.spare if now < self.expires_at else 0
        # What is not reported as held must not be used, even if a late reply
        # extends the lease.
        self.granted = min(self.granted, wanted)
        return Usage(number, *self.order, self.granted, self.in_use, demand)

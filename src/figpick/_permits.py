"""Permits: how many requests each calling node may have in flight."""

from itertools import count
from typing import NamedTuple

LEASE_S = 5.0
IMPORTANCES = 10


class Demand(NamedTuple):
    """Permits that a calling node can use.

    :param by_importance: requests in flight or waiting, for importance 0 to 9.
    :param spare: permits it would like beyond those.
    """

    by_importance: tuple
    spare: int = 0

    @property
    def total(self):
        """Permits for requests that exist, without the spare ones."""
        return sum(self.by_importance)


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


def divide(limit, demands):
    """Divides permits among calling nodes, most important demand first.

    Each calling node with requests gets one permit while permits last. Within
    one importance the rest is divided in proportion to demand.

    :param limit: permits to divide.
    :param demands: dict from calling node to :class:`Demand`.
    :return: dict from calling node to permits.
    """
    shares = dict.fromkeys(demands, 0)
    active = [caller for caller, demand in demands.items() if demand.total]
    active.sort(key=lambda caller: (-_highest(demands[caller]), caller))
    minimum = active[: max(0, limit)]
    shares.update(dict.fromkeys(minimum, 1))
    left = limit - len(minimum)
    credits = dict.fromkeys(minimum, 1)
    for importance in range(IMPORTANCES - 1, -1, -1):
        if left <= 0:
            return shares
        needs = {}
        for caller in active:
            need = demands[caller].by_importance[importance]
            used = min(need, credits.get(caller, 0))
            if used:
                credits[caller] -= used
            if need > used:
                needs[caller] = need - used
        left -= _share(left, needs, shares)
    spare = {caller: demand.spare for caller, demand in demands.items() if demand.spare}
    _share(left, spare, shares)
    return shares


def _highest(demand):
    wanted = demand.by_importance
    return max(index for index in range(IMPORTANCES) if wanted[index])


def _share(left, needs, shares):
    """Adds to the shares what the needs can get; returns the permits given."""
    total = sum(needs.values())
    if left <= 0 or not total:
        return 0
    if total <= left:
        for caller, need in needs.items():
            shares[caller] += need
        return total
    remainders = []
    given = 0
    for caller, need in needs.items():
        whole, remainder = divmod(left * need, total)
        shares[caller] += whole
        given += whole
        remainders.append((-remainder, caller))
    for _, caller in sorted(remainders)[: left - given]:
        shares[caller] += 1
    return left


class _Holding:
    """What the owner knows of one calling node.

    ``pending`` lists the grants that the calling node may be using: the one it
    acknowledged last and all that were sent after it.
    """

    __slots__ = ("number", "granted", "in_use", "demand", "expires_at", "pending")

    def __init__(self):
        self.number = 0
        self.granted = 0
        self.in_use = 0
        self.demand = Demand((0,) * IMPORTANCES)
        self.expires_at = 0.0
        self.pending = []

    @property
    def committed(self):
        """Most requests that the calling node may have in flight."""
        most = max((permits for _, permits in self.pending), default=0)
        return max(most, self.in_use)

    def acknowledge(self, order):
        """Forgets the grants that the calling node has replaced."""
        self.pending = [item for item in self.pending if item[0] >= order]


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

    def grants(self):
        """Gives the permits granted, by calling node."""
        return {caller: item.granted for caller, item in self._holdings.items()}

    def exchange(self, caller, usage, now):
        """Renews the allocation of a calling node.

        :param caller: name of the calling node.
        :param usage: :class:`Usage`.
        :param now: monotonic seconds.
        :return: :class:`Grant`.
        """
        self.expire(now)
        holding = self._holdings.get(caller)
        if holding is None:
            holding = self._holdings[caller] = _Holding()
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
        if self.confirming or not (self.short or self.committed > self.limit):
            return []
        targets = self._targets()
        pushes = []
        for caller, holding in self._holdings.items():
            if targets[caller] < holding.granted:
                pushes.append((caller, self._grant(holding, targets[caller], 0.0)))
        free = self.limit - self.committed
        waiting = [
            (-_highest(item.demand) if item.demand.total else 1, caller)
            for caller, item in self._holdings.items()
            if min(targets[caller], item.demand.total) > item.granted
        ]
        for _, caller in sorted(waiting):
            holding = self._holdings[caller]
            # Permits up to the committed number cost nothing more.
            permits = min(targets[caller], holding.committed + max(0, free))
            if permits > holding.granted:
                free -= max(0, permits - holding.committed)
                pushes.append((caller, self._grant(holding, permits, 0.0)))
        return pushes

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
        if usage.held and all(known != order for known, _ in holding.pending):
            # Granted by an earlier process of this owner.
            holding.pending.append((order, usage.held))
        holding.acknowledge(order)

    def _allowed(self, caller, holding, usage):
        others = self.committed - holding.committed
        free = max(0, self.limit - others)
        if self.confirming:
            return min(usage.held, free)
        demand = holding.demand
        if demand.total + demand.spare <= free:
            return demand.total + demand.spare
        return min(self._targets()[caller], free)

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
        self._by_importance = [0] * IMPORTANCES
        self._peaks = [0.0] * IMPORTANCES

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

    def take(self, importance=0):
        """Uses one permit."""
        self.in_use += 1
        wanted = self._by_importance
        wanted[importance] += 1
        if wanted[importance] > self._peaks[importance]:
            self._peaks[importance] = wanted[importance]

    def give_back(self, importance=0):
        """Returns one permit."""
        self.in_use -= 1
        self._by_importance[importance] -= 1

    def peaks(self, keep):
        """Gives the recent peaks of requests in flight by importance.

        :param keep: share of the distance to the present number that is kept.
        """
        for importance, present in enumerate(self._by_importance):
            above = self._peaks[importance] - present
            self._peaks[importance] = present + keep * above
        return tuple(round(peak) for peak in self._peaks)

    def usage(self, number, demand, now):
        """Makes the message to the owner.

        :param number: number of the message.
        :param demand: :class:`Demand`.
        :param now: monotonic seconds.
        :return: :class:`Usage`.
        """
        held = self.granted if now < self.expires_at else 0
        return Usage(number, *self.order, held, self.in_use, demand)

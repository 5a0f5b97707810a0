"""Permits: how many requests each calling node may have in flight."""

from itertools import count
from typing import NamedTuple

LEASE_S = 5.0
IMPORTANCES = 10
LEAST_MOVE = 2
# So many requests more than permits are missing must be in flight at the calling
# nodes that are asked for theirs, since the one that ends first is not known. The
# first wait is then about an eighth of a service time.
ENDING = 8


class Demand(NamedTuple):
    """Permits that a calling node can use.

    :param by_importance: requests in flight or waiting, for importance 0 to 9.
    :param spare: permits it would like beyond those.
    :param waiting: requests that wait for a permit, for importance 0 to 9.
    """

    by_importance: tuple
    spare: int = 0
    waiting: tuple = (0,) * IMPORTANCES

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

    Within one importance each calling node gets one permit while permits last,
    and the rest is divided in proportion to demand. A minimum across importances
    would leave important requests waiting where permits are fewer than nodes.

    :param limit: permits to divide.
    :param demands: dict from calling node to :class:`Demand`.
    :return: dict from calling node to permits.
    """
    shares = dict.fromkeys(demands, 0)
    left = limit
    for importance in range(IMPORTANCES - 1, -1, -1):
        if left <= 0:
            return shares
        needs = {
            caller: demand.by_importance[importance]
            for caller, demand in demands.items()
            if demand.by_importance[importance]
        }
        left -= _share(left, needs, shares)
    spare = {caller: demand.spare for caller, demand in demands.items() if demand.spare}
    _share(left, spare, shares)
    return shares


def highest(demand):
    """Gives the highest importance among the requests of a demand, or -1."""
    wanted = demand.by_importance
    return max((index for index in range(IMPORTANCES) if wanted[index]), default=-1)


def _share(left, needs, shares):
    """Adds to the shares what the needs can get; returns the permits given."""
    total = sum(needs.values())
    if left <= 0 or not total:
        return 0
    if total <= left:
        for caller, need in needs.items():
            shares[caller] += need
        return total
    minimum = [caller for caller in needs if not shares[caller]][:left]
    for caller in minimum:
        shares[caller] += 1
    rest = left - len(minimum)
    total -= len(minimum)
    remainders = []
    given = 0
    for caller, need in needs.items():
        need -= caller in minimum
        whole, remainder = divmod(rest * need, total)
        shares[caller] += whole
        given += whole
        remainders.append((-remainder, caller))
    for _, caller in sorted(remainders)[: rest - given]:
        shares[caller] += 1
    return left


class _Holding:
    """What the owner knows of one calling node.

    ``pending`` lists the grants that the calling node may be using: the one it
    acknowledged last and all that were sent after it.
    """

    __slots__ = (
        "number",
        "granted",
        "in_use",
        "demand",
        "expires_at",
        "pending",
        "met_at",
    )

    def __init__(self):
        self.number = 0
        self.granted = 0
        self.in_use = 0
        self.demand = Demand((0,) * IMPORTANCES)
        self.expires_at = 0.0
        self.pending = []
        self.met_at = 0.0

    @property
    def committed(self):
        """Most requests that the calling node may have in flight."""
        most = max((permits for _, permits in self.pending), default=0)
        return max(most, self.in_use)

    def next_waiting(self, granted):
        """Gives the importance of the request that one more permit would serve.

        Requests in flight are not interrupted, so only waiting ones count.

        :param granted: permits that the calling node has.
        :return: importance, or -1 when none waits.
        """
        served = max(0, granted - self.in_use)
        for importance in range(IMPORTANCES - 1, -1, -1):
            served -= self.demand.waiting[importance]
            if served < 0:
                return importance
        return -1


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
        if self.confirming or not (self.movable or self.committed > self.limit):
            return []
        targets = self._targets()
        before = {caller: item.granted for caller, item in self._holdings.items()}
        after = dict(before)
        if self.committed > self.limit:
            after = {caller: min(after[caller], targets[caller]) for caller in after}
        else:
            self._raise(after, targets, now)
            self._recall(after, before, targets)
        return [
            (caller, self._grant(self._holdings[caller], permits, 0.0))
            for caller, permits in after.items()
            if permits != before[caller]
        ]

    def _raise(self, after, targets, now):
        """Gives free permits to the most important waiting requests."""
        free = self.limit - self.committed
        while True:
            order = [
                # A permit that was just recalled must not go straight back, and
                # within one importance the farthest below its share is first.
                (
                    -item.next_waiting(after[caller]),
                    item.committed > item.granted,
                    after[caller] - targets[caller],
                    item.met_at,
                    caller,
                )
                for caller, item in self._holdings.items()
                if item.next_waiting(after[caller]) >= 0
                or after[caller] < targets[caller]
            ]
            if not order:
                return
            caller = min(order)[-1]
            holding = self._holdings[caller]
            if after[caller] >= holding.committed:
                if free <= 0:
                    return
                free -= 1
            after[caller] += 1
            holding.met_at = now

    def _recall(self, after, before, targets):
        """Takes back permits for more important requests that still wait."""
        waiting = {
            caller: item.next_waiting(after[caller])
            for caller, item in self._holdings.items()
        }
        wanted = max(waiting.values(), default=-1)
        if wanted < 0:
            return
        missing = sum(
            self._holdings[caller].demand.waiting[wanted]
            for caller, importance in waiting.items()
            if importance == wanted
        )
        # Any request in flight at a calling node that was asked may free a permit.
        ending = sum(
            item.in_use
            for caller, item in self._holdings.items()
            if item.committed > after[caller]
        )
        for importance, surplus, caller in sorted(
            (waiting[caller], targets[caller] - after[caller], caller)
            for caller in after
            if after[caller] and after[caller] == before[caller]
        ):
            holding = self._holdings[caller]
            if after[caller] > holding.demand.total:
                after[caller] = holding.demand.total
            elif importance > wanted or ending >= ENDING + missing:
                return
            elif importance < wanted or -surplus >= LEAST_MOVE:
                if holding.committed == holding.granted:
                    ending += max(1, holding.in_use)
                after[caller] -= 1

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

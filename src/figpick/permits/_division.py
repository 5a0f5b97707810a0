"""Division of the permits of one upstream among calling nodes, and their moves."""

from typing import NamedTuple

IMPORTANCE_COUNT = 10
LEAST_MOVE = 2
# So many requests more than permits are missing must be in flight at the calling
# nodes that are asked for theirs, since the one that ends first is not known; more
# for a more important request. For importance 9 the first wait is then about a
# ninth of a service time.
LEAST_ENDING = 2


class Demand(NamedTuple):
    """Permits that a calling node can use.

    :param by_importance: requests in flight or waiting, for importance 0 to 9.
    :param spare: permits it would like beyond those.
    :param waiting: requests that wait for a permit, for importance 0 to 9.
    """

    by_importance: tuple
    spare: int = 0
    waiting: tuple = (0,) * IMPORTANCE_COUNT

    @property
    def total(self):
        """Permits for requests that exist, without the spare ones."""
        return sum(self.by_importance)


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
    for importance in range(IMPORTANCE_COUNT - 1, -1, -1):
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
    return max(
        (index for index in range(IMPORTANCE_COUNT) if wanted[index]), default=-1
    )


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


class Holding:
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
        self.demand = Demand((0,) * IMPORTANCE_COUNT)
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
        for importance in range(IMPORTANCE_COUNT - 1, -1, -1):
            served -= self.demand.waiting[importance]
            if served < 0:
                return importance
        return -1


def give(holdings, after, targets, free, now):
    """Gives free permits to the most important waiting requests.

    :param holdings: dict from calling node to :class:`Holding`.
    :param after: permits by calling node; raised in place.
    :param targets: permits by calling node after an even division.
    :param free: permits that nobody has.
    :param now: monotonic seconds.
    """
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
            for caller, item in holdings.items()
            if item.next_waiting(after[caller]) >= 0 or after[caller] < targets[caller]
        ]
        if not order:
            return
        caller = min(order)[-1]
        holding = holdings[caller]
        if after[caller] >= holding.committed:
            if free <= 0:
                return
            free -= 1
        after[caller] += 1
        holding.met_at = now


def take_back(holdings, after, before, targets):
    """Takes back permits for more important requests that still wait.

    :param holdings: dict from calling node to :class:`Holding`.
    :param after: permits by calling node; lowered in place.
    :param before: permits by calling node before this round.
    :param targets: permits by calling node after an even division.
    """
    waiting = {
        caller: item.next_waiting(after[caller]) for caller, item in holdings.items()
    }
    wanted = max(waiting.values(), default=-1)
    if wanted < 0:
        return
    missing = sum(
        holdings[caller].demand.waiting[wanted]
        for caller, importance in waiting.items()
        if importance == wanted
    )
    # Any request in flight at a calling node that was asked may free a permit.
    ending = sum(
        item.in_use
        for caller, item in holdings.items()
        if item.committed > after[caller]
    )
    for importance, surplus, caller in sorted(
        (waiting[caller], targets[caller] - after[caller], caller)
        for caller in after
        if after[caller] and after[caller] == before[caller]
    ):
        holding = holdings[caller]
        if after[caller] > holding.demand.total:
            after[caller] = holding.demand.total
        elif importance > wanted or ending >= max(LEAST_ENDING, wanted) + missing:
            return
        elif importance < wanted or -surplus >= LEAST_MOVE:
            if holding.committed == holding.granted:
                ending += max(1, holding.in_use)
            after[caller] -= 1

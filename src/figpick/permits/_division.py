"""Divides the permits of one upstream among calling nodes and moves them."""

from typing import NamedTuple

IMPORTANCE_COUNT = 10
# A permit is recalled for a request of equal importance only from a calling node
# that has at least this many permits above its share.
MIN_RECALLED_SURPLUS = 2
# Since it is not known which request ends first, permits are recalled until the calling
# nodes concerned have this many more requests in flight than permits are missing. The
# importance of the waiting requests is used instead if it is greater, so that more
# important requests wait less: at importance 9 the first wait is about a ninth of a
# service time.
MIN_EXTRA_IN_FLIGHT = 2


class Demand(NamedTuple):
    """Number of permits that a calling node can use.

    :param by_importance: requests in flight or waiting, for importance 0 to 9.
    :param spare: permits requested in addition, for requests to come.
    :param waiting: requests that wait for a permit, for importance 0 to 9.
    """

    by_importance: tuple
    spare: int = 0
    waiting: tuple = (0,) * IMPORTANCE_COUNT

    @property
    def total(self):
        """Permits for existing requests, without the spare ones."""
        return sum(self.by_importance)


def divide(limit, demands):
    """Divides permits among calling nodes, most important demand first.

    Within one importance each calling node first gets one permit while permits
    remain, and the rest is divided in proportion to demand. A minimum per node across
    all importances would leave important requests waiting when there are fewer
    permits than nodes.

    :param limit: permits to divide.
    :param demands: dict from calling node to :class:`Demand`.
    :return: dict from calling node to permits.
    """
    shares = dict.fromkeys(demands, 0)
    remaining = limit
    for importance in range(IMPORTANCE_COUNT - 1, -1, -1):
        if remaining <= 0:
            return shares
        needs = {
            caller: demand.by_importance[importance]
            for caller, demand in demands.items()
            if demand.by_importance[importance]
        }
        remaining -= _distribute(remaining, needs, shares)
    spare = {caller: demand.spare for caller, demand in demands.items() if demand.spare}
    _distribute(remaining, spare, shares)
    return shares


def highest_importance(demand):
    """Returns the highest importance among the requests of a demand, or -1."""
    wanted = demand.by_importance
    return max(
        (index for index in range(IMPORTANCE_COUNT) if wanted[index]), default=-1
    )


def _distribute(remaining, needs, shares):
    """Adds permits to the shares by need and returns the number distributed."""
    total = sum(needs.values())
    if remaining <= 0 or not total:
        return 0
    if total <= remaining:
        for caller, need in needs.items():
            shares[caller] += need
        return total
    minimum = [caller for caller in needs if not shares[caller]][:remaining]
    for caller in minimum:
        shares[caller] += 1
    rest = remaining - len(minimum)
    total -= len(minimum)
    remainders = []
    distributed = 0
    for caller, need in needs.items():
        need -= caller in minimum
        whole, remainder = divmod(rest * need, total)
        shares[caller] += whole
        distributed += whole
        remainders.append((-remainder, caller))
    for _, caller in sorted(remainders)[: rest - distributed]:
        shares[caller] += 1
    return remaining


class CallerAllocation:
    """Permits and demand of one calling node, as known to the owner.

    ``pending`` lists the grants that the calling node may be using: the last one it
    acknowledged and all those sent later.
    """

    __slots__ = (
        "usage_number",
        "granted",
        "in_use",
        "demand",
        "expires_at",
        "pending",
        "last_granted_at",
    )

    def __init__(self):
        self.usage_number = 0
        self.granted = 0
        self.in_use = 0
        self.demand = Demand((0,) * IMPORTANCE_COUNT)
        self.expires_at = 0.0
        self.pending = []
        self.last_granted_at = 0.0

    @property
    def committed(self):
        """Maximum number of requests that the calling node may have in flight."""
        largest = max((permits for _, permits in self.pending), default=0)
        return max(largest, self.in_use)

    def next_waiting_importance(self, granted):
        """Returns the importance of the request that one more permit would serve.

        Requests in flight are not interrupted, so only waiting ones count.

        :param granted: permits granted to the calling node.
        :return: importance, or -1 if no waiting request would be served.
        """
        served = max(0, granted - self.in_use)
        for importance in range(IMPORTANCE_COUNT - 1, -1, -1):
            served -= self.demand.waiting[importance]
            if served < 0:
                return importance
        return -1


def grant_free_permits(allocations, new_permits, targets, free, now):
    """Grants free permits to the most important waiting requests.

    :param allocations: dict from calling node to :class:`CallerAllocation`.
    :param new_permits: permits by calling node; increased in place.
    :param targets: permits by calling node according to :func:`divide`.
    :param free: permits that are not granted or in use.
    :param now: monotonic seconds.
    """
    while True:
        order = [
            # A permit that was just recalled must not return to the same node at once.
            # Within one importance the node farthest below its share is first.
            (
                -item.next_waiting_importance(new_permits[caller]),
                item.committed > item.granted,
                new_permits[caller] - targets[caller],
                item.last_granted_at,
                caller,
            )
            for caller, item in allocations.items()
            if item.next_waiting_importance(new_permits[caller]) >= 0
            or new_permits[caller] < targets[caller]
        ]
        if not order:
            return
        caller = min(order)[-1]
        allocation = allocations[caller]
        if new_permits[caller] >= allocation.committed:
            if free <= 0:
                return
            free -= 1
        new_permits[caller] += 1
        allocation.last_granted_at = now


def recall_permits(allocations, new_permits, old_permits, targets):
    """Recalls permits for more important requests that still wait.

    :param allocations: dict from calling node to :class:`CallerAllocation`.
    :param new_permits: permits by calling node; reduced in place.
    :param old_permits: permits by calling node before this round.
    :param targets: permits by calling node according to :func:`divide`.
    """
    waiting = {
        caller: item.next_waiting_importance(new_permits[caller])
        for caller, item in allocations.items()
    }
    wanted_importance = max(waiting.values(), default=-1)
    if wanted_importance < 0:
        return
    missing = sum(
        allocations[caller].demand.waiting[wanted_importance]
        for caller, importance in waiting.items()
        if importance == wanted_importance
    )
    # Each request in flight at a calling node with a pending recall may free a permit.
    in_flight = sum(
        item.in_use
        for caller, item in allocations.items()
        if item.committed > new_permits[caller]
    )
    for importance, deficit, caller in sorted(
        (waiting[caller], targets[caller] - new_permits[caller], caller)
        for caller in new_permits
        if new_permits[caller] and new_permits[caller] == old_permits[caller]
    ):
        allocation = allocations[caller]
        if new_permits[caller] > allocation.demand.total:
            new_permits[caller] = allocation.demand.total
        elif (
            importance > wanted_importance
            or in_flight >= max(MIN_EXTRA_IN_FLIGHT, wanted_importance) + missing
        ):
            return
        elif importance < wanted_importance or -deficit >= MIN_RECALLED_SURPLUS:
            if allocation.committed == allocation.granted:
                in_flight += max(1, allocation.in_use)
            new_permits[caller] -= 1

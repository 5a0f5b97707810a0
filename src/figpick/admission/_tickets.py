"""One call before or in a slot, and the refusal of one."""

from typing import NamedTuple

# Assumed until a route has been served.
DEFAULT_SERVICE_S = 0.1


class Refusal(NamedTuple):
    """Why a call did not run, and when its caller may come back.

    :param reason: ``full`` or ``no-upstream``.
    :param retry_after_s: seconds until a slot is expected.
    """

    reason: str
    retry_after_s: float


class Ticket:
    """One call before or in a slot.

    :param call: value of the owner.
    :param rank: the lowest number runs first.
    :param is_nested: whether a running request needs the answer.
    :param route: name of the route, for its usual service time.
    :param target_at: monotonic seconds by which its answer is worth most.
    :param leave_at: monotonic seconds after which it must not start.
    :param key: number that orders calls of running requests with one rank.
    """

    __slots__ = (
        "call",
        "rank",
        "is_nested",
        "route",
        "target_at",
        "leave_at",
        "key",
        "queued_at",
        "started_at",
        "is_queued",
        "expected_service_s",
    )

    def __init__(self, call, rank, is_nested, route, target_at, leave_at, key=0.0):
        self.call = call
        self.rank = rank
        self.is_nested = is_nested
        self.route = route
        self.target_at = target_at
        self.leave_at = leave_at
        self.key = key
        self.queued_at = 0.0
        self.started_at = None
        self.is_queued = False
        self.expected_service_s = DEFAULT_SERVICE_S

    def __repr__(self):
        return f"<Ticket {self.route} rank {self.rank}>"

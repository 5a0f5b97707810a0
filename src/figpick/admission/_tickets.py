"""A call in the queue or in a slot, and the refusal of a call."""

from typing import NamedTuple

# Assumed service time of a route that has not been served yet.
DEFAULT_SERVICE_S = 0.1


class Refusal(NamedTuple):
    """Why a call did not run, and when its caller may retry.

    :param reason: ``full``, ``rate-limited`` or ``no-upstream``.
    :param retry_after_s: seconds until a slot is expected to be free.
    """

    reason: str
    retry_after_s: float


class Ticket:
    """A call that waits in the queue or holds a slot.

    :param call: the owner's object for the call; the queue does not use it.
    :param rank: the lowest number runs first.
    :param is_nested: whether a running request waits for the response.
    :param route: name of the route, for its typical service time.
    :param target_at: monotonic seconds until which the response has its full value.
    :param start_deadline: monotonic seconds from which the call must not start.
    :param key: number that orders nested calls of one rank.
    """

    __slots__ = (
        "call",
        "rank",
        "is_nested",
        "route",
        "target_at",
        "start_deadline",
        "key",
        "queued_at",
        "started_at",
        "is_queued",
        "expected_service_s",
    )

    def __init__(
        self, call, rank, is_nested, route, target_at, start_deadline, key=0.0
    ):
        self.call = call
        self.rank = rank
        self.is_nested = is_nested
        self.route = route
        self.target_at = target_at
        self.start_deadline = start_deadline
        self.key = key
        self.queued_at = 0.0
        self.started_at = None
        self.is_queued = False
        self.expected_service_s = DEFAULT_SERVICE_S

    def __repr__(self):
        return f"<Ticket {self.route} rank {self.rank}>"

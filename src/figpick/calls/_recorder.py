"""Records the calls of a node as JSON lines, for replay."""

from typing import TypedDict

import msgspec

from ._context import HASH_STEPS

PERIOD_S = 1.0
MAX_BUFFERED_SPANS = 10_000


class Span(TypedDict):
    """One call as its calling node saw it.

    :param root: id of the root request.
    :param execution: id of the execution that the call caused.
    :param parent: id of the execution that made the call, empty for a root
        request.
    :param caller: IP address of the caller.
    :param at_s: seconds since the epoch.
    :param latency_ms: milliseconds until the end of the answer.
    :param status: HTTP status of a whole answer, 0 without one.
    """

    root: str
    execution: str
    parent: str
    caller: str
    service: str
    method: str
    path: str
    importance: int
    idempotent: bool
    at_s: float
    latency_ms: float
    request_bytes: int
    answer_bytes: int
    status: int


class Recorder:
    """Buffers spans and appends them to a file.

    :param path: file to append to.
    :param share: share of root requests to record, 0 to 1. The choice follows
        the root, so each recorded tree is whole.
    """

    def __init__(self, path, share):
        self._path = path
        self._limit = share * HASH_STEPS
        self._encoder = msgspec.json.Encoder()
        self._lines = []
        self._dropped = 0

    def __repr__(self):
        return f"<Recorder {self._path}>"

    @property
    def dropped_count(self):
        """Spans that were dropped because the buffer was full."""
        return self._dropped

    def should_record(self, plan):
        """Whether the root request of a call is recorded.

        :param plan: :class:`~figpick.calls._plans.CallPlan`.
        """
        return plan.context.hash_step < self._limit

    def record(self, span):
        """Buffers one span.

        :param span: :class:`Span`.
        """
        if len(self._lines) >= MAX_BUFFERED_SPANS:
            self._dropped += 1
            return
        self._lines.append(self._encoder.encode(span))

    async def flush(self):
        """Appends the buffered spans to the file."""
        if not self._lines:
            return
        lines, self._lines = self._lines, []
        with open(self._path, "ab") as file:
            file.write(b"\n".join(lines) + b"\n")


def make_span(plan, caller, started, ended, sizes, status):
    """Makes the span of a call that has ended.

    :param plan: :class:`~figpick.calls._plans.CallPlan`.
    :param caller: IP address of the caller.
    :param started: :class:`~figpick.calls._plans.ClockReading` of the start.
    :param ended: monotonic seconds of the end.
    :param sizes: bytes of the request body and of the answer body.
    :return: :class:`Span`.
    """
    context = plan.context
    request_bytes, answer_bytes = sizes
    return {
        "root": context.root_id,
        "execution": context.execution_id,
        "parent": plan.parent.execution_id if plan.parent else "",
        "caller": caller,
        "service": plan.service.name,
        "method": plan.method,
        "path": plan.target,
        "importance": context.importance,
        "idempotent": plan.route.idempotent,
        "at_s": round(started.wall, 6),
        "latency_ms": round((ended - started.monotonic) * 1000, 3),
        "request_bytes": request_bytes,
        "answer_bytes": answer_bytes,
        "status": status,
    }

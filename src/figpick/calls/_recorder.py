"""Records the calls of a node as JSON lines that can be replayed."""

from typing import TypedDict

import msgspec

from ._context import HASH_BUCKETS

FLUSH_PERIOD_S = 1.0
MAX_BUFFERED_SPANS = 10_000


class Span(TypedDict):
    """One call as observed by its calling node.

    :param root: id of the root request.
    :param execution: id of the execution that the call started.
    :param parent: id of the execution that made the call, empty for a root
        request.
    :param caller: IP address of the caller.
    :param at_s: start of the call in seconds since the epoch.
    :param latency_ms: milliseconds from the start of the call to the end of the
        response.
    :param status: HTTP status of a complete response, 0 without one.
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
    :param share: share of root requests to record, 0 to 1. All calls of a root
        request are recorded or none, so each recorded call tree is complete.
    """

    def __init__(self, path, share):
        self._path = path
        self._bucket_limit = share * HASH_BUCKETS
        self._encoder = msgspec.json.Encoder()
        self._lines = []
        self._dropped_count = 0

    def __repr__(self):
        return f"<Recorder {self._path}>"

    @property
    def dropped_count(self):
        """Number of spans that were dropped because the buffer was full."""
        return self._dropped_count

    def should_record(self, plan):
        """Returns whether the calls of a root request are recorded.

        :param plan: :class:`~figpick.calls._plans.CallPlan` of any of the calls.
        """
        return plan.context.hash_bucket < self._bucket_limit

    def record(self, span):
        """Buffers one span.

        :param span: :class:`Span`.
        """
        if len(self._lines) >= MAX_BUFFERED_SPANS:
            self._dropped_count += 1
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
    """Returns the span of a call that has ended.

    :param plan: :class:`~figpick.calls._plans.CallPlan`.
    :param caller: IP address of the caller.
    :param started: :class:`~figpick.calls._plans.ClockReading` at the start.
    :param ended: end in monotonic seconds.
    :param sizes: tuple of the bytes of the request body and of the response body.
    :param status: HTTP status of a complete response, 0 without one.
    :return: :class:`Span`.
    """
    context = plan.context
    request_bytes, response_bytes = sizes
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
        "answer_bytes": response_bytes,
        "status": status,
    }

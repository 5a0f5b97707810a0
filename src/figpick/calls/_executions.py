"""Calls in flight, indexed by the execution that made them."""

from collections import OrderedDict

# A cancellation can arrive before the calls of its execution do. It is kept for the
# time that an application may need to notice that it was cancelled.
CANCELLATION_RETENTION_S = 10.0
MAX_CANCELLATIONS = 10_000


class ExecutionTable:
    """Indexes calls in flight by the execution of the local upstream that made them."""

    def __init__(self):
        self._calls = {}
        self._cancelled = OrderedDict()

    def __len__(self):
        return len(self._calls)

    def add(self, execution_id, call):
        """Records a call that an execution made."""
        self._calls.setdefault(execution_id, set()).add(call)

    def remove(self, execution_id, call):
        """Removes a call that has ended."""
        calls = self._calls.get(execution_id)
        if calls is None:
            return
        calls.discard(call)
        if not calls:
            del self._calls[execution_id]

    def cancel(self, execution_id, now):
        """Cancels every call that an execution made or makes later.

        :param now: monotonic seconds.
        :return: number of calls in flight that were cancelled.
        """
        self._record_cancellation(execution_id, now)
        calls = self._calls.pop(execution_id, ())
        for call in list(calls):
            call.cancel_by_parent()
        return len(calls)

    def is_cancelled(self, execution_id):
        """Returns whether an execution was cancelled within the retention time."""
        return execution_id in self._cancelled

    def _record_cancellation(self, execution_id, now):
        cancelled = self._cancelled
        cancelled[execution_id] = now
        cancelled.move_to_end(execution_id)
        while cancelled:
            oldest = next(iter(cancelled))
            if (
                len(cancelled) <= MAX_CANCELLATIONS
                and now - cancelled[oldest] < CANCELLATION_RETENTION_S
            ):
                break
            del cancelled[oldest]

"""Calls in flight by the execution that made them."""

from collections import OrderedDict

# A cancellation can arrive before the calls of its execution do. It is remembered
# for as long as a cancelled application may take to notice that.
REMEMBER_S = 10.0
MAX_REMEMBERED = 10_000


class ExecutionTable:
    """Finds the calls that an execution of the local upstream has made."""

    def __init__(self):
        self._calls = {}
        self._cancelled = OrderedDict()

    def __len__(self):
        return len(self._calls)

    def add(self, execution_id, call):
        """Notes a call made under an execution."""
        self._calls.setdefault(execution_id, set()).add(call)

    def remove(self, execution_id, call):
        """Forgets a call that has ended."""
        calls = self._calls.get(execution_id)
        if calls is None:
            return
        calls.discard(call)
        if not calls:
            del self._calls[execution_id]

    def cancel(self, execution_id, now):
        """Cancels every call made under an execution, also those still to come.

        :param now: monotonic seconds.
        :return: number of calls cancelled.
        """
        self._remember(execution_id, now)
        calls = self._calls.pop(execution_id, ())
        for call in list(calls):
            call.abandon()
        return len(calls)

    def is_cancelled(self, execution_id):
        """Whether an execution was cancelled a short time ago."""
        return execution_id in self._cancelled

    def _remember(self, execution_id, now):
        cancelled = self._cancelled
        cancelled[execution_id] = now
        cancelled.move_to_end(execution_id)
        while cancelled:
            oldest = next(iter(cancelled))
            if (
                len(cancelled) <= MAX_REMEMBERED
                and now - cancelled[oldest] < REMEMBER_S
            ):
                break
            del cancelled[oldest]

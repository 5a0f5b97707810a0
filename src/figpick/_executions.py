"""Calls in flight by the execution that made them."""


class ExecutionTable:
    """Finds the calls that an execution of the local upstream has made."""

    def __init__(self):
        self._calls = {}

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

    def cancel(self, execution_id):
        """Cancels every call made under an execution.

        :return: number of calls cancelled.
        """
        calls = self._calls.pop(execution_id, ())
        for call in list(calls):
            call.cancel()
        return len(calls)

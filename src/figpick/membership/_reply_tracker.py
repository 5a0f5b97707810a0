"""Times of the last replies from other processes."""

from typing import NamedTuple


class ReplyStatus(NamedTuple):
    """Outcome of the messages between this process and a peer address.

    :param last_reply_at: monotonic seconds of the last reply, or ``None``.
    :param consecutive_failures: messages without a reply since then.
    """

    last_reply_at: float | None = None
    consecutive_failures: int = 0


class ReplyTracker:
    """Records the outcome of messages by peer address."""

    def __init__(self):
        self._statuses = {}

    def get(self, address):
        """Returns the :class:`ReplyStatus` of an address."""
        return self._statuses.get(address, _NO_REPLY)

    def record_reply(self, address, now):
        """Records a reply or a message from an address.

        :param now: monotonic seconds.
        """
        self._statuses[address] = ReplyStatus(now, 0)

    def record_failure(self, address):
        """Records a message that got no reply."""
        known = self.get(address)
        failures = known.consecutive_failures + 1
        self._statuses[address] = known._replace(consecutive_failures=failures)

    def forget(self, address):
        """Deletes the status of an address."""
        self._statuses.pop(address, None)


_NO_REPLY = ReplyStatus()

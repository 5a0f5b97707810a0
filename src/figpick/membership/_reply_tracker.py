"""When other processes last answered this one."""

from typing import NamedTuple


class ReplyStatus(NamedTuple):
    """Messages between this process and an address.

    :param last_reply_at: monotonic seconds of the last answer, ``None`` before one.
    :param consecutive_failures: messages without an answer since then.
    """

    last_reply_at: float | None = None
    consecutive_failures: int = 0


class ReplyTracker:
    """Notes the outcome of each message by peer address."""

    def __init__(self):
        self._contacts = {}

    def get(self, address):
        """Gives the :class:`ReplyStatus` of an address."""
        return self._contacts.get(address, _NONE)

    def record_reply(self, address, now):
        """Notes an answer from an address, or a message that it sent.

        :param now: monotonic seconds.
        """
        self._contacts[address] = ReplyStatus(now, 0)

    def record_failure(self, address):
        """Notes a message that was not answered."""
        known = self.get(address)
        failures = known.consecutive_failures + 1
        self._contacts[address] = known._replace(consecutive_failures=failures)

    def forget(self, address):
        """Drops what is known of an address."""
        self._contacts.pop(address, None)


_NONE = ReplyStatus()

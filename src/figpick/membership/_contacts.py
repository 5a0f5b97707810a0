"""When other processes last answered this one."""

from typing import NamedTuple


class Contact(NamedTuple):
    """Messages between this process and an address.

    :param answered_at: monotonic seconds of the last answer, ``None`` before one.
    :param failures_in_row: messages without an answer since then.
    """

    answered_at: float | None = None
    failures_in_row: int = 0


class Contacts:
    """Notes the outcome of each message by peer address."""

    def __init__(self):
        self._contacts = {}

    def get(self, address):
        """Gives the :class:`Contact` of an address."""
        return self._contacts.get(address, _NONE)

    def answered(self, address, now):
        """Notes an answer from an address, or a message that it sent.

        :param now: monotonic seconds.
        """
        self._contacts[address] = Contact(now, 0)

    def failed(self, address):
        """Notes a message that was not answered."""
        known = self.get(address)
        failures = known.failures_in_row + 1
        self._contacts[address] = known._replace(failures_in_row=failures)

    def forget(self, address):
        """Drops what is known of an address."""
        self._contacts.pop(address, None)


_NONE = Contact()

"""Permits: how many requests each calling node may have in flight."""

from typing import NamedTuple

LEASE_S = 5.0


class Grant(NamedTuple):
    """An allocation given by the owner of an upstream.

    :param permits: most requests in flight.
    :param sequence: number of the grant; older ones are ignored.
    :param lease_s: seconds for which the grant holds.
    """

    permits: int
    sequence: int
    lease_s: float


class _Holding:
    __slots__ = ("granted", "in_use", "expires_at", "sequence")

    def __init__(self):
        self.granted = 0
        self.in_use = 0
        self.expires_at = 0.0
        self.sequence = 0


class PermitPool:
    """Divides the slots of one upstream among calling nodes.

    :param limit: most requests in flight at the upstream.
    """

    def __init__(self, limit):
        self.limit = limit
        self._holdings = {}

    def exchange(self, caller, want, in_use, now):
        """Renews the allocation of a calling node.

        :param caller: name of the calling node.
        :param want: permits that it can use now.
        :param in_use: requests that it has in flight.
        :param now: monotonic seconds.
        :return: :class:`Grant`.
        """
        self._expire(now)
        holding = self._holdings.setdefault(caller, _Holding())
        holding.granted = 0
        holding.in_use = in_use
        holding.granted = max(0, min(want, self.limit - self.committed))
        holding.expires_at = now + LEASE_S
        holding.sequence += 1
        return Grant(holding.granted, holding.sequence, LEASE_S)

    @property
    def committed(self):
        """Permits that are granted or in use."""
        return sum(max(item.granted, item.in_use) for item in self._holdings.values())

    def _expire(self, now):
        for caller, holding in list(self._holdings.items()):
            if holding.expires_at <= now:
                del self._holdings[caller]


class PermitCache:
    """The allocation that a calling node holds at one upstream."""

    def __init__(self):
        self.granted = 0
        self.in_use = 0
        self.sequence = 0
        self.expires_at = 0.0

    def accept(self, grant, now):
        """Takes a grant unless a newer one is known.

        :param grant: :class:`Grant`.
        :param now: monotonic seconds.
        """
        if grant.sequence <= self.sequence:
            return
        self.sequence = grant.sequence
        self.granted = grant.permits
        self.expires_at = now + grant.lease_s

    def free(self, now):
        """Counts the permits that are not in use.

        :param now: monotonic seconds.
        """
        granted = self.granted if now < self.expires_at else 1
        return granted - self.in_use

    def take(self):
        """Uses one permit."""
        self.in_use += 1

    def give_back(self):
        """Returns one permit."""
        self.in_use -= 1

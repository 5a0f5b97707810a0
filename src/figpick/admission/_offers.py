"""What is asked of the slots of one upstream, and how kinds of calls share them.

Calls of running requests have even ranks, requests that start at the upstream the odd
rank above; half of either is their urgency.
"""

from math import exp
from typing import NamedTuple

# Use of the slots by calls of running requests above which fewer are to be admitted.
TARGET_USE = 0.95
# Time over which the offered work is averaged: longer than the gaps between calls,
# shorter than the time of a request.
OFFER_WINDOW_S = 0.3
# Calls of running requests may not take every slot: requests that start here keep up
# to this share of the slots while they wait.
ENTRY_SHARE = 0.2


class Use(NamedTuple):
    """Offered use of the slots, in parts of them.

    :param room: part that more urgent calls leave.
    :param own: calls of running requests of the rank.
    :param entries: requests that start here and are as urgent.
    :param below: requests that start here and are less urgent.
    """

    room: float
    own: float
    entries: float
    below: float


def entry_share(entries, inner, room):
    """Divides slots between two kinds of calls of one urgency.

    Requests that start here and calls of running requests get the same part of what
    they ask for, as far as :data:`ENTRY_SHARE` allows. All values are parts of the
    slots.

    :param entries: slots that the requests that start here would use.
    :param inner: slots that the calls of running requests would use.
    :param room: slots that more urgent calls leave.
    :return: slots for the requests that start here.
    """
    reserve = min(ENTRY_SHARE, entries)
    room = max(room, reserve)
    return min(reserve, entries * room / max(entries + inner, room))


class OfferedWork:
    """Work that was offered lately, by rank and kind, in parts of the slots."""

    def __init__(self):
        self._offers = {}

    def __repr__(self):
        return f"<OfferedWork {len(self._offers)} kinds>"

    def add(self, ticket, now):
        """Notes a call that was offered.

        :param ticket: its :class:`~figpick.admission.Ticket`.
        :param now: monotonic seconds.
        """
        kind = ticket.rank, ticket.is_nested
        offer = self._offers.get(kind)
        if offer is None:
            offer = self._offers[kind] = _Offer()
        offer.add(ticket.expected_service_s, now)

    def use(self, rank, limit, now):
        """Gives the :class:`Use` of the slots as a rank of inner calls sees it.

        :param limit: number of slots.
        :param now: monotonic seconds.
        """
        room = TARGET_USE
        own = entries = below = 0.0
        for (each, is_nested), offer in self._offers.items():
            use = offer.rate(now) / limit
            if each // 2 < rank // 2:
                room -= use
            elif is_nested and each == rank:
                own = use
            elif not is_nested and each // 2 == rank // 2:
                entries += use
            elif not is_nested:
                below += use
        return Use(room, own, entries, below)

    def room_for(self, rank, limit, now):
        """Part of the slots that more urgent calls go on to leave to a rank.

        :param limit: number of slots.
        :param now: monotonic seconds.
        """
        return 1.0 - sum(
            offer.rate(now) / limit
            for (each, _), offer in self._offers.items()
            if each < rank
        )


class _Offer:
    """Seconds of work that are offered a second, averaged over a short time."""

    __slots__ = ("_rate", "_at")

    def __init__(self):
        self._rate = 0.0
        self._at = 0.0

    def add(self, work_s, now):
        self._rate = self.rate(now) + work_s / OFFER_WINDOW_S
        self._at = now

    def rate(self, now):
        return self._rate * exp((self._at - now) / OFFER_WINDOW_S)

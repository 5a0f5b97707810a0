"""The load that is offered to one upstream, and how kinds of calls share its slots.

The same shares apply to the requests per second of an upstream that limits its rate.

Nested calls have even ranks; entry requests of the same priority have the odd rank
above. Half of either rank, rounded down, is the priority.
"""

from math import exp
from typing import NamedTuple

# Use of the slots by nested calls above which fewer of them are admitted.
TARGET_USE = 0.95
# Time over which the offered load is averaged: longer than the gaps between calls,
# shorter than the time of a request.
AVERAGING_WINDOW_S = 0.3
# Up to this share of the slots is reserved for waiting entry requests.
ENTRY_SHARE = 0.2


class SlotUse(NamedTuple):
    """Offered load by kind of call, as shares of the slots.

    :param free: share that more urgent calls leave free.
    :param nested: share that the nested calls of the rank would use.
    :param entries: share that entry requests of the same priority would use.
    :param less_urgent_entries: share that less urgent entry requests would use.
    """

    free: float
    nested: float
    entries: float
    less_urgent_entries: float


def entry_share(entries, nested, free):
    """Divides slots between the two kinds of calls of one priority.

    Entry requests and nested calls get the same fraction of their demand, within
    :data:`ENTRY_SHARE`. All values are shares of the slots.

    :param entries: slots that the entry requests would use.
    :param nested: slots that the nested calls would use.
    :param free: slots that more urgent calls leave free.
    :return: slots for the entry requests.
    """
    reserve = min(ENTRY_SHARE, entries)
    free = max(free, reserve)
    return min(reserve, entries * free / max(entries + nested, free))


class OfferedLoad:
    """Recently offered load by rank and kind of call, in shares of the slots."""

    def __init__(self):
        self._rates = {}

    def __repr__(self):
        return f"<OfferedLoad {len(self._rates)} kinds>"

    def add(self, ticket, work, now):
        """Adds an offered call.

        :param ticket: its :class:`~figpick.admission.Ticket`.
        :param work: seconds for which it holds a slot, or 1 to count calls.
        :param now: monotonic seconds.
        """
        kind = ticket.rank, ticket.is_nested
        rate = self._rates.get(kind)
        if rate is None:
            rate = self._rates[kind] = _WorkRate()
        rate.add(work, now)

    def slot_use(self, rank, limit, now):
        """Returns the :class:`SlotUse` that applies to the nested calls of a rank.

        :param limit: number of slots, or calls per second.
        :param now: monotonic seconds.
        """
        free = TARGET_USE
        nested = entries = less_urgent_entries = 0.0
        for (offered_rank, is_nested), rate in self._rates.items():
            use = rate.value(now) / limit
            if offered_rank // 2 < rank // 2:
                free -= use
            elif is_nested and offered_rank == rank:
                nested = use
            elif not is_nested and offered_rank // 2 == rank // 2:
                entries += use
            elif not is_nested:
                less_urgent_entries += use
        return SlotUse(free, nested, entries, less_urgent_entries)

    def free_share(self, rank, limit, now):
        """Returns the share of the slots that more urgent calls leave to a rank.

        :param limit: number of slots.
        :param now: monotonic seconds.
        """
        return 1.0 - sum(
            rate.value(now) / limit
            for (offered_rank, _), rate in self._rates.items()
            if offered_rank < rank
        )


class _WorkRate:
    """Work offered per second, as an exponentially decaying average."""

    __slots__ = ("_value", "_updated_at")

    def __init__(self):
        self._value = 0.0
        self._updated_at = 0.0

    def add(self, work, now):
        self._value = self.value(now) + work / AVERAGING_WINDOW_S
        self._updated_at = now

    def value(self, now):
        return self._value * exp((self._updated_at - now) / AVERAGING_WINDOW_S)

"""Events that every process hears of once, until they expire."""

from hashlib import blake2b
from typing import NamedTuple

from ._digests import DIGEST_BYTES

# Bounds the memory of a process when a publisher fails to limit itself.
MAX_EVENTS = 2000


class Event(NamedTuple):
    """One event.

    :param event_id: identity; an event is handled once by each process.
    :param kind: kind that subscribers name.
    :param expires_at: seconds since the epoch after which it is dropped.
    :param payload: JSON value.
    """

    event_id: str
    kind: str
    expires_at: float
    payload: object


class EventStore:
    """Keeps the events that have not expired, for processes that missed them."""

    def __init__(self):
        self._events = {}
        self._digest = 0

    def __len__(self):
        return len(self._events)

    @property
    def digest(self):
        """Number that is equal at processes with the same events."""
        return self._digest

    @property
    def ids(self):
        """Identities of the kept events."""
        return list(self._events)

    def add(self, event, now):
        """Takes an event.

        :param event: :class:`Event`.
        :param now: seconds since the epoch.
        :return: whether it is new.
        """
        if event.event_id in self._events or event.expires_at <= now:
            return False
        if len(self._events) >= MAX_EVENTS:
            self._drop(min(self._events.values(), key=_expiry))
        self._events[event.event_id] = event
        self._digest ^= _hash(event)
        return True

    def missing(self, ids):
        """Lists the kept events that are not among identities of a peer."""
        known = set(ids)
        return [event for name, event in self._events.items() if name not in known]

    def expire(self, now):
        """Drops the events that have expired.

        :param now: seconds since the epoch.
        """
        for event in [each for each in self._events.values() if each.expires_at <= now]:
            self._drop(event)

    def _drop(self, event):
        del self._events[event.event_id]
        self._digest ^= _hash(event)


def _expiry(event):
    return event.expires_at


def _hash(event):
    digest = blake2b(event.event_id.encode(), digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(digest)

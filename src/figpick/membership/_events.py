"""Events that every process handles once, until they expire."""

from hashlib import blake2b
from typing import NamedTuple

from ._digests import DIGEST_BYTES

# Bounds memory use when a publisher does not limit its events.
MAX_EVENTS = 2000


class Event(NamedTuple):
    """An event that is sent to all processes.

    :param event_id: unique ID; each process handles an event once.
    :param kind: event kind that subscribers register for.
    :param expires_at: seconds since the epoch after which the event is dropped.
    :param payload: JSON value.
    """

    event_id: str
    kind: str
    expires_at: float
    payload: object


class EventStore:
    """Stores unexpired events for processes that missed them."""

    def __init__(self):
        self._events = {}
        self._digest = 0

    def __len__(self):
        return len(self._events)

    @property
    def digest(self):
        """Digest of all events; equal at processes with the same events."""
        return self._digest

    @property
    def ids(self):
        """IDs of the stored events."""
        return list(self._events)

    def add(self, event, now):
        """Stores an event.

        :param event: :class:`Event`.
        :param now: seconds since the epoch.
        :return: whether the event is new and not expired.
        """
        if event.event_id in self._events or event.expires_at <= now:
            return False
        if len(self._events) >= MAX_EVENTS:
            self._drop(min(self._events.values(), key=_expiry))
        self._events[event.event_id] = event
        self._digest ^= _hash(event)
        return True

    def list_missing(self, ids):
        """Returns the stored events whose IDs a peer does not have."""
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

"""Requests that crash upstreams: suspects and quarantine entries."""

from typing import NamedTuple

from ..base._expiring_table import ExpiringTable

SUSPECT_S = 60.0
QUARANTINE_S = 600.0
# Breaks of one upstream within this time belong to one crash.
CRASH_S = 1.0
MAX_SUSPECTS = 10_000
MAX_ENTRIES = 1000

# A suspect that crashed an upstream alone does not run while this is judged.
HOLD_S = 0.4

SUSPECTED = "suspected"
ACCUSED = "accused"
CLEARED = "cleared"
QUARANTINED = "quarantined"
RELEASED = "released"


class Event(NamedTuple):
    """What other nodes are told.

    :param kind: ``suspected``, ``accused``, ``cleared``, ``quarantined`` or
        ``released``.
    :param fingerprint: identifies equal requests.
    :param upstream: name of the upstream that crashed, or empty.
    :param request: service, method and target, for operators.
    """

    kind: str
    fingerprint: str
    upstream: str = ""
    request: str = ""


class Quarantine:
    """The suspects and quarantined requests that a node knows."""

    def __init__(self):
        self._suspects = ExpiringTable(SUSPECT_S, MAX_SUSPECTS)
        self._entries = ExpiringTable(QUARANTINE_S, MAX_ENTRIES)
        self._held = ExpiringTable(HOLD_S, MAX_SUSPECTS)

    @property
    def active(self):
        """Whether requests have to be identified at all."""
        return len(self._suspects) > 0 or len(self._entries) > 0

    def is_suspect(self, fingerprint, now):
        """Whether a request was in flight in a crash and has not completed since.

        :param now: monotonic seconds.
        """
        return self._suspects.get(fingerprint, now) is not None

    def is_held(self, fingerprint, now):
        """Whether a suspect must wait for the verdict on an earlier run.

        :param now: monotonic seconds.
        """
        return self._held.get(fingerprint, now) is not None

    def is_quarantined(self, fingerprint, now):
        """Whether a request is refused.

        :param now: monotonic seconds.
        """
        return self._entries.get(fingerprint, now) is not None

    def suspect(self, fingerprint, upstream, request, alone, now):
        """Notes a request that was in flight as an upstream crashed.

        :param upstream: name of the upstream.
        :param request: service, method and target.
        :param alone: whether it ran as the only suspect there.
        :param now: monotonic seconds.
        :return: :class:`Event` for the other nodes.
        """
        kind = ACCUSED if alone else SUSPECTED
        event = Event(kind, fingerprint, upstream, request)
        self.receive(event, now)
        return event

    def is_shared(self, fingerprint, upstream, crashed_at):
        """Whether another request was in flight in this crash and an earlier one.

        Then neither can be told to be the cause.

        :param crashed_at: monotonic seconds of the crash.
        """
        for other, _, crashes in self._suspects.items(crashed_at):
            if other == fingerprint or len(crashes) < 2:
                continue
            if any(_is_same(crash, upstream, crashed_at) for crash in crashes):
                return True
        return False

    def quarantine(self, fingerprint, upstream, request, now):
        """Refuses a request from now on.

        :param now: monotonic seconds.
        :return: :class:`Event` for the other nodes.
        """
        event = Event(QUARANTINED, fingerprint, upstream, request)
        self.receive(event, now)
        return event

    def clear(self, fingerprint):
        """Notes a suspect that has completed.

        :return: :class:`Event` for the other nodes.
        """
        self._suspects.drop(fingerprint)
        return Event(CLEARED, fingerprint)

    def release(self, fingerprint):
        """Ends a quarantine on behalf of an operator.

        :return: :class:`Event` for the other nodes.
        """
        self._suspects.drop(fingerprint)
        self._entries.drop(fingerprint)
        return Event(RELEASED, fingerprint)

    def receive(self, event, now):
        """Takes an event of another node.

        :param event: :class:`Event`.
        :param now: monotonic seconds.
        """
        if event.kind == SUSPECTED:
            self._add_crash(event.fingerprint, event.upstream, now)
        elif event.kind == ACCUSED:
            self._add_crash(event.fingerprint, event.upstream, now)
            self._held.put(event.fingerprint, True, now)
        elif event.kind == CLEARED:
            self.clear(event.fingerprint)
        elif event.kind == RELEASED:
            self.release(event.fingerprint)
        elif event.kind == QUARANTINED:
            self._suspects.drop(event.fingerprint)
            self._entries.put(event.fingerprint, event.request, now)

    def dump(self, now):
        """Gives the state as a dict.

        :param now: monotonic seconds.
        """
        entries = [
            {"fingerprint": fingerprint, "left_s": round(left_s), "request": request}
            for fingerprint, left_s, request in self._entries.items(now)
        ]
        return {"suspects": len(self._suspects.items(now)), "entries": entries}

    def _add_crash(self, fingerprint, upstream, now):
        crashes = self._suspects.get(fingerprint, now) or ()
        if not any(_is_same(crash, upstream, now) for crash in crashes):
            crashes = (*crashes, (upstream, now))
        self._suspects.put(fingerprint, crashes, now)


def _is_same(crash, upstream, now):
    name, at = crash
    return name == upstream and abs(now - at) < CRASH_S


class SuspectSlot:
    """Lets one suspect at a time run on the upstream beside this node."""

    def __init__(self):
        self._holder = None
        self._until = 0.0

    def take(self, holder, lease_s, now):
        """Takes the slot.

        :param holder: identifies the run of a suspect.
        :param lease_s: seconds after which the slot is free again.
        :param now: monotonic seconds.
        :return: whether it was free.
        """
        if self._holder not in (None, holder) and now < self._until:
            return False
        self._holder = holder
        self._until = now + lease_s
        return True

    def free(self, holder):
        """Gives the slot back."""
        if self._holder == holder:
            self._holder = None

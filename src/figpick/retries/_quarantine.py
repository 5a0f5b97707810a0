"""State of suspected and quarantined requests, and the slot for suspects."""

from typing import NamedTuple

from ..base._expiring_table import ExpiringTable

SUSPECT_LIFETIME_S = 60.0
QUARANTINE_DURATION_S = 600.0
# Connections to one upstream that break within this time belong to one crash.
CRASH_WINDOW_S = 1.0
MAX_SUSPECTS = 10_000
MAX_ENTRIES = 1000

# A request that crashed an upstream as its only suspect does not run again until
# nodes have decided whether to quarantine it.
DECISION_HOLD_S = 0.4

SUSPECTED = "suspected"
CRASHED_ALONE = "accused"
CLEARED = "cleared"
QUARANTINED = "quarantined"
RELEASED = "released"


class Event(NamedTuple):
    """A change of the state of a request, as sent to other nodes.

    :param kind: ``suspected``, ``accused`` (it ran as the only suspect),
        ``cleared``, ``quarantined`` or ``released``.
    :param fingerprint: identifies equal requests.
    :param upstream: name of the upstream that crashed, or empty.
    :param request: service, method and target, shown to operators.
    :param event_id: identifies the event among its copies, empty in events of older
        releases.
    """

    kind: str
    fingerprint: str
    upstream: str = ""
    request: str = ""
    event_id: str = ""


class Quarantine:
    """The suspected and quarantined requests known to a node."""

    def __init__(self):
        self._suspects = ExpiringTable(SUSPECT_LIFETIME_S, MAX_SUSPECTS)
        self._entries = ExpiringTable(QUARANTINE_DURATION_S, MAX_ENTRIES)
        self._held = ExpiringTable(DECISION_HOLD_S, MAX_SUSPECTS)

    @property
    def is_active(self):
        """Whether any request is suspected or quarantined.

        Requests need no fingerprint while this is false.
        """
        return len(self._suspects) > 0 or len(self._entries) > 0

    def is_suspect(self, fingerprint, now):
        """Returns whether a request was in a crash and has not completed since.

        :param now: monotonic seconds.
        """
        return self._suspects.get(fingerprint, now) is not None

    def is_held(self, fingerprint, now):
        """Returns whether a suspect must wait for the decision on an earlier run.

        :param now: monotonic seconds.
        """
        return self._held.get(fingerprint, now) is not None

    def is_quarantined(self, fingerprint, now):
        """Returns whether a request is quarantined and therefore refused.

        :param now: monotonic seconds.
        """
        return self._entries.get(fingerprint, now) is not None

    def record_crash(self, fingerprint, upstream, request, ran_alone, now):
        """Records a request that was in flight when an upstream crashed.

        :param upstream: name of the upstream.
        :param request: service, method and target.
        :param ran_alone: whether it was the only suspect on the upstream.
        :param now: monotonic seconds.
        :return: :class:`Event` for the other nodes.
        """
        kind = CRASHED_ALONE if ran_alone else SUSPECTED
        event = Event(kind, fingerprint, upstream, request)
        self.apply_event(event, now)
        return event

    def has_ambiguous_cause(self, fingerprint, upstream, crashed_at):
        """Returns whether another request was in this crash and in an earlier one.

        In that case the cause of the crash can't be determined.

        :param crashed_at: monotonic seconds of the crash.
        """
        for other, _, crashes in self._suspects.items(crashed_at):
            if other == fingerprint or len(crashes) < 2:
                continue
            if any(_is_same_crash(crash, upstream, crashed_at) for crash in crashes):
                return True
        return False

    def quarantine(self, fingerprint, upstream, request, now):
        """Quarantines a request.

        :param now: monotonic seconds.
        :return: :class:`Event` for the other nodes.
        """
        event = Event(QUARANTINED, fingerprint, upstream, request)
        self.apply_event(event, now)
        return event

    def clear(self, fingerprint):
        """Removes a suspect that has completed.

        :return: :class:`Event` for the other nodes.
        """
        self._suspects.drop(fingerprint)
        return Event(CLEARED, fingerprint)

    def release(self, fingerprint):
        """Ends the quarantine of a request, as requested by an operator.

        :return: :class:`Event` for the other nodes.
        """
        self._suspects.drop(fingerprint)
        self._entries.drop(fingerprint)
        return Event(RELEASED, fingerprint)

    def apply_event(self, event, now):
        """Applies an event of this node or of another one.

        :param event: :class:`Event`.
        :param now: monotonic seconds.
        """
        if event.kind == SUSPECTED:
            self._add_crash(event.fingerprint, event.upstream, now)
        elif event.kind == CRASHED_ALONE:
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
        """Returns the state as a dict.

        :param now: monotonic seconds.
        """
        entries = [
            {
                "fingerprint": fingerprint,
                "left_s": round(remaining_s),
                "request": request,
            }
            for fingerprint, remaining_s, request in self._entries.items(now)
        ]
        return {"suspects": len(self._suspects.items(now)), "entries": entries}

    def _add_crash(self, fingerprint, upstream, now):
        crashes = self._suspects.get(fingerprint, now) or ()
        if not any(_is_same_crash(crash, upstream, now) for crash in crashes):
            crashes = (*crashes, (upstream, now))
        self._suspects.put(fingerprint, crashes, now)


def _is_same_crash(crash, upstream, now):
    name, at = crash
    return name == upstream and abs(now - at) < CRASH_WINDOW_S


class SuspectSlot:
    """Limits the upstream on the host of this node to one suspect at a time."""

    def __init__(self):
        self._holder = None
        self._lease_until = 0.0

    def acquire(self, holder, lease_s, now):
        """Acquires the slot, or extends the lease of its holder.

        :param holder: identifies the run of a suspect.
        :param lease_s: seconds after which the slot becomes free without a release.
        :param now: monotonic seconds.
        :return: whether the holder has the slot now.
        """
        if self._holder not in (None, holder) and now < self._lease_until:
            return False
        self._holder = holder
        self._lease_until = now + lease_s
        return True

    def release(self, holder):
        """Releases the slot if ``holder`` has it."""
        if self._holder == holder:
            self._holder = None

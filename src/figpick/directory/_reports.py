"""Reports of an upstream on itself, and which of them are accepted.

An incarnation is the time from one start of an upstream to its end. Reports can be
late: one that was delayed by a network partition may arrive after its sender has
crashed and a new incarnation has replaced it.
"""

from typing import NamedTuple

from ._incarnations import Incarnation, parse_incarnation
from ._records import DRAINING, NO_UPSTREAM, READY

# Three heartbeats: an incarnation that was silent for longer counts as ended.
SILENCE_TIMEOUT_S = 4.5
# Reports up to this sequence number are the first ones of an incarnation.
FIRST_SEQUENCES = 2
MAX_OTHER_INCARNATIONS = 64
MAX_LEAVING_INSTANCES = 64


class UpstreamReport(NamedTuple):
    """One heartbeat of an upstream.

    :param instance: identity of the upstream.
    :param started_ms: start time in Unix milliseconds; ``None`` if each incarnation has
        an identity of its own.
    :param sequence: increases with each report of one incarnation.
    :param service: service to which it belongs.
    :param address: tuple of IP address and port.
    :param slots: requests that it runs at the same time.
    :param is_draining: whether it is leaving.
    :param cold_s: seconds for which it is still slow after its start.
    """

    instance: str
    started_ms: int | None
    sequence: int
    service: str
    address: tuple
    slots: int
    is_draining: bool
    cold_s: float

    @property
    def incarnation(self):
        """The :class:`~figpick.directory.Incarnation`."""
        return Incarnation(self.instance, self.started_ms)


class UpstreamView:
    """The upstream on the host of a node, as known from its reports."""

    def __init__(self):
        self._report = None
        # Key of a leaving incarnation that this process has no report of.
        self._unreported = ""
        self._reported_at = 0.0
        self._is_down = False
        # Newest reports of incarnations other than the current one.
        self._other_incarnations = {}
        # Leaving instances, with their start times as far as known.
        self._leaving = {}

    def __repr__(self):
        return f"<UpstreamView {self.instance} {self.state}>"

    @property
    def report(self):
        """The newest :class:`UpstreamReport`, or ``None``."""
        return self._report

    @property
    def instance(self):
        """The identity of the upstream, empty without an upstream."""
        return parse_incarnation(self.incarnation_key).instance

    @property
    def incarnation_key(self):
        """The key of the incarnation of the upstream, empty without an upstream."""
        return self._report.incarnation.key if self._report else self._unreported

    @property
    def service(self):
        """The service of the upstream, empty without an upstream."""
        return self._report.service if self._report else ""

    @property
    def slots(self):
        """Requests that may run at the same time, 0 unless new ones are accepted."""
        return self._report.slots if self.state == READY else 0

    @property
    def state(self):
        """``ready``, ``draining`` or ``none``."""
        if self._report is None:
            return DRAINING if self._unreported else NO_UPSTREAM
        if self._is_down:
            return NO_UPSTREAM
        return DRAINING if self._report.is_draining else READY

    def handle_report(self, report, now):
        """Handles a report.

        An incarnation that was draining does not become ready again.

        :param now: monotonic seconds.
        :return: whether the report was accepted.
        """
        report = self._mark_if_leaving(report)
        current = self._report
        if current is not None and report.incarnation == current.incarnation:
            if report.sequence <= current.sequence:
                return False
        elif current is not None:
            if not self._is_newer_incarnation(report, now):
                return False
            self._store_other(current)
            self._other_incarnations.pop(report.incarnation, None)
        self._report = report
        self._reported_at = now
        self._is_down = False
        return True

    def find_incarnation(self, instance):
        """Returns the known :class:`Incarnation` of an instance, or ``None``."""
        for report in (self._report, *self._other_incarnations.values()):
            if report is not None and report.instance == instance:
                return report.incarnation
        return None

    def mark_draining(self, key):
        """Marks the upstream as draining if it is about to stop without reporting so.

        :param key: key of the incarnation that is about to stop, without its start time
            if that is not known.
        :return: whether the state of the current upstream has changed.
        """
        incarnation = parse_incarnation(key)
        if incarnation.started_ms is None:
            incarnation = self.find_incarnation(key) or incarnation
        if self._report is not None:
            return self.add_departures([incarnation.key])
        self._set_leaving(incarnation)
        has_changed = incarnation.key != self._unreported
        self._unreported = incarnation.key
        return has_changed

    def add_departures(self, keys):
        """Records incarnations that have announced their end.

        :param keys: keys of the incarnations.
        :return: whether the state of the current upstream has changed.
        """
        for key in keys:
            self._set_leaving(parse_incarnation(key))
        current = self._report
        if current is None:
            return False
        self._report = self._mark_if_leaving(current)
        return self._report.is_draining and not current.is_draining

    def mark_down(self):
        """Marks the upstream as down until its next report; it refuses connections."""
        self._is_down = True

    def restore_instance(self, instance):
        """Restores the incarnation that refused a request addressed to another one.

        A late report of an earlier incarnation may have displaced the running one. If
        no report of the running one is known, the upstream is marked as down.

        :param instance: identity that the upstream stated in the refusal.
        """
        for other in self._other_incarnations.values():
            if other.instance == instance:
                self._store_other(self._report)
                self._report = self._mark_if_leaving(other)
                self._is_down = False
                return
        self.mark_down()

    def _is_newer_incarnation(self, report, now):
        """Returns whether a report of another incarnation displaces the current one."""
        current = self._report
        is_silent = now - self._reported_at > SILENCE_TIMEOUT_S
        other = self._other_incarnations.get(report.incarnation)
        if other is not None:
            # An incarnation that reports while the current one is silent was displaced
            # wrongly.
            self._other_incarnations[report.incarnation] = report
            return is_silent and report.sequence > other.sequence
        if current.started_ms is not None and report.started_ms is not None:
            if report.started_ms > current.started_ms:
                return True
            # The clock may have been set back before the reporting incarnation started,
            # which then looks older. The report is only stored, since it may also be a
            # late report of an older incarnation, which no further reports follow.
            self._store_other(report)
            return False
        has_ended = self._is_down or current.is_draining
        return is_silent or has_ended or report.sequence <= FIRST_SEQUENCES

    def _mark_if_leaving(self, report):
        """Returns a report as draining if its incarnation is known to leave."""
        if report.is_draining:
            self._set_leaving(report.incarnation)
            return report
        if report.instance not in self._leaving:
            return report
        left_ms = self._leaving[report.instance]
        if None not in (left_ms, report.started_ms) and report.started_ms > left_ms:
            return report
        return report._replace(is_draining=True)

    def _set_leaving(self, incarnation):
        instance, started_ms = incarnation
        known_ms = self._leaving.get(instance)
        if None not in (known_ms, started_ms):
            started_ms = max(known_ms, started_ms)
        self._leaving[instance] = started_ms
        if len(self._leaving) > MAX_LEAVING_INSTANCES:
            del self._leaving[next(iter(self._leaving))]

    def _store_other(self, report):
        self._other_incarnations[report.incarnation] = report
        if len(self._other_incarnations) > MAX_OTHER_INCARNATIONS:
            del self._other_incarnations[next(iter(self._other_incarnations))]

"""Reports of an upstream on itself, and which of them are accepted.

An incarnation is the time from one start of an upstream to its end. Reports can be
late: one that was delayed by a network partition may arrive after its sender has
crashed and a new incarnation has replaced it. They can also come from other senders.
One report alone therefore does not displace an upstream that still reports.
"""

from typing import NamedTuple

from ..base._errors import ReportRefusedError
from ._incarnations import Identity, Incarnation, parse_incarnation
from ._records import DRAINING, NO_UPSTREAM, READY

# Three heartbeats: an incarnation that was silent for longer counts as ended.
SILENCE_TIMEOUT_S = 4.5
# Two reports of one incarnation confirm each other if they are this far apart. A
# shorter gap would fit between two heartbeats of the incarnation that they displace.
CONFIRMATION_GAP_S = 1.0
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
        """The :class:`~figpick.directory.Incarnation`.

        :raises InvalidIdentityError: if the identity is not valid.
        """
        return Incarnation(Identity(self.instance), self.started_ms)


class UpstreamView:
    """The upstream on the host of a node, as known from its reports."""

    def __init__(self):
        self._report = None
        # Key of a leaving incarnation that this process has no report of.
        self._unreported = ""
        self._reported_at = 0.0
        self._is_down = False
        # Sequence number of the last report that was late, since the newest one.
        self._late_sequence = None
        # Report that waits for a second one, and the time at which it arrived.
        self._candidate = None
        self._candidate_at = 0.0
        # Newest reports of incarnations that were displaced.
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
        key = self.incarnation_key
        return parse_incarnation(key).instance if key else ""

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

    def check_sender(self, report):
        """Checks that a report may come from the upstream whose identity it has.

        :raises ReportRefusedError: if it lacks the start time that this upstream has
            stated before.
        """
        if report.started_ms is not None:
            return
        for known in self._known_reports():
            if known.instance == report.instance and known.started_ms is not None:
                raise ReportRefusedError("start", "it does not state its start time")

    def needs_confirmation(self, report, now):
        """Returns whether the upstream should be asked before a report is handled.

        A report of another identity must not displace an upstream that still reports.
        One of another start must neither end it, nor bring a leaving one back into use.
        The end of an unknown identity would be stored.

        :param now: monotonic seconds.
        """
        current = self._report
        if current is not None and report.incarnation == current.incarnation:
            return False
        other = self._other_incarnations.get(report.incarnation)
        if other is not None and report.sequence <= other.sequence:
            return False
        if self.revives(report):
            return True
        if not self.is_present(now):
            return report.is_draining and not self.knows(report.instance)
        return report.instance != current.instance or report.is_draining

    def handle_report(self, report, now, is_confirmed=False):
        """Handles a report.

        An incarnation that was draining does not become ready again.

        :param now: monotonic seconds.
        :param is_confirmed: whether the upstream has responded with the identity of the
            report.
        :return: whether the report was accepted.
        """
        current = self._report
        if current is not None and report.incarnation == current.incarnation:
            if not self._is_next(report, now):
                # An announced end is final, however late the report is.
                self._mark_if_leaving(report)
                return False
        elif not (is_confirmed or self._may_displace(report, now)):
            return False
        elif current is not None:
            self._store_other(current)
        self._other_incarnations.pop(report.incarnation, None)
        self._report = self._mark_if_leaving(report)
        self._reported_at = now
        self._is_down = False
        self._late_sequence = None
        self._candidate = None
        return True

    def find_incarnation(self, instance):
        """Returns the known :class:`Incarnation` of an instance, or ``None``."""
        for report in self._known_reports():
            if report.instance == instance:
                return report.incarnation
        return None

    def knows(self, instance):
        """Returns whether an instance has reported or announced its end before."""
        return instance in self._leaving or self.find_incarnation(instance) is not None

    def is_present(self, now):
        """Returns whether the current upstream still reports and has not left.

        :param now: monotonic seconds.
        """
        if self._report is None or self._is_down or self._report.is_draining:
            return False
        return not self._is_silent(now)

    def revives(self, report):
        """Returns whether a report states a later start of a leaving upstream."""
        if report.is_draining or report.started_ms is None:
            return False
        left_ms = self._leaving.get(report.instance)
        return left_ms is not None and report.started_ms > left_ms

    def mark_draining(self, key):
        """Marks the upstream as draining if it is about to stop without reporting so.

        :param key: key of the incarnation that is about to stop, without its start time
            if that is not known.
        :return: whether the state of the current upstream has changed.
        """
        incarnation = parse_incarnation(key)
        if incarnation.started_ms is None:
            incarnation = self.find_incarnation(incarnation.instance) or incarnation
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

    def _known_reports(self):
        if self._report is not None:
            yield self._report
        yield from self._other_incarnations.values()

    def _is_silent(self, now):
        return now - self._reported_at > SILENCE_TIMEOUT_S

    def _is_next(self, report, now):
        """Returns whether a report of the current incarnation is not a late one.

        A number that is too high would make all later reports look late. They are
        accepted again once only such reports have arrived for some time.
        """
        if report.sequence > self._report.sequence:
            return True
        late, self._late_sequence = self._late_sequence, report.sequence
        return late is not None and report.sequence > late and self._is_silent(now)

    def _may_displace(self, report, now):
        """Returns whether an unconfirmed report displaces the current incarnation."""
        other = self._other_incarnations.get(report.incarnation)
        if other is not None:
            if report.sequence <= other.sequence:
                return False
            # An incarnation that reports while the current one is silent was displaced
            # wrongly.
            self._other_incarnations[report.incarnation] = self._mark_if_leaving(report)
            return self._is_silent(now)
        current = self._report
        if current is None or not self._starts_earlier(report):
            is_unopposed = not self.is_present(now) and not self.revives(report)
            return is_unopposed or self._is_repeated(report, now)
        # The clock may have been set back before the reporting incarnation started,
        # which then looks older. It may also be late reports of an older incarnation.
        return self._is_repeated(report, now) and self._is_silent(now)

    def _starts_earlier(self, report):
        current_ms = self._report.started_ms
        if None in (current_ms, report.started_ms):
            return False
        return report.started_ms <= current_ms

    def _is_repeated(self, report, now):
        """Returns whether a report is the second one of its incarnation.

        The current incarnation has sent none between the two.
        """
        candidate = self._candidate
        if candidate is None or candidate.incarnation != report.incarnation:
            self._candidate = report
            self._candidate_at = now
            return False
        is_apart = now - self._candidate_at >= CONFIRMATION_GAP_S
        return is_apart and report.sequence > candidate.sequence

    def _mark_if_leaving(self, report):
        """Returns a report as draining if its incarnation is known to leave."""
        if report.is_draining:
            self._set_leaving(report.incarnation)
            return report
        if report.instance not in self._leaving or self.revives(report):
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

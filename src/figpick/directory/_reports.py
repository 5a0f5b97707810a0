"""What an upstream says of itself, and which of its reports count.

Reports can be late: one that a partition held up may come after its sender has
crashed and a new start has taken its place.
"""

from typing import NamedTuple

from ._records import DRAINING, NO_UPSTREAM, READY

# Three heartbeats: a start that was silent for longer has ended.
SILENT_START_S = 4.5
# Sequence numbers of the first reports of a start.
FIRST_SEQUENCES = 2
MAX_PAST = 64


class UpstreamReport(NamedTuple):
    """One heartbeat of an upstream.

    :param instance: identity of the upstream.
    :param started_ms: Unix milliseconds of its start; ``None`` where each start has
        an identity of its own.
    :param sequence: grows with each report of one start.
    :param service: service that it belongs to.
    :param address: tuple of IP address and port.
    :param slots: requests that it runs at once.
    :param is_draining: whether it is about to leave.
    :param cold_s: seconds for which it is still slow.
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
    def start(self):
        """What tells two starts apart."""
        return self.instance, self.started_ms


class UpstreamView:
    """The upstream beside a node, from its reports."""

    def __init__(self):
        self._report = None
        self._heard_at = 0.0
        self._is_down = False
        # Newest reports of earlier starts.
        self._past = {}

    def __repr__(self):
        return f"<UpstreamView {self.instance} {self.state}>"

    @property
    def report(self):
        """Newest :class:`UpstreamReport`, or ``None``."""
        return self._report

    @property
    def instance(self):
        """Identity of the upstream, empty without one."""
        return self._report.instance if self._report else ""

    @property
    def slots(self):
        """Requests that may be sent at once, 0 unless it takes new ones."""
        return self._report.slots if self.state == READY else 0

    @property
    def state(self):
        """``ready``, ``draining`` or ``none``."""
        if self._report is None or self._is_down:
            return NO_UPSTREAM
        return DRAINING if self._report.is_draining else READY

    def handle_report(self, report, now):
        """Takes a report.

        :param now: monotonic seconds.
        :return: whether it counts. An upstream that has said that it leaves does not
            become ready again.
        """
        known = self._report
        if known is not None and report.start == known.start:
            if report.sequence <= known.sequence:
                return False
            if known.is_draining:
                report = report._replace(is_draining=True)
        elif known is not None:
            if not self._has_replaced(report, now):
                return False
            self._keep(known)
            self._past.pop(report.start, None)
        self._report = report
        self._heard_at = now
        self._is_down = False
        return True

    def mark_draining(self, instance):
        """Notes that an upstream is about to end without a draining report.

        :return: whether that changes the state.
        """
        if self._report is None or self._report.instance != instance:
            return False
        self._report = self._report._replace(is_draining=True)
        return True

    def mark_down(self):
        """Notes that the upstream refuses connections; its next report ends that."""
        self._is_down = True

    def restore_instance(self, instance):
        """Notes the identity with which the upstream refused another one's request.

        A late report of an earlier start may have displaced the right one.
        """
        for past in self._past.values():
            if past.instance == instance:
                self._keep(self._report)
                self._report = past
                self._is_down = False
                return
        self.mark_down()

    def _has_replaced(self, report, now):
        """Tells whether a report of another start is newer than what is known."""
        known = self._report
        silent = now - self._heard_at > SILENT_START_S
        past = self._past.get(report.start)
        if past is not None:
            # It was displaced wrongly if it goes on while the other one is silent.
            self._past[report.start] = report
            return silent and report.sequence > past.sequence
        if known.started_ms is not None and report.started_ms is not None:
            if report.started_ms > known.started_ms:
                return True
            # The time of day may have jumped back before the start, which then
            # looks older; a late report comes singly.
            self._keep(report)
            return False
        has_ended = self._is_down or known.is_draining
        return silent or has_ended or report.sequence <= FIRST_SEQUENCES

    def _keep(self, report):
        self._past[report.start] = report
        if len(self._past) > MAX_PAST:
            del self._past[next(iter(self._past))]

"""Detects times in which the process did not run, such as a freeze of its host."""

RECORD_PERIOD_S = 0.5
# Longer gaps between two records than the period and the delays of a busy host.
MIN_PAUSE_S = 1.2
# A signal that arrives in a pause is handled this soon after its end.
HANDLING_TIME_S = 0.2
# What is read right after a pause waits for the signals that are handled after it.
SETTLING_TIME_S = 0.02


class PauseDetector:
    """Knows the last pause of the process.

    :param now: monotonic seconds.
    """

    def __init__(self, now):
        self._recorded_at = now
        self._paused_from = self._paused_until = None

    def __repr__(self):
        return f"<PauseDetector {self._paused_from} {self._paused_until}>"

    def record(self, now):
        """Records that the process runs.

        :param now: monotonic seconds.
        """
        if now - self._recorded_at >= MIN_PAUSE_S:
            self._paused_from, self._paused_until = self._recorded_at, now
        self._recorded_at = now

    def settling_s(self, now):
        """Returns the seconds until signals that waited in a pause are handled.

        :param now: monotonic seconds.
        """
        self.record(now)
        if self._paused_until is None:
            return 0.0
        return max(0.0, self._paused_until + SETTLING_TIME_S - now)

    def earliest_signal_at(self, now):
        """Returns the earliest time at which a signal that is handled now was sent.

        :param now: monotonic seconds.
        """
        self.record(now)
        if self._paused_until is None or now - self._paused_until > HANDLING_TIME_S:
            return now
        return self._paused_from

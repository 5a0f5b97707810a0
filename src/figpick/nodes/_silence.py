"""Detects hosts that no longer respond, before their links are closed as silent.

It handles a host that loses power, freezes or is cut off while calls wait for it. Its
link is closed only after more than a second of silence, so that a busy host keeps its
calls. Until then, each call that is sent to it is likely to be lost.
"""

# A host that owes a response is probed after this many times the usual service time of
# the call without any message.
PROBE_FACTOR = 1.5
MIN_PROBE_S = 0.15
# A host that does not respond to the probe within this time is suspected. A host under
# load takes some tens of milliseconds.
PROBE_TIMEOUT_S = 0.15


class SilenceDetector:
    """Whether one host is suspected, from the times of its messages."""

    __slots__ = ("_probed_at", "_is_suspected")

    def __init__(self):
        self._probed_at = None
        self._is_suspected = False

    def __repr__(self):
        return f"<SilenceDetector {self._is_suspected}>"

    @property
    def is_suspected(self):
        """Whether the host did not respond to the last probe when last checked."""
        return self._is_suspected

    def check(self, heard_at, owed_since, service_s, now):
        """Updates the suspicion.

        :param heard_at: monotonic seconds of the last message of the host.
        :param owed_since: monotonic seconds since which the oldest call waits for its
            response, or ``None`` without one.
        :param service_s: usual service time of that call.
        :param now: monotonic seconds.
        :return: whether to probe the host now.
        """
        if self._probed_at is not None:
            if heard_at >= self._probed_at:
                self._probed_at = None
                self._is_suspected = False
            else:
                self._is_suspected = now - self._probed_at >= PROBE_TIMEOUT_S
            return False
        if owed_since is None:
            return False
        silent_s = now - max(heard_at, owed_since)
        if silent_s < max(MIN_PROBE_S, PROBE_FACTOR * service_s):
            return False
        self._probed_at = now
        return True

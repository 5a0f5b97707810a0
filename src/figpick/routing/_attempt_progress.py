"""Decides whether a connection is silent although its upstream responds.

A slow upstream delays every call, so a call is compared with the calls that were sent
after it. Its connection is suspected of being silent when the call made no progress
for a multiple of the expected latency and, in addition, later calls overtook it or the
upstream responds on a new connection.
"""

from enum import Enum

MIN_SILENCE_S = 0.1
SILENCE_LATENCY_FACTOR = 4
MIN_OVERTAKING_CALLS = 3
# Calls that can't be retried wait longer, since giving them up loses their response.
GIVE_UP_FACTOR = 2
# Factor by which the peak latency decays with each response. A peak is used instead of
# a mean so that rare slow responses of a route are not mistaken for silence.
PEAK_DECAY = 0.98


class Action(Enum):
    """What to do about a call that waits for its upstream."""

    WAIT = "wait"
    PROBE = "probe"
    SUSPECT = "suspect"
    GIVE_UP = "give-up"


class Latencies:
    """Expected time to the head of a response, by route."""

    def __init__(self):
        self._peaks = {}

    def observe(self, route, latency_s):
        """Updates the expected time from a response.

        :param route: service and route id.
        :param latency_s: seconds from the send to the head of the response.
        """
        peak = self._peaks.get(route, 0.0) * PEAK_DECAY
        self._peaks[route] = latency_s if latency_s > peak else peak

    def expected_latency_s(self, route):
        """Returns the expected time in seconds, ``None`` before the first response."""
        return self._peaks.get(route)


class AttemptProgress:
    """The progress of one attempt that was sent to an upstream.

    :param route: service and route id.
    :param on_new_connection: whether it is the first call on its connection.
    :param now: monotonic seconds.
    :param listener: object with ``on_suspect()`` and ``on_give_up()``.
    """

    __slots__ = (
        "route",
        "on_new_connection",
        "listener",
        "sent_at",
        "last_progress_at",
        "awaits_upstream",
        "overtaking_count",
        "overtaken_on_new_connection",
        "overtaking_latency_s",
        "is_suspected",
    )

    def __init__(self, route, on_new_connection, now, listener):
        self.route = route
        self.on_new_connection = on_new_connection
        self.listener = listener
        self.sent_at = now
        self.awaits_upstream = True
        self.record_progress(now)

    def record_progress(self, now):
        """Records that bytes were sent to or received from the upstream."""
        self.last_progress_at = now
        self.overtaking_count = 0
        self.overtaken_on_new_connection = False
        self.overtaking_latency_s = 0.0
        self.is_suspected = False

    def silence_limit_s(self, expected_s):
        """Returns the seconds without progress after which a call may be suspected.

        :param expected_s: expected seconds to the head of the response.
        """
        if self.overtaking_count:
            # The mean is used because a single call may be slow by chance.
            expected_s = max(
                expected_s, self.overtaking_latency_s / self.overtaking_count
            )
        return max(MIN_SILENCE_S, SILENCE_LATENCY_FACTOR * expected_s)


class UpstreamAttempts:
    """The attempts in flight at one upstream, in the order in which they were sent.

    :param latencies: :class:`Latencies`.
    """

    def __init__(self, latencies):
        self._latencies = latencies
        self._attempts = {}
        self._last_probe_at = float("-inf")

    def __len__(self):
        return len(self._attempts)

    def add(self, attempt):
        """Adds an attempt that has been sent."""
        self._attempts[attempt] = None

    def remove(self, attempt):
        """Removes an attempt that has ended."""
        self._attempts.pop(attempt, None)

    def record_response_head(self, attempt, now):
        """Records that the head of a response was received.

        :param now: monotonic seconds.
        """
        latency_s = now - attempt.sent_at
        for earlier in self._attempts:
            if earlier is attempt:
                break
            if earlier.awaits_upstream and earlier.last_progress_at <= attempt.sent_at:
                _record_overtaking(earlier, attempt, latency_s)
        self._latencies.observe(attempt.route, latency_s)
        attempt.record_progress(now)

    def record_probe(self, sent_at):
        """Records that the upstream responded to a probe on a new connection.

        :param sent_at: monotonic seconds at which the probe was sent.
        """
        self._last_probe_at = sent_at

    def overdue_attempts(self, now):
        """Returns the attempts that need an action, each with its action.

        :param now: monotonic seconds.
        :return: list of pairs of :class:`AttemptProgress` and :class:`Action`, which is
            never ``WAIT``.
        """
        actions = []
        for attempt in self._attempts:
            if now - attempt.sent_at < MIN_SILENCE_S:
                break
            action = self._choose_action(attempt, now)
            if action is not Action.WAIT:
                actions.append((attempt, action))
        return actions

    def _choose_action(self, attempt, now):
        expected_s = self._latencies.expected_latency_s(attempt.route)
        if not attempt.awaits_upstream or expected_s is None:
            return Action.WAIT
        silence_s = now - attempt.last_progress_at
        silence_limit_s = attempt.silence_limit_s(expected_s)
        if silence_s < silence_limit_s:
            return Action.WAIT
        if attempt.overtaking_count < MIN_OVERTAKING_CALLS:
            if self._last_probe_at < attempt.last_progress_at:
                return Action.PROBE
            if not attempt.overtaken_on_new_connection and self._has_newer_waiting_call(
                attempt
            ):
                return Action.WAIT
        if silence_s >= GIVE_UP_FACTOR * silence_limit_s:
            return Action.GIVE_UP
        return Action.SUSPECT

    def _has_newer_waiting_call(self, attempt):
        # An upstream that slows down responds to probes as well. While a later call
        # on a new connection still waits, the upstream may be slow.
        return any(
            other.on_new_connection
            and other.awaits_upstream
            and other.sent_at > attempt.last_progress_at
            for other in self._attempts
        )


def _record_overtaking(earlier, attempt, latency_s):
    earlier.overtaking_count += 1
    earlier.overtaken_on_new_connection |= attempt.on_new_connection
    earlier.overtaking_latency_s += latency_s

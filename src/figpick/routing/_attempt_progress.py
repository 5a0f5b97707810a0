"""Decides whether a connection stopped responding while its upstream did not.

A slow upstream delays every call, so a call is compared with the calls sent after
it: it is suspect when it made no progress for a multiple of what calls take and
later calls overtook it, or when the upstream answers on a new connection.
"""

from enum import Enum

MIN_SILENCE_S = 0.1
LATENCY_FACTOR = 4
OVERTAKING_CALLS = 3
# Calls that cannot be sent again wait longer, since ending them loses their answer.
GIVE_UP_FACTOR = 2
# Share of the peak latency that each further answer keeps. A peak instead of a mean
# keeps rare slow answers of a route from being taken for silence.
PEAK_DECAY = 0.98


class Verdict(Enum):
    """What to do about a call that waits for its upstream."""

    WAIT = "wait"
    PROBE = "probe"
    SUSPECT = "suspect"
    GIVE_UP = "give-up"


class Latencies:
    """Expected seconds to the head of an answer, by route."""

    def __init__(self):
        self._peaks = {}

    def observe(self, route, latency_s):
        """Learns from an answer.

        :param route: service and route id.
        """
        peak = self._peaks.get(route, 0.0) * PEAK_DECAY
        self._peaks[route] = latency_s if latency_s > peak else peak

    def expected(self, route):
        """Gives the expected seconds, ``None`` before the first answer."""
        return self._peaks.get(route)


class AttemptProgress:
    """One attempt that waits for its upstream.

    :param route: service and route id.
    :param fresh: whether it is the first call on its connection.
    :param now: monotonic seconds.
    :param listener: object with ``on_suspect()`` and ``on_give_up()``.
    """

    __slots__ = (
        "route",
        "fresh",
        "listener",
        "sent_at",
        "progress_at",
        "awaits_upstream",
        "overtaken",
        "overtaken_by_fresh",
        "overtakers_s",
        "is_suspected",
    )

    def __init__(self, route, fresh, now, listener):
        self.route = route
        self.fresh = fresh
        self.listener = listener
        self.sent_at = now
        self.awaits_upstream = True
        self.record_progress(now)

    def record_progress(self, now):
        """Notes that bytes went to or came from the upstream."""
        self.progress_at = now
        self.overtaken = 0
        self.overtaken_by_fresh = False
        self.overtakers_s = 0.0
        self.is_suspected = False

    def limit_s(self, expected_s):
        """Seconds without progress after which the call may be suspect."""
        if self.overtaken:
            # The mean, since one call that was delayed by chance says little.
            expected_s = max(expected_s, self.overtakers_s / self.overtaken)
        return max(MIN_SILENCE_S, LATENCY_FACTOR * expected_s)


class UpstreamAttempts:
    """The attempts in flight at one upstream, in the order in which they started.

    :param latencies: :class:`Latencies`.
    """

    def __init__(self, latencies):
        self._latencies = latencies
        self._flights = {}
        self._probed_at = float("-inf")

    def __len__(self):
        return len(self._flights)

    def add(self, flight):
        """Takes an attempt that has been sent."""
        self._flights[flight] = None

    def remove(self, flight):
        """Forgets an attempt that has ended."""
        self._flights.pop(flight, None)

    def record_response_head(self, flight, now):
        """Notes that the head of an answer came.

        :param now: monotonic seconds.
        """
        latency_s = now - flight.sent_at
        for earlier in self._flights:
            if earlier is flight:
                break
            if earlier.awaits_upstream and earlier.progress_at <= flight.sent_at:
                _overtake(earlier, flight, latency_s)
        self._latencies.observe(flight.route, latency_s)
        flight.record_progress(now)

    def record_probe(self, sent_at):
        """Notes that the upstream answered a probe on a new connection.

        :param sent_at: monotonic seconds at which the probe was sent.
        """
        self._probed_at = sent_at

    def assess(self, now):
        """Judges the attempts that have waited long.

        :param now: monotonic seconds.
        :return: list of pairs of :class:`AttemptProgress` and :class:`Verdict`, without
            ``WAIT``.
        """
        verdicts = []
        for flight in self._flights:
            if now - flight.sent_at < MIN_SILENCE_S:
                break
            verdict = self._judge(flight, now)
            if verdict is not Verdict.WAIT:
                verdicts.append((flight, verdict))
        return verdicts

    def _judge(self, flight, now):
        expected_s = self._latencies.expected(flight.route)
        if not flight.awaits_upstream or expected_s is None:
            return Verdict.WAIT
        silent_s = now - flight.progress_at
        limit_s = flight.limit_s(expected_s)
        if silent_s < limit_s:
            return Verdict.WAIT
        if flight.overtaken < OVERTAKING_CALLS:
            if self._probed_at < flight.progress_at:
                return Verdict.PROBE
            if not flight.overtaken_by_fresh and self._newer_waits(flight):
                return Verdict.WAIT
        if silent_s >= GIVE_UP_FACTOR * limit_s:
            return Verdict.GIVE_UP
        return Verdict.SUSPECT

    def _newer_waits(self, flight):
        # An upstream that slows down answers probes too. A later call on a new
        # connection that still waits leaves open whether the upstream is slow.
        return any(
            other.fresh and other.awaits_upstream and other.sent_at > flight.progress_at
            for other in self._flights
        )


def _overtake(earlier, flight, latency_s):
    earlier.overtaken += 1
    earlier.overtaken_by_fresh |= flight.fresh
    earlier.overtakers_s += latency_s

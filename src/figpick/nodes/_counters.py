"""Counters and latency histograms of calls, for the metrics endpoint."""

from bisect import bisect_left

LATENCY_BOUNDS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)


class CallCounters:
    """Counts calls by route and outcome, and their latencies by route.

    :param clock: :class:`~figpick.base._clock.Clock`.
    """

    def __init__(self, clock):
        self._clock = clock
        self._outcomes = {}
        self._latencies = {}
        self._connection_events = {}

    def __repr__(self):
        return f"<CallCounters {sum(self._outcomes.values())}>"

    @property
    def outcomes(self):
        """Dict of the number of calls by route and outcome."""
        return self._outcomes

    @property
    def latencies(self):
        """Dict of route to the counts by :data:`LATENCY_BOUNDS_S` and the sum in s."""
        return self._latencies

    @property
    def connection_events(self):
        """Dict of the number of events on client connections by a tuple of the event.

        ``behind-close``: request that was passed on and abandoned, since a response
        before it closed the connection. ``cut``: request without a whole response on
        a connection that a timeout or a lack of memory ended. ``cut-at-stop``: the same
        at the end of a stop. ``evicted``: connection that was closed for a new one.
        """
        return self._connection_events

    def count_connection_event(self, event, number=1):
        """Counts an event on a client connection.

        :param event: one of the events of :attr:`connection_events`.
        """
        key = (event,)
        self._connection_events[key] = self._connection_events.get(key, 0) + number

    def count(self, call, outcome, status=0):
        """Counts a finished call.

        :param call: :class:`~figpick.nodes._calls.Call`.
        :param outcome: ``answered``, ``refused``, ``failed``, ``timeout``,
            ``broken``, ``abandoned`` or ``no-route``.
        :param status: status of the response of an upstream; an ``answered`` call
            with a status from 500 on counts as ``upstream-failure``.
        """
        if status >= 500:
            outcome = "upstream-failure"
        route = call.route.name if call.route else ""
        key = route, outcome
        self._outcomes[key] = self._outcomes.get(key, 0) + 1
        if outcome == "answered":
            latency_s = self._clock.monotonic() - call.started_at
            row = self._latencies.get(route)
            if row is None:
                row = self._latencies[route] = [0] * (len(LATENCY_BOUNDS_S) + 1) + [0.0]
            row[bisect_left(LATENCY_BOUNDS_S, latency_s)] += 1
            row[-1] += latency_s

"""Statistics of calls that a calling node collects and reports to owners."""

from ._admission_levels import PRIORITY_BINS, SHORT_REQUEST_S, Report, priority_bin

TRIAL_PERIOD_S = 0.1
MEDIAN_STEP = 0.1


class OfferedLoad:
    """Counts the requests offered to a service by priority bin."""

    def __init__(self):
        self.counts = [0] * PRIORITY_BINS

    def add(self, priority):
        """Counts a request, whether or not it is refused later."""
        self.counts[priority_bin(priority)] += 1


class TypicalServiceTimes:
    """Tracks the typical (p50) service time of each route of a service."""

    def __init__(self):
        self._medians = {}
        self._trial_at = {}

    def get(self, route_id):
        """Returns the typical seconds of a route, 0 if unknown."""
        return self._medians.get(route_id, 0.0)

    def add(self, route_id, seconds):
        """Updates the typical service time of a route from a call.

        :param seconds: service time of the call; for a cancelled call, the time until
            it was cancelled.
        """
        known = self._medians.get(route_id)
        if known is None:
            self._medians[route_id] = seconds
        elif seconds > known:
            self._medians[route_id] = min(known * (1 + MEDIAN_STEP), seconds)
        elif seconds < known / 2:
            # Adapts quickly, so that an upstream that is fast again soon gets calls.
            self._medians[route_id] = (known + seconds) / 2
        else:
            self._medians[route_id] = max(known * (1 - MEDIAN_STEP), seconds)

    def allows(self, route_id, remaining_s, now):
        """Returns whether a call can end before its deadline or is due as a trial.

        :param remaining_s: seconds until the deadline of the call.
        :param now: monotonic seconds.
        """
        if remaining_s >= self.get(route_id):
            return True
        if now - self._trial_at.get(route_id, 0.0) < TRIAL_PERIOD_S:
            return False
        self._trial_at[route_id] = now
        return True


class CallStatistics:
    """Collects the statistics of one upstream since the last report.

    :param offered: :class:`OfferedLoad` of the service.
    :param now: monotonic seconds.
    """

    def __init__(self, offered, now):
        self._offered = offered
        self._reported_counts = list(offered.counts)
        self._reported_at = now
        self._in_flight = {}
        self._clear()

    def record_start(self, plan, wait_s, now):
        """Records a call that got a permit.

        :param plan: :class:`~figpick.calls._plans.CallPlan`.
        :param wait_s: seconds that the call waited for the permit.
        :param now: monotonic seconds.
        """
        self._waits += 1
        self._wait_s += wait_s
        self._in_flight.setdefault(plan.context.execution_id, []).append(now)

    def record_timeout(self, wait_s):
        """Records a call that got no permit in time.

        :param wait_s: seconds that the call waited.
        """
        self._waits += 1
        self._wait_s += wait_s

    def record_end(self, plan, result, now):
        """Records the end of a call.

        :param result: :class:`~figpick.routing._upstream.UpstreamResult`.
        :param now: monotonic seconds.
        """
        started = self._in_flight[plan.context.execution_id]
        started_at = started.pop()
        if not started:
            del self._in_flight[plan.context.execution_id]
        if result.refused:
            self._shed += 1
            return
        self._completed += 1
        latency_s = now - started_at
        self._latency_s += latency_s
        if result.is_complete and latency_s <= SHORT_REQUEST_S:
            self._short += 1
            self._short_s += latency_s
        if result.status == 503:
            self._shed += 1
        if not result.is_complete and not result.cancelled:
            self._incomplete += 1
        route_id = plan.route.route_id
        self._routes[route_id] = self._routes.get(route_id, 0) + 1

    def pop_report(self, upstream_count, now):
        """Returns the report and resets the statistics.

        :param upstream_count: number of upstreams among which the load is divided.
        :param now: monotonic seconds.
        :return: :class:`~figpick.permits._admission_levels.Report`.
        """
        counts = self._offered.counts
        offered = tuple(
            (index, round((count - self._reported_counts[index]) / upstream_count, 3))
            for index, count in enumerate(counts)
            if count != self._reported_counts[index]
        )
        starts = [at for started in self._in_flight.values() for at in started]
        report = Report(
            span_s=round(now - self._reported_at, 4),
            offered=offered,
            completed=self._completed,
            latency_s=round(self._latency_s, 4),
            incomplete=self._incomplete,
            shed=self._shed,
            waits=self._waits,
            wait_s=round(self._wait_s, 4),
            in_flight=len(starts),
            age_s=round(now * len(starts) - sum(starts), 4),
            routes=tuple(self._routes.items()),
            short=self._short,
            short_s=round(self._short_s, 4),
        )
        self._reported_counts = list(counts)
        self._reported_at = now
        self._clear()
        return report

    def _clear(self):
        self._completed = 0
        self._latency_s = 0.0
        self._incomplete = 0
        self._shed = 0
        self._waits = 0
        self._wait_s = 0.0
        self._routes = {}
        self._short = 0
        self._short_s = 0.0

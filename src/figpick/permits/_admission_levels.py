"""Admission levels: priorities below which requests are refused.

The owner of an upstream computes its level from the reports of calling nodes. A node
forwards the levels of the services that its upstream calls to its own callers, by
route, so that requests are refused at the entry of the graph, before work is spent
on them.
"""

import math
from collections import deque
from typing import NamedTuple

BINS_PER_IMPORTANCE = 4
PRIORITY_BINS = 10 * BINS_PER_IMPORTANCE
MAX_LEVEL = 10.0
LEVEL_PERIOD_S = 0.1
DEFAULT_QUEUE_S = 0.1
# Load up to this multiple of the capacity is admitted; queues absorb the excess.
HEADROOM = 1.05
FIRST_STEP = 0.05
STEP_GROWTH = 1.5
# With half of the slots unused, a growth of 1.5 took 1.1 s from the highest level to 0.
IDLE_STEP_GROWTH = 3.0
IDLE_UTILISATION = 0.5
# Measured load fluctuates by a fifth at 50 requests per second, so the level is set
# directly from the capacity only if the load exceeds it by more than that.
OVERLOAD_RATIO = 1.25
# The level never rises so far that the admitted load is below this share of capacity.
MIN_LOAD_SHARE = 0.9
# Share of slots in use from which the level is not lowered.
FULL_UTILISATION = 0.93
# The level rises when the mean wait exceeds this share of the maximum wait. A short
# standing queue keeps the slots in use: 0.2 left 4 to 9 of 100 slots unused, 0.4 left
# 2 to 5.
WAIT_TARGET_SHARE = 0.4
WAIT_WINDOW_S = 0.25
RATE_TIME_CONSTANT_S = 0.5
SERVICE_WINDOW_S = 0.5
REPORT_LIFETIME_S = 5.0
# For a while after a slow phase, requests that started during it still end. Requests
# that took at most this time show that the upstream is fast again.
SHORT_REQUEST_S = 0.5
MIN_SHORT_REQUESTS = 3
SLOW_FACTOR = 2.0
LONG_RUN_WEIGHT = 0.002
# Share of the difference to the typical service time that is kept per 100 ms without
# a response.
NO_RESPONSE_DECAY = 0.85
UTILISATION_WEIGHT = 0.3


class Report(NamedTuple):
    """Observations of a calling node at one upstream since its last report.

    :param span_s: seconds that the report covers.
    :param offered: pairs of priority bin and number of requests.
    :param completed: requests that ended, without refused connections.
    :param latency_s: sum of their seconds at the upstream.
    :param incomplete: requests without a complete response.
    :param shed: requests and connections that the upstream refused.
    :param waits: requests that got a permit or timed out in the queue.
    :param wait_s: sum of the seconds that they waited for a permit.
    :param in_flight: requests in flight.
    :param age_s: sum of the seconds since these were sent.
    :param routes: pairs of route id and number of executions that ended.
    :param short: requests with a complete response within ``SHORT_REQUEST_S``.
    :param short_s: sum of their seconds at the upstream.
    """

    span_s: float
    offered: tuple = ()
    completed: int = 0
    latency_s: float = 0.0
    incomplete: int = 0
    shed: int = 0
    waits: int = 0
    wait_s: float = 0.0
    in_flight: int = 0
    age_s: float = 0.0
    routes: tuple = ()
    short: int = 0
    short_s: float = 0.0


def priority_bin(priority):
    """Returns the bin of a priority, 0 to 39."""
    return min(int(priority * BINS_PER_IMPORTANCE), PRIORITY_BINS - 1)


def rate_above(rates, level):
    """Returns the summed rates above a level.

    The bin that contains the level counts in proportion to its part above the level.

    :param rates: requests per second by priority bin.
    """
    position = level * BINS_PER_IMPORTANCE
    lowest = int(position)
    if lowest >= PRIORITY_BINS:
        return 0.0
    return sum(rates[lowest + 1 :]) + rates[lowest] * (1 - position + lowest)


def level_for(rates, capacity):
    """Returns the lowest level above which the load fits into a capacity.

    :param rates: requests per second by priority bin.
    :param capacity: requests per second.
    """
    total = 0.0
    for index in range(PRIORITY_BINS - 1, -1, -1):
        if total + rates[index] > capacity:
            part = (capacity - total) / rates[index]
            return (index + 1 - part) / BINS_PER_IMPORTANCE
        total += rates[index]
    return 0.0


class _CallerState:
    __slots__ = ("rates", "in_flight", "age_s", "reported_at")

    def __init__(self):
        self.rates = [0.0] * PRIORITY_BINS
        self.in_flight = 0
        self.age_s = 0.0
        self.reported_at = 0.0


class LevelController:
    """Computes the admission level of one upstream.

    ``queue_s`` is the maximum wait of a call for a permit, in seconds.
    """

    def __init__(self):
        self.level = 0.0
        self.queue_s = DEFAULT_QUEUE_S
        self._callers = {}
        self._window = deque()
        self._service_s = 0.0
        self._long_run_s = 0.0
        self._utilisation = 0.0
        self._step = FIRST_STEP

    @property
    def service_s(self):
        """Mean seconds for which a request occupies a slot; 0 if unknown."""
        return self._service_s

    def add_report(self, caller, report, now):
        """Adds the report of a calling node.

        :param caller: name of the calling node.
        :param report: :class:`Report`.
        :param now: monotonic seconds.
        """
        caller_state = self._callers.get(caller)
        if caller_state is None:
            caller_state = self._callers[caller] = _CallerState()
        self._update_rates(caller_state, report)
        caller_state.in_flight = report.in_flight
        caller_state.age_s = report.age_s
        caller_state.reported_at = now
        self._window.append((now, report))

    def offered_rates(self):
        """Returns the offered requests per second by priority bin."""
        rates = [0.0] * PRIORITY_BINS
        for caller in self._callers.values():
            for index, rate in enumerate(caller.rates):
                if rate:
                    rates[index] += rate
        return rates

    def update(self, limit, now):
        """Updates the level; called every 100 ms.

        :param limit: maximum number of requests in flight at the upstream.
        :param now: monotonic seconds.
        :return: the level.
        """
        self._expire_reports(now)
        self._service_s = self._measure_service()
        self._update_long_run()
        in_flight = sum(caller.in_flight for caller in self._callers.values())
        used = in_flight / limit if limit else 1.0
        self._utilisation += UTILISATION_WEIGHT * (used - self._utilisation)
        # A draining upstream has no permits, so there is no capacity to compare with.
        if not self._service_s or not limit:
            return self._lower(0.0)
        capacity = limit / self._service_s
        rates = self.offered_rates()
        admitted = rate_above(rates, self.level)
        highest = level_for(rates, capacity * MIN_LOAD_SHARE)
        if self.level > highest:
            # Callers follow the lowest level among the upstreams of the service.
            self.level = highest
        if admitted > capacity * OVERLOAD_RATIO:
            return self._raise(level_for(rates, capacity * HEADROOM))
        if self._mean_wait(now) > WAIT_TARGET_SHARE * self.queue_s:
            # Part of the load does not get permits in time, so less is admitted.
            return self._raise(min(highest, level_for(rates, admitted / HEADROOM)))
        if self._utilisation >= FULL_UTILISATION:
            self._step = FIRST_STEP
            return self.level
        return self._lower(level_for(rates, capacity * HEADROOM))

    def _raise(self, level):
        self._step = FIRST_STEP
        self.level = max(self.level, level)
        return self.level

    def _lower(self, lowest):
        self.level = max(lowest, self.level - self._step)
        growth = (
            IDLE_STEP_GROWTH if self._utilisation < IDLE_UTILISATION else STEP_GROWTH
        )
        self._step = min(self._step * growth, MAX_LEVEL)
        if self.level <= 0.0:
            self._step = FIRST_STEP
        return self.level

    def _update_rates(self, caller_state, report):
        span_s = max(report.span_s, 0.001)
        share = 1 - math.exp(-span_s / RATE_TIME_CONSTANT_S)
        caller_state.rates = [rate * (1 - share) for rate in caller_state.rates]
        for index, number in report.offered:
            caller_state.rates[index] += share * number / span_s

    def _measure_service(self):
        reports = [report for _, report in self._window]
        completed = sum(report.completed for report in reports)
        if completed:
            mean_s = sum(report.latency_s for report in reports) / completed
        else:
            distance_s = self._service_s - self._long_run_s
            mean_s = self._long_run_s + NO_RESPONSE_DECAY * distance_s
        in_flight = sum(caller.in_flight for caller in self._callers.values())
        if in_flight:
            # The mean over received responses omits those still outstanding.
            age_s = sum(caller.age_s for caller in self._callers.values())
            mean_s = max(mean_s, age_s / in_flight)
        if mean_s > SLOW_FACTOR * self._long_run_s > 0:
            short = sum(report.short for report in reports)
            if short >= MIN_SHORT_REQUESTS:
                return sum(report.short_s for report in reports) / short
        return mean_s

    def _update_long_run(self):
        if not self._long_run_s:
            self._long_run_s = self._service_s
        difference_s = self._service_s - self._long_run_s
        self._long_run_s += LONG_RUN_WEIGHT * difference_s

    def _mean_wait(self, now):
        waits = 0
        wait_s = 0.0
        for at, report in reversed(self._window):
            if now - at > WAIT_WINDOW_S:
                break
            waits += report.waits
            wait_s += report.wait_s
        return wait_s / waits if waits else 0.0

    def _expire_reports(self, now):
        while self._window and now - self._window[0][0] > SERVICE_WINDOW_S:
            self._window.popleft()
        for name, caller in list(self._callers.items()):
            if now - caller.reported_at > REPORT_LIFETIME_S:
                del self._callers[name]


class _RouteCalls:
    __slots__ = ("executions", "call_counts")

    def __init__(self):
        self.executions = 0.0
        self.call_counts = {}


class RouteLevels:
    """Tracks which calls each route of the local service makes.

    The level of a route is the highest level among the calls that it makes in at least
    half of its executions.
    """

    MIN_CALL_SHARE = 0.5
    DECAY_PERIOD_S = 1.0
    DECAY_FACTOR = 0.8
    MIN_EXECUTIONS = 3.0

    def __init__(self):
        self._routes = {}
        self._recent = set()
        self._previous = set()
        self._decayed_at = 0.0

    def record_call(self, route_id, execution_id, called):
        """Records a call made by an execution of the local upstream.

        :param route_id: route of the execution.
        :param execution_id: id of the execution; only the first of its calls to the
            same route counts.
        :param called: pair of service and route id.
        """
        key = (execution_id, called)
        if key in self._recent or key in self._previous:
            return
        self._recent.add(key)
        call_counts = self._route_calls(route_id).call_counts
        call_counts[called] = call_counts.get(called, 0.0) + 1

    def record_executions(self, route_id, number):
        """Records executions of a route that a caller reports."""
        self._route_calls(route_id).executions += number

    def calls(self, route_id):
        """Returns the calls that a route makes in at least half of its executions.

        :return: list of pairs of service and route id.
        """
        entry = self._routes.get(route_id)
        if entry is None:
            return []
        minimum = max(self.MIN_EXECUTIONS, self.MIN_CALL_SHARE * entry.executions)
        return [
            called for called, number in entry.call_counts.items() if number >= minimum
        ]

    def levels(self, level_of):
        """Returns the levels that result from the calls of each route.

        :param level_of: function that returns the level for a service and route id.
        :return: dict from route id to level, without levels of 0.
        """
        levels = {}
        for route_id in self._routes:
            level = max((level_of(*call) for call in self.calls(route_id)), default=0)
            if level > 0:
                levels[route_id] = round(level, 4)
        return levels

    def decay(self, now):
        """Decays older observations once per second; may be called more often.

        :param now: monotonic seconds.
        """
        if now - self._decayed_at < self.DECAY_PERIOD_S:
            return
        self._decayed_at = now
        self._previous, self._recent = self._recent, set()
        for entry in self._routes.values():
            if entry.executions < 2 * self.MIN_EXECUTIONS / self.MIN_CALL_SHARE:
                # Keeps the last known calls of a route that has no new executions.
                continue
            entry.executions *= self.DECAY_FACTOR
            for called in entry.call_counts:
                entry.call_counts[called] *= self.DECAY_FACTOR

    def _route_calls(self, route_id):
        entry = self._routes.get(route_id)
        if entry is None:
            entry = self._routes[route_id] = _RouteCalls()
        return entry

"""Adaptive concurrency limit of an upstream."""

from collections import deque
from typing import NamedTuple

MIN_LIMIT = 1
SHED_FACTOR = 0.75
SLOW_FACTOR = 2.0
# Slowness is mostly caused by a longer queue inside the upstream, which a lower limit
# shortens. A still lower limit does not help against other causes of slowness.
SLOW_FLOOR_SHARE = 0.25
MIN_GRADIENT = 0.5
THROUGHPUT_GAIN = 1.05
# The limit rises from the minimum to the ceiling in 10 updates, 100 ms apart.
RISE_STEPS = 10
LONG_RUN_WEIGHT = 0.002
THROUGHPUT_WEIGHT = 0.05
MIN_COMPLETED = 5
# Calling nodes report a refusal at most one renewal period after it.
FAILED_CALL_LIFETIME_S = 3.0


class Observation(NamedTuple):
    """Observations of calling nodes and the owner in a recent window.

    :param completed: requests that ended.
    :param own_s: mean seconds of a request, without its downstream calls.
    :param rate: requests that ended per second.
    :param shed: requests and connections that the upstream refused.
    """

    completed: int
    own_s: float
    rate: float
    shed: int


class AdaptiveLimit:
    """Limits the requests in flight to the number that the upstream can serve.

    :param ceiling: maximum number of requests in flight, from slots and connections.
    """

    def __init__(self, ceiling=0):
        self._ceiling = ceiling
        self._limit = float(ceiling)
        self._long_run_s = 0.0
        self._long_run_rate = 0.0
        self._changed_at = 0.0

    @property
    def value(self):
        """Current maximum number of requests in flight."""
        if not self._ceiling:
            return 0
        return max(MIN_LIMIT, int(self._limit))

    @property
    def ceiling(self):
        """Maximum number of requests in flight that slots and connections allow."""
        return self._ceiling

    @ceiling.setter
    def ceiling(self, ceiling):
        if ceiling > self._ceiling and self._limit >= self._ceiling:
            self._limit = float(ceiling)
        self._ceiling = ceiling
        self._limit = min(self._limit, float(ceiling))

    def update(self, observation, now):
        """Adapts the limit; called every 100 ms.

        :param observation: :class:`Observation`.
        :param now: monotonic seconds.
        :return: the limit.
        """
        if observation.shed:
            if self._try_lowering(observation, now):
                self._limit = max(MIN_LIMIT, self._limit * SHED_FACTOR)
        elif self._is_slow(observation):
            if self._try_lowering(observation, now):
                self._lower_by_gradient(observation)
        else:
            self._limit += self._ceiling / RISE_STEPS
        self._limit = min(self._limit, float(self._ceiling))
        self._update_long_run(observation)
        return self.value

    def _is_slow(self, observation):
        if observation.completed < MIN_COMPLETED or not self._long_run_s:
            return False
        has_risen = observation.rate > THROUGHPUT_GAIN * self._long_run_rate
        return observation.own_s > SLOW_FACTOR * self._long_run_s and not has_risen

    def _try_lowering(self, observation, now):
        # The effect of the last reduction is visible after one service time.
        if now - self._changed_at < max(observation.own_s, 0.1):
            return False
        self._changed_at = now
        return True

    def _lower_by_gradient(self, observation):
        gradient = SLOW_FACTOR * self._long_run_s / observation.own_s
        floor = min(self._limit, SLOW_FLOOR_SHARE * self._ceiling)
        lowered = self._limit * max(MIN_GRADIENT, gradient)
        self._limit = max(MIN_LIMIT, floor, lowered)

    def _update_long_run(self, observation):
        if observation.completed < MIN_COMPLETED:
            return
        if not self._long_run_s:
            self._long_run_s = observation.own_s
            self._long_run_rate = observation.rate
            return
        self._long_run_s += LONG_RUN_WEIGHT * (observation.own_s - self._long_run_s)
        difference = observation.rate - self._long_run_rate
        self._long_run_rate += THROUGHPUT_WEIGHT * difference


class DownstreamCalls:
    """Tracks the time that local executions spend in calls, and failed calls."""

    def __init__(self):
        self._executions = {}
        self._total_s = 0.0
        self._failed_calls_at = deque()

    def begin(self, execution_id, now):
        """Records the start of a call.

        :param now: monotonic seconds.
        """
        entry = self._executions.setdefault(execution_id, [0, now])
        if not entry[0]:
            entry[1] = now
        entry[0] += 1

    def end(self, execution_id, failed, now):
        """Records the end of a call; the time of parallel calls counts once.

        :param failed: whether the execution got no usable response.
        :param now: monotonic seconds.
        """
        if failed:
            self._failed_calls_at.append(now)
        entry = self._executions.get(execution_id)
        if entry is None:
            return
        entry[0] -= 1
        if not entry[0]:
            self._total_s += now - entry[1]
            del self._executions[execution_id]

    def count_unexplained_refusals(self, shed, now):
        """Returns the number of refusals of the upstream that no failed call explains.

        An application commonly responds with 503 when one of its calls fails, which
        does not indicate overload of the application itself.

        :param shed: number of newly reported refusals.
        :param now: monotonic seconds.
        """
        while (
            self._failed_calls_at
            and now - self._failed_calls_at[0] > FAILED_CALL_LIFETIME_S
        ):
            self._failed_calls_at.popleft()
        while shed and self._failed_calls_at:
            self._failed_calls_at.popleft()
            shed -= 1
        return shed

    def pop_total_s(self):
        """Returns the seconds spent in calls since this method was last called."""
        total_s, self._total_s = self._total_s, 0.0
        return total_s

"""The learned concurrency limit of an upstream."""

from collections import deque
from typing import NamedTuple

MIN_LIMIT = 1
SHED_FACTOR = 0.75
SLOW_FACTOR = 2.0
# A longer queue inside the upstream is the usual cause of slowness, and a lower
# limit shortens it. Slowness with another cause is not cured by a still lower one.
SLOW_FLOOR_SHARE = 0.25
MIN_GRADIENT = 0.5
THROUGHPUT_GAIN = 1.05
# A limit returns from the least to the greatest in 10 updates of 100 ms.
RISE_STEPS = 10
LONG_RUN_WEIGHT = 0.002
THROUGHPUT_WEIGHT = 0.05
MIN_COMPLETED = 5
# Calling nodes report a refusal at most one calm period after it.
FAILED_CALL_LIFETIME_S = 3.0


class Observation(NamedTuple):
    """What calling nodes and the owner saw in a recent window.

    :param completed: requests that ended.
    :param own_s: mean seconds of a request without its downstream calls.
    :param rate: requests that ended per second.
    :param shed: requests and connections that the upstream refused.
    """

    completed: int
    own_s: float
    rate: float
    shed: int


class AdaptiveLimit:
    """Lowers the number of slots to what the upstream can really run.

    :param ceiling: most requests in flight, from slots and connections.
    """

    def __init__(self, ceiling=0):
        self._ceiling = ceiling
        self._limit = float(ceiling)
        self._long_run_s = 0.0
        self._long_run_rate = 0.0
        self._changed_at = 0.0

    @property
    def value(self):
        """Most requests in flight."""
        if not self._ceiling:
            return 0
        return max(MIN_LIMIT, int(self._limit))

    @property
    def ceiling(self):
        """Most requests in flight that slots and connections permit."""
        return self._ceiling

    @ceiling.setter
    def ceiling(self, ceiling):
        if ceiling > self._ceiling and self._limit >= self._ceiling:
            self._limit = float(ceiling)
        self._ceiling = ceiling
        self._limit = min(self._limit, float(ceiling))

    def update(self, observation, now):
        """Adapts the limit; called each 100 ms.

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
        # The effect of the last fall shows after one service time.
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
    """Sums what executions of the local upstream spend in calls, and failures."""

    def __init__(self):
        self._executions = {}
        self._total_s = 0.0
        self._failed_calls_at = deque()

    def begin(self, execution_id, now):
        """Notes the start of a call.

        :param now: monotonic seconds.
        """
        entry = self._executions.setdefault(execution_id, [0, now])
        if not entry[0]:
            entry[1] = now
        entry[0] += 1

    def end(self, execution_id, failed, now):
        """Notes the end of a call; parallel calls count once.

        :param failed: whether the execution got no usable answer.
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
        """Counts the refusals of the upstream that no failed call explains.

        An application commonly answers 503 when a call that it makes fails, which
        says nothing of its own load.

        :param shed: refusals reported now.
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
        """Gives the seconds spent since the last call of this method."""
        total_s, self._total_s = self._total_s, 0.0
        return total_s

"""The learned concurrency limit of an upstream."""

from collections import deque
from typing import NamedTuple

MIN_LIMIT = 1
SHED_FACTOR = 0.75
SLOW_TIMES = 2.0
# A longer queue inside the upstream is the usual cause of slowness, and a lower
# limit shortens it. Slowness with another cause is not cured by a still lower one.
SLOW_FLOOR = 0.25
LEAST_GRADIENT = 0.5
THROUGHPUT_GAIN = 1.05
# A limit returns from the least to the greatest in 10 updates of 100 ms.
RISE_STEPS = 10
LONG_RUN_SHARE = 0.002
THROUGHPUT_SHARE = 0.05
MIN_COMPLETED = 5
# Calling nodes report a refusal at most one calm period after it.
EXCUSE_S = 3.0


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


class LearnedLimit:
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

    def update(self, seen, now):
        """Adapts the limit; called each 100 ms.

        :param seen: :class:`Observation`.
        :param now: monotonic seconds.
        :return: the limit.
        """
        if seen.shed:
            if self._may_fall(seen, now):
                self._limit = max(MIN_LIMIT, self._limit * SHED_FACTOR)
        elif self._slow(seen):
            if self._may_fall(seen, now):
                self._fall_by_gradient(seen)
        else:
            self._limit += self._ceiling / RISE_STEPS
        self._limit = min(self._limit, float(self._ceiling))
        self._learn(seen)
        return self.value

    def _slow(self, seen):
        if seen.completed < MIN_COMPLETED or not self._long_run_s:
            return False
        more = seen.rate > THROUGHPUT_GAIN * self._long_run_rate
        return seen.own_s > SLOW_TIMES * self._long_run_s and not more

    def _may_fall(self, seen, now):
        # The effect of the last fall shows after one service time.
        if now - self._changed_at < max(seen.own_s, 0.1):
            return False
        self._changed_at = now
        return True

    def _fall_by_gradient(self, seen):
        gradient = SLOW_TIMES * self._long_run_s / seen.own_s
        floor = min(self._limit, SLOW_FLOOR * self._ceiling)
        fallen = self._limit * max(LEAST_GRADIENT, gradient)
        self._limit = max(MIN_LIMIT, floor, fallen)

    def _learn(self, seen):
        if seen.completed < MIN_COMPLETED:
            return
        if not self._long_run_s:
            self._long_run_s = seen.own_s
            self._long_run_rate = seen.rate
            return
        self._long_run_s += LONG_RUN_SHARE * (seen.own_s - self._long_run_s)
        difference = seen.rate - self._long_run_rate
        self._long_run_rate += THROUGHPUT_SHARE * difference


class DownstreamCalls:
    """Sums what executions of the local upstream spend in calls, and failures."""

    def __init__(self):
        self._executions = {}
        self._total_s = 0.0
        self._excused = deque()

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
            self._excused.append(now)
        entry = self._executions.get(execution_id)
        if entry is None:
            return
        entry[0] -= 1
        if not entry[0]:
            self._total_s += now - entry[1]
            del self._executions[execution_id]

    def unexcused(self, shed, now):
        """Counts the refusals of the upstream that no failed call explains.

        An application commonly answers 503 when a call that it makes fails, which
        says nothing of its own load.

        :param shed: refusals reported now.
        :param now: monotonic seconds.
        """
        while self._excused and now - self._excused[0] > EXCUSE_S:
            self._excused.popleft()
        while shed and self._excused:
            self._excused.popleft()
            shed -= 1
        return shed

    def take(self):
        """Gives the seconds spent since the last call of this method."""
        total_s, self._total_s = self._total_s, 0.0
        return total_s

"""Load balancing across the upstreams of a service: slow start and ejection."""

from hashlib import blake2b
from statistics import median

SLOW_START_S = 10.0
COLD_WEIGHT = 0.1
INITIAL_LATENCY_S = 0.01
LATENCY_SMOOTHING = 0.1
ERROR_SMOOTHING = 0.05
MIN_CONSECUTIVE_FAILURES = 5
SERVICE_WIDE_FAILURES = 2
MIN_ERROR_SHARE = 0.5
SLOW_LATENCY_FACTOR = 5.0
SLOW_LATENCY_MARGIN_S = 0.05
MIN_SAMPLES = 20
MAX_EJECTED_SHARE = 0.5
INITIAL_BACKOFF_S = 0.5
# An upstream that was ejected during a slow phase of its service must return soon
# after that phase. A trial costs only a single call.
MAX_BACKOFF_S = 2.0
SUBSET_SIZE = 8


class Health:
    """Latency, errors and ejection of one upstream, as measured by a calling node.

    :param cold_since: monotonic seconds at which the slow start of the upstream began,
        or ``None``.
    """

    def __init__(self, cold_since=None):
        self.latency_s = INITIAL_LATENCY_S
        self.error_share = 0.0
        self.consecutive_failures = 0
        self.samples = 0
        self.ejected_until = None
        self._cold_since = cold_since
        self._backoff_s = INITIAL_BACKOFF_S

    @property
    def is_ejected(self):
        """Whether the upstream gets no calls except trials."""
        return self.ejected_until is not None

    def record_success(self, latency_s):
        """Records a complete response.

        :param latency_s: seconds from the send to the end of the response.
        """
        self.samples += 1
        self.consecutive_failures = 0
        self.error_share *= 1 - ERROR_SMOOTHING
        self._update_latency(latency_s)
        if self.is_ejected:
            self._reset()

    def record_failure(self, now):
        """Records a broken connection or a response that reports a failure.

        :param now: monotonic seconds.
        """
        self.samples += 1
        self.consecutive_failures += 1
        self.error_share += ERROR_SMOOTHING * (1 - self.error_share)
        if self.is_ejected:
            self.eject(now)

    def record_abandoned(self, latency_s):
        """Records a call that was given up without a response.

        :param latency_s: seconds from the send until the call was given up.
        """
        if latency_s > self.latency_s:
            self._update_latency(latency_s)

    def eject(self, now):
        """Stops calls for a backoff time that doubles with each ejection.

        :param now: monotonic seconds.
        """
        self.ejected_until = now + self._backoff_s
        self._backoff_s = min(2 * self._backoff_s, MAX_BACKOFF_S)

    def weight(self, now):
        """Returns the weight, which increases from 0.1 to 1 during the slow start.

        :param now: monotonic seconds.
        """
        if self._cold_since is None:
            return 1.0
        age = (now - self._cold_since) / SLOW_START_S
        if age >= 1:
            self._cold_since = None
            return 1.0
        return COLD_WEIGHT + (1 - COLD_WEIGHT) * max(0.0, age)

    def allows_call(self, in_flight, now):
        """Returns whether the upstream is not ejected, or due for a trial.

        :param in_flight: number of calls in flight at the upstream.
        :param now: monotonic seconds.
        """
        return not self.is_ejected or (now >= self.ejected_until and in_flight == 0)

    def _update_latency(self, latency_s):
        weight = max(LATENCY_SMOOTHING, 1 / (self.samples + 1))
        self.latency_s += weight * (latency_s - self.latency_s)

    def _reset(self):
        self.ejected_until = None
        self.error_share = 0.0
        self.samples = 0
        self._backoff_s = INITIAL_BACKOFF_S


def eject_failing(healths, now):
    """Ejects failing upstreams, up to half of all upstreams.

    :param healths: list of :class:`Health` of the upstreams of a service.
    :param now: monotonic seconds.
    :return: number of upstreams that were ejected.
    """
    max_new_ejections = int(len(healths) * MAX_EJECTED_SHARE) - sum(
        item.is_ejected for item in healths
    )
    if max_new_ejections <= 0:
        return 0
    failing = [
        item for item in healths if not item.is_ejected and _is_failing(item, healths)
    ]
    failing.sort(key=lambda item: (-item.consecutive_failures, -item.latency_s))
    for health in failing[:max_new_ejections]:
        health.eject(now)
    return len(failing[:max_new_ejections])


def _is_failing(health, healths):
    others = [item for item in healths if item is not health and not item.is_ejected]
    if not others:
        return health.consecutive_failures >= MIN_CONSECUTIVE_FAILURES
    if health.consecutive_failures >= MIN_CONSECUTIVE_FAILURES:
        # When the whole service fails, no other upstream would be better.
        median_failures = median(item.consecutive_failures for item in others)
        return median_failures < SERVICE_WIDE_FAILURES
    if health.samples < MIN_SAMPLES:
        return False
    error_share = median(item.error_share for item in others)
    if health.error_share > max(MIN_ERROR_SHARE, 2 * error_share):
        return True
    latency_s = median(item.latency_s for item in others)
    return health.latency_s > SLOW_LATENCY_FACTOR * latency_s + SLOW_LATENCY_MARGIN_S


def choose(candidates, cost, random):
    """Returns the candidate with the lower cost of two random ones.

    :param candidates: list, not empty.
    :param cost: function that returns the expected wait at a candidate in seconds.
    :param random: source of random choices, such as ``random.Random``.
    """
    if len(candidates) == 1:
        return candidates[0]
    first = random.randrange(len(candidates))
    second = random.randrange(len(candidates) - 1)
    if second >= first:
        second += 1
    one, other = candidates[first], candidates[second]
    return one if cost(one) <= cost(other) else other


def select_subset(calling_node, members, data_center, size):
    """Returns the names of the upstreams that a calling node uses.

    The selection is stable: when a member is added or removed, at most one name
    changes. At least half of the names are from the own data centre if it has enough
    members.

    :param calling_node: name of the calling node.
    :param members: member records of the service.
    :param data_center: data centre of the calling node.
    :param size: maximum number of upstreams to select.
    :return: set of names.
    """
    if len(members) <= size:
        return {member.name for member in members}
    ranked = sorted(members, key=lambda member: _rank_of(calling_node, member.name))
    same_data_center = [
        member for member in ranked if member.data_center == data_center
    ]
    selected = [member.name for member in same_data_center[: (size + 1) // 2]]
    others = [member.name for member in ranked if member.name not in selected]
    return set(selected + others[: size - len(selected)])


def _rank_of(calling_node, name):
    return blake2b(f"{calling_node} {name}".encode(), digest_size=8).digest()

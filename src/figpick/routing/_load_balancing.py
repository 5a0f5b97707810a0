"""Choice among the upstreams of a service: weights, slow start, ejection."""

from hashlib import blake2b
from statistics import median

SLOW_START_S = 10.0
COLD_WEIGHT = 0.1
INITIAL_LATENCY_S = 0.01
LATENCY_WEIGHT = 0.1
ERROR_WEIGHT = 0.05
FAILURES_IN_ROW = 5
SHARED_FAILURES = 2
ERROR_SHARE = 0.5
SLOW_TIMES = 5.0
SLOW_MARGIN_S = 0.05
MIN_SAMPLES = 20
EJECTED_SHARE = 0.5
FIRST_BACK_OFF_S = 0.5
# An upstream that was ejected in a slow phase of the service must be back soon
# after it, and a trial is a single call.
MAX_BACK_OFF_S = 2.0
SUBSET_SIZE = 8


class Health:
    """What a calling node has learned of one upstream.

    :param cold_since: monotonic seconds at which it started cold, or ``None``.
    """

    def __init__(self, cold_since=None):
        self.latency_s = INITIAL_LATENCY_S
        self.error_share = 0.0
        self.failures_in_row = 0
        self.samples = 0
        self.ejected_until = None
        self._cold_since = cold_since
        self._back_off_s = FIRST_BACK_OFF_S

    @property
    def is_ejected(self):
        """Whether the upstream gets no work but trials."""
        return self.ejected_until is not None

    def succeed(self, latency_s):
        """Notes a whole answer.

        :param latency_s: seconds from the send to the end.
        """
        self.samples += 1
        self.failures_in_row = 0
        self.error_share *= 1 - ERROR_WEIGHT
        self._learn_latency(latency_s)
        if self.is_ejected:
            self._start_over()

    def fail(self, now):
        """Notes a connection that broke or an answer that reports a fault.

        :param now: monotonic seconds.
        """
        self.samples += 1
        self.failures_in_row += 1
        self.error_share += ERROR_WEIGHT * (1 - self.error_share)
        if self.is_ejected:
            self.eject(now)

    def exceed(self, latency_s):
        """Notes a call that was given up without an answer.

        :param latency_s: seconds that it had taken by then.
        """
        if latency_s > self.latency_s:
            self._learn_latency(latency_s)

    def eject(self, now):
        """Stops work for a back-off that doubles with each ejection.

        :param now: monotonic seconds.
        """
        self.ejected_until = now + self._back_off_s
        self._back_off_s = min(2 * self._back_off_s, MAX_BACK_OFF_S)

    def weight(self, now):
        """Gives the share of work, 0.1 for a cold upstream to 1.

        :param now: monotonic seconds.
        """
        if self._cold_since is None:
            return 1.0
        age = (now - self._cold_since) / SLOW_START_S
        if age >= 1:
            self._cold_since = None
            return 1.0
        return COLD_WEIGHT + (1 - COLD_WEIGHT) * max(0.0, age)

    def allows(self, in_flight, now):
        """Whether the upstream may get a call: not ejected, or due for a trial.

        :param in_flight: calls in flight there.
        :param now: monotonic seconds.
        """
        return not self.is_ejected or (now >= self.ejected_until and in_flight == 0)

    def _learn_latency(self, latency_s):
        weight = max(LATENCY_WEIGHT, 1 / (self.samples + 1))
        self.latency_s += weight * (latency_s - self.latency_s)

    def _start_over(self):
        self.ejected_until = None
        self.error_share = 0.0
        self.samples = 0
        self._back_off_s = FIRST_BACK_OFF_S


def review(healths, now):
    """Ejects failing upstreams, at most half of them.

    :param healths: list of :class:`Health` of the upstreams of a service.
    :param now: monotonic seconds.
    :return: number of upstreams ejected now.
    """
    room = int(len(healths) * EJECTED_SHARE) - sum(item.is_ejected for item in healths)
    if room <= 0:
        return 0
    failing = [
        item for item in healths if not item.is_ejected and _fails(item, healths)
    ]
    failing.sort(key=lambda item: (-item.failures_in_row, -item.latency_s))
    for health in failing[:room]:
        health.eject(now)
    return len(failing[:room])


def _fails(health, healths):
    others = [item for item in healths if item is not health and not item.is_ejected]
    if not others:
        return health.failures_in_row >= FAILURES_IN_ROW
    if health.failures_in_row >= FAILURES_IN_ROW:
        # A service that fails as a whole has no better upstream to offer.
        in_row = median(item.failures_in_row for item in others)
        return in_row < SHARED_FAILURES
    if health.samples < MIN_SAMPLES:
        return False
    error_share = median(item.error_share for item in others)
    if health.error_share > max(ERROR_SHARE, 2 * error_share):
        return True
    latency_s = median(item.latency_s for item in others)
    return health.latency_s > SLOW_TIMES * latency_s + SLOW_MARGIN_S


def choose(candidates, cost, random):
    """Takes the better of two random candidates.

    :param candidates: list, not empty.
    :param cost: function from a candidate to its expected wait.
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


def subset(caller, members, data_center, size):
    """Selects the upstreams that a calling node uses.

    The selection is stable: a changed member moves at most its own place. Half
    of it comes from the own data centre as far as possible.

    :param caller: name of the calling node.
    :param members: member records of the service.
    :param data_center: data centre of the calling node.
    :param size: most upstreams to select.
    :return: set of names.
    """
    if len(members) <= size:
        return {member.name for member in members}
    ranked = sorted(members, key=lambda member: _rank(caller, member.name))
    near = [member for member in ranked if member.data_center == data_center]
    selected = [member.name for member in near[: (size + 1) // 2]]
    rest = [member.name for member in ranked if member.name not in selected]
    return set(selected + rest[: size - len(selected)])


def _rank(caller, name):
    return blake2b(f"{caller} {name}".encode(), digest_size=8).digest()

"""Failure shares of hosts, from recent responses and from calls that do not end.

They handle an upstream that reports itself healthy but fails its calls, often faster
than other upstreams serve theirs: selected by free slots alone, it would receive most
calls. They also handle an upstream that becomes slow, which its responses show only
once they arrive.
"""

# Weight of one response: about ten distinguish a failing host from a chance failure.
RESPONSE_WEIGHT = 0.1
# The share decays because an avoided host sends no responses that could show that it
# has recovered.
HALF_LIFE_S = 0.7
MIN_SHARE = 0.001
# Service times vary by a factor of three within one route.
SLOW_FACTOR = 4.0
MIN_SLOW_S = 0.3
# With fewer running calls, a single long call would look like a slow upstream.
MIN_RUNNING = 4


def slow_call_share(running):
    """Returns the share of the running calls that take much longer than is typical.

    :param running: list of tuples of the seconds that a call has run and the typical
        service time of its route in seconds.
    """
    if len(running) < MIN_RUNNING:
        return 0.0
    slow = sum(
        ran_s > max(MIN_SLOW_S, SLOW_FACTOR * typical_s) for ran_s, typical_s in running
    )
    return slow / len(running)


class FailureShare:
    """Share of the recent responses that were failures; it decays over time."""

    __slots__ = ("_share", "_updated_at")

    def __init__(self):
        self._share = 0.0
        self._updated_at = 0.0

    def __repr__(self):
        return f"<FailureShare {self._share:.2f}>"

    def record(self, failed, now):
        """Records a response.

        :param failed: whether the response was a failure.
        :param now: monotonic seconds.
        """
        share = self.value(now)
        share += RESPONSE_WEIGHT * (failed - share)
        # Every selection reads the share of each host. A share of exactly 0 is cheap to
        # read, so small shares become 0.
        self._share = share if share >= MIN_SHARE else 0.0
        self._updated_at = now

    def replace(self, share, now):
        """Replaces the share by one that was measured elsewhere.

        :param now: monotonic seconds.
        """
        self._share = share
        self._updated_at = now

    def value(self, now):
        """Returns the share of failures, from 0 to 1.

        :param now: monotonic seconds.
        """
        if not self._share:
            return 0.0
        return self._share * 0.5 ** ((now - self._updated_at) / HALF_LIFE_S)

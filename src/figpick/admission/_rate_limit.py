"""Keeps the rate of requests that an upstream says it takes.

This handles an upstream in need, which names a rate far below what its slots could run.
Every request to the upstream passes one owner, so its count holds for all nodes.
"""

# What was not sent within this time is not made up for. With a longer time, a burst
# would follow a quiet moment or a pause of the process.
MAX_BURST_S = 0.1
# An upstream that takes nothing still gets a request now and then: only a response can
# show that the limit has ended.
MIN_RATE_PER_S = 0.25


class RateLimit:
    """A token bucket that does not limit until a rate is set."""

    __slots__ = ("_per_s", "_tokens", "_refilled_at")

    def __init__(self):
        self._per_s = None
        self._tokens = 0.0
        self._refilled_at = 0.0

    def __repr__(self):
        return f"<RateLimit {self._per_s}/s>"

    @property
    def per_s(self):
        """Requests per second, ``None`` without a limit."""
        return self._per_s

    def set(self, per_s, now):
        """Sets or removes the rate.

        :param per_s: requests per second, ``None`` to remove the limit.
        :param now: monotonic seconds.
        """
        if per_s is None:
            self._per_s = None
            return
        if self._per_s is None:
            # What was sent before without a limit leaves no room.
            self._tokens = 0.0
        else:
            self._refill(now)
        self._per_s = max(per_s, MIN_RATE_PER_S)
        self._refilled_at = now

    def has_room(self, now):
        """Returns whether a request may be sent.

        :param now: monotonic seconds.
        """
        return self.wait_s(0, now) <= 0.0

    def take(self, now):
        """Counts a request that is sent.

        :param now: monotonic seconds.
        """
        if self._per_s is not None:
            self._refill(now)
            self._tokens -= 1.0

    def wait_s(self, ahead, now):
        """Returns the seconds until a request may be sent.

        :param ahead: number of requests that are sent before it.
        :param now: monotonic seconds.
        """
        if self._per_s is None:
            return 0.0
        self._refill(now)
        return max(0.0, (ahead + 1.0 - self._tokens) / self._per_s)

    def _refill(self, now):
        most = max(1.0, self._per_s * MAX_BURST_S)
        tokens = self._tokens + (now - self._refilled_at) * self._per_s
        self._tokens = min(most, tokens)
        self._refilled_at = now

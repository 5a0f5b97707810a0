"""How often a host fails, from its last answers and from calls that do not end.

It answers the load of an upstream that says it is well and fails what it gets, often
faster than others serve: by its free slots alone it would get most of the calls. It
also answers an upstream that turns slow: its answers show that only when they come.
"""

# Weight of one answer: some ten tell a failing host from one that failed by chance.
WEIGHT = 0.1
# A host that is avoided gives no answers that could show that it works again.
HALF_LIFE_S = 0.7
MIN_SHARE = 0.001
# Service times vary by a factor of three within one route.
SLOW_FACTOR = 4.0
MIN_SLOW_S = 0.3
# With fewer running calls, one long one would look like a slow upstream.
MIN_RUNNING = 4


def slow_call_share(running):
    """Share of the running calls that take much longer than usual.

    :param running: list of tuples of the seconds that a call has run and the seconds
        that its route usually takes.
    """
    if len(running) < MIN_RUNNING:
        return 0.0
    slow = sum(
        ran_s > max(MIN_SLOW_S, SLOW_FACTOR * usual_s) for ran_s, usual_s in running
    )
    return slow / len(running)


class FailureShare:
    """Share of the recent answers that were failures; it fades with time."""

    __slots__ = ("_share", "_at")

    def __init__(self):
        self._share = 0.0
        self._at = 0.0

    def __repr__(self):
        return f"<FailureShare {self._share:.2f}>"

    def record(self, failed, now):
        """Takes one answer.

        :param failed: whether it was a failure.
        :param now: monotonic seconds.
        """
        share = self.value(now)
        share += WEIGHT * (failed - share)
        # Each choice reads the share of every host; that of most is to stay 0.
        self._share = share if share >= MIN_SHARE else 0.0
        self._at = now

    def replace(self, share, now):
        """Takes the share that somebody else saw.

        :param now: monotonic seconds.
        """
        self._share = share
        self._at = now

    def value(self, now):
        """Share of failures, from 0 to 1.

        :param now: monotonic seconds.
        """
        if not self._share:
            return 0.0
        return self._share * 0.5 ** ((now - self._at) / HALF_LIFE_S)

"""How often a host fails, from its last answers.

It answers the load of an upstream that says it is well and fails what it gets, often
faster than others serve: by its free slots alone it would get most of the calls.
"""

# Weight of one answer: some ten tell a failing host from one that failed by chance.
WEIGHT = 0.1
# A host that is avoided gives no answers that could show that it works again.
HALF_LIFE_S = 0.7


class FailureShare:
    """Share of the recent answers that were failures; it fades with time."""

    __slots__ = ("_share", "_at")

    def __init__(self):
        self._share = 0.0
        self._at = 0.0

    def __repr__(self):
        return f"<FailureShare {self._share:.2f}>"

    def note(self, failed, now):
        """Takes one answer.

        :param failed: whether it was a failure.
        :param now: monotonic seconds.
        """
        share = self.value(now)
        self._share = share + WEIGHT * (failed - share)
        self._at = now

    def learn(self, share, now):
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

"""Refuses requests at the entry when the services below them have no room.

It answers the load of a deep service that is short of slots: a request whose later
calls would be refused there costs the work of every service above for nothing.
The delay at the deepest service comes back with the answers of earlier requests.
"""

# Calls of running requests may wait this long in one service. A request makes
# several of them one after the other within its time.
TARGET_DELAY_S = 0.03
# More urgent routes keep being admitted up to this multiple of the delay.
URGENT_FACTOR = 6.0
DECREASE = 0.85
INCREASE = 0.04
PERIOD_S = 0.1
MIN_SHARE = 0.1


class EntryThrottle:
    """Share of the requests of one route that are admitted.

    :param is_urgent: whether the route is among the most urgent.
    """

    __slots__ = ("_share", "_delay_s", "_updated_at", "_factor")

    def __init__(self, is_urgent):
        self._share = 1.0
        self._delay_s = 0.0
        self._updated_at = 0.0
        self._factor = URGENT_FACTOR if is_urgent else 1.0

    def __repr__(self):
        return f"<EntryThrottle {self._share:.2f}>"

    @property
    def share(self):
        """Share of the requests that are admitted, from 0.1 to 1."""
        return self._share

    def observe(self, delay_s):
        """Takes the delay that an answer reports.

        :param delay_s: longest wait of a call that the request caused.
        """
        self._delay_s = max(self._delay_s, delay_s)

    def admits(self, chance, now):
        """Decides on one request.

        :param chance: random number in [0, 1).
        :param now: monotonic seconds.
        """
        if now - self._updated_at >= PERIOD_S:
            self._update(now)
        return chance < self._share

    def _update(self, now):
        periods = min((now - self._updated_at) / PERIOD_S, 1 / INCREASE)
        self._updated_at = now
        if self._delay_s > TARGET_DELAY_S * self._factor:
            self._share = max(MIN_SHARE, self._share * DECREASE)
        else:
            self._share = min(1.0, self._share + INCREASE * periods)
        self._delay_s = 0.0

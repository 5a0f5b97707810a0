"""Refuses requests at the entry when the services below them have no room.

It answers the load of a deep service that is short of slots: a request whose later
calls would be refused there costs the work of every service above for nothing. The
pressure at the deepest service comes back with the answers of earlier requests.
"""

PERIOD_S = 0.1
# Answers report the pressure of some tenths of a second ago, so that a full
# correction in each period would overshoot.
GAIN = 0.5
MIN_FACTOR = 0.7
MAX_FACTOR = 1.15
# Without answers nothing is known, and some requests must find out.
PROBE_FACTOR = 1.1
MIN_SHARE = 0.05


class EntryThrottle:
    """Share of the requests of one route that are admitted."""

    __slots__ = ("_share", "_sum", "_count", "_updated_at")

    def __init__(self):
        self._share = 1.0
        self._sum = 0.0
        self._count = 0
        self._updated_at = 0.0

    def __repr__(self):
        return f"<EntryThrottle {self._share:.2f}>"

    @property
    def share(self):
        """Share of the requests that are admitted, from 0.05 to 1."""
        return self._share

    def observe(self, pressure):
        """Takes the pressure that an answer reports.

        :param pressure: work that is offered for each slot that is there, at the
            calls that the request caused.
        """
        self._sum += pressure
        self._count += 1

    def admits(self, key, now):
        """Decides on one request.

        :param key: number in [0, 1) of the request, which also orders its calls.
        :param now: monotonic seconds.
        """
        if now - self._updated_at >= PERIOD_S:
            self._update(now)
        return key < self._share

    def _update(self, now):
        self._updated_at = now
        factor = PROBE_FACTOR
        if self._count:
            mean = max(self._sum / self._count, 0.01)
            factor = min(MAX_FACTOR, max(MIN_FACTOR, mean**-GAIN))
        self._share = min(1.0, max(MIN_SHARE, self._share * factor))
        self._sum = 0.0
        self._count = 0

"""Refuses requests at the entry when the services below them have no room.

It answers the load of a deep service that is short of slots: a request whose later
calls would be refused there costs the work of every service above for nothing. The
owners of the deep service decide on one level, so that all entries refuse the same
keys; each entry follows the levels that come back with the answers of its requests.
"""

PERIOD_S = 0.1
# An owner corrects its level by this power of the pressure in each period. What it
# changes shows some tenths of a second later, so a full correction would overshoot.
GAIN = 0.5
# Equal steps up and down, so that a pressure that only varies does not close the entry.
MIN_FACTOR = 0.8
MAX_FACTOR = 1 / MIN_FACTOR
# Weight of one answer in the level that an entry follows.
ANSWER_WEIGHT = 0.15
# Without answers nothing is known, and some requests must find out.
PROBE_FACTOR = 1.1
MIN_LEVEL = 0.05
# Mean level of the calls of a request below which services under it are short of room:
# what failed then failed for that, and asking again adds to the load.
FREE_CAPACITY_LEVEL = 0.95


class AdmissionLevel:
    """Part of the keys, from 0 up, for which the owner of a service has room."""

    __slots__ = ("_level", "_updated_at")

    def __init__(self):
        self._level = 1.0
        self._updated_at = 0.0

    def __repr__(self):
        return f"<AdmissionLevel {self._level:.2f}>"

    @property
    def value(self):
        """The level as last updated, from 0.05 to 1."""
        return self._level

    def update(self, pressure, now):
        """Follows the pressure of calls of one rank.

        :param pressure: see :meth:`~figpick.admission.AdmissionQueue.pressure`; a
            function, called when the level is due.
        :param now: monotonic seconds.
        :return: the level, from 0.05 to 1.
        """
        if now - self._updated_at >= PERIOD_S:
            self._updated_at = now
            factor = max(pressure(), 0.01) ** -GAIN
            factor = min(MAX_FACTOR, max(MIN_FACTOR, factor))
            self._level = min(1.0, max(MIN_LEVEL, self._level * factor))
        return self._level


class EntryThrottle:
    """Share of the requests of one route that are admitted at one entry."""

    __slots__ = ("_share", "_count", "_updated_at")

    def __init__(self):
        self._share = 1.0
        self._count = 0
        self._updated_at = 0.0

    def __repr__(self):
        return f"<EntryThrottle {self._share:.2f}>"

    @property
    def share(self):
        """Share of the requests that are admitted, from 0.05 to 1."""
        return self._share

    def observe(self, level):
        """Takes the level that an answer reports.

        :param level: mean level at the calls that the request caused.
        """
        self._share += ANSWER_WEIGHT * (level - self._share)
        self._count += 1

    def admits(self, key, now):
        """Decides on one request.

        :param key: number in [0, 1) of the request, which also orders its calls.
        :param now: monotonic seconds.
        """
        if now - self._updated_at >= PERIOD_S:
            self._updated_at = now
            if not self._count:
                self._share = min(1.0, self._share * PROBE_FACTOR)
            self._count = 0
        return key < self._share

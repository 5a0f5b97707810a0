"""Refuses requests at the entry when the services below them lack free capacity.

This handles overload of a service deep in the call graph: a request whose later calls
would be refused there wastes the work of all services on the path to it. The owners of
the deep service set one level, so that all entries refuse the same keys. Each entry
follows the levels that the responses to its requests report.
"""

from math import exp

UPDATE_PERIOD_S = 0.1
# Time in which a change of the level takes effect: requests that were admitted before
# continue to make calls.
REACTION_TIME_S = 0.3
# Equal steps up and down, so that fluctuating pressure alone does not close the entry.
MIN_FACTOR = 0.8
MAX_FACTOR = 1 / MIN_FACTOR
# Weight of one response in the level that an entry follows.
RESPONSE_WEIGHT = 0.15
# Growth per period without responses: the level of the called services is unknown then,
# and some requests have to probe it.
PROBE_FACTOR = 1.1
MIN_LEVEL = 0.05
# Mean level of the nested calls of a request below which the called services lack free
# capacity: a failure is then due to that, and a retry would only add to the load.
FREE_CAPACITY_LEVEL = 0.95
# Level of a service of which no host responds. Requests that need it are refused at the
# entry, so that their clients can return, instead of failing halfway.
NO_CAPACITY_LEVEL = 0.0


class AdmissionLevel:
    """Share of the key range, from 0 up, for which an owner has capacity.

    The pressure that an owner sees comes from requests that were admitted at earlier
    levels, so it is divided into the average of the recent levels. Corrections of the
    current level would add up until the first of them takes effect, and the slots would
    be empty afterwards.
    """

    __slots__ = ("_level", "_effective_level", "_updated_at")

    def __init__(self):
        self._level = 1.0
        self._effective_level = 1.0
        self._updated_at = 0.0

    def __repr__(self):
        return f"<AdmissionLevel {self._level:.2f}>"

    @property
    def value(self):
        """The level as last updated, from 0.05 to 1."""
        return self._level

    def update(self, pressure, now):
        """Adjusts the level to the pressure of calls of one rank.

        :param pressure: function that returns the pressure, see
            :meth:`~figpick.admission.AdmissionQueue.pressure`; called only when an
            update is due.
        :param now: monotonic seconds.
        :return: the level, from 0.05 to 1.
        """
        if now - self._updated_at >= UPDATE_PERIOD_S:
            weight = 1.0 - exp((self._updated_at - now) / REACTION_TIME_S)
            self._effective_level += weight * (self._level - self._effective_level)
            self._updated_at = now
            target = self._effective_level / max(pressure(), 0.01)
            target = min(
                self._level * MAX_FACTOR, max(self._level * MIN_FACTOR, target)
            )
            self._level = min(1.0, max(MIN_LEVEL, target))
        return self._level


class EntryThrottle:
    """Share of the requests of one route that one entry admits."""

    __slots__ = ("_share", "_responses", "_updated_at")

    def __init__(self):
        self._share = 1.0
        self._responses = 0
        self._updated_at = 0.0

    def __repr__(self):
        return f"<EntryThrottle {self._share:.2f}>"

    @property
    def share(self):
        """Share of the requests that are admitted, from 0.05 to 1."""
        return self._share

    def observe(self, level):
        """Moves the share towards the level that a response reports.

        :param level: mean level at the calls that the request caused.
        """
        self._share += RESPONSE_WEIGHT * (level - self._share)
        self._responses += 1

    def admits(self, key, now):
        """Returns whether a request is admitted.

        :param key: number of the request in [0, 1), which also orders its calls.
        :param now: monotonic seconds.
        """
        if now - self._updated_at >= UPDATE_PERIOD_S:
            self._updated_at = now
            if not self._responses:
                self._share = min(1.0, self._share * PROBE_FACTOR)
            self._responses = 0
        return key < self._share

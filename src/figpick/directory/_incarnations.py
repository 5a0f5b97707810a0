"""The identity of one start of an upstream."""

from typing import NamedTuple

# Identities come from paths of requests, which contain no spaces.
SEPARATOR = " "


class Incarnation(NamedTuple):
    """One start of an upstream, until its end.

    :param instance: identity of the upstream, which a later start may have again.
    :param started_ms: start time in Unix milliseconds; ``None`` if each incarnation has
        an identity of its own.
    """

    instance: str
    started_ms: int | None

    @property
    def key(self):
        """The incarnation as text, the form in which processes exchange it."""
        if self.started_ms is None:
            return self.instance
        return f"{self.instance}{SEPARATOR}{self.started_ms}"


def parse_incarnation(key):
    """Returns the :class:`Incarnation` of a key."""
    instance, separator, started_ms = key.rpartition(SEPARATOR)
    if separator and started_ms.isdecimal():
        return Incarnation(instance, int(started_ms))
    return Incarnation(key, None)

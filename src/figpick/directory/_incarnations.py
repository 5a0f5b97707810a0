"""The identity of one start of an upstream.

Identities come from paths, whose percent-encoding can stand for any character, and end
in the heads of requests. :class:`Identity` cannot hold one that would begin another
line there.
"""

from functools import lru_cache
from typing import NamedTuple

from ..base._errors import InvalidIdentityError

SEPARATOR = " "
# Ends the key of an identity without a start time that looks like one with it.
NO_START = "-"
# A request repeats the identity, and heads have a limit.
MAX_IDENTITY_BYTES = 1024
# Every call has the key of the incarnation that runs it.
CACHED_KEYS = 256


class Identity(str):
    """An identity that can be sent unchanged as the value of a header.

    :raises InvalidIdentityError: if it is empty, too long, has blanks at its ends, or
        has characters that cannot be printed.
    """

    __slots__ = ()

    def __new__(cls, value):
        if isinstance(value, cls):
            return value
        is_text = isinstance(value, str) and value.isprintable()
        if not is_text or not value or value != value.strip():
            raise InvalidIdentityError(f"identity {value!r:.80} is not valid")
        if len(value.encode()) > MAX_IDENTITY_BYTES:
            raise InvalidIdentityError(f"identity {value!r:.80} is too long")
        return super().__new__(cls, value)


class Incarnation(NamedTuple):
    """One start of an upstream, until its end.

    :param instance: :class:`Identity` of the upstream, which a later start may have
        again.
    :param started_ms: start time in Unix milliseconds; ``None`` if each incarnation has
        an identity of its own.
    """

    instance: Identity
    started_ms: int | None

    @property
    def key(self):
        """The incarnation as text, the form in which processes exchange it."""
        if self.started_ms is not None:
            return f"{self.instance}{SEPARATOR}{self.started_ms}"
        if SEPARATOR in self.instance:
            return f"{self.instance}{SEPARATOR}{NO_START}"
        return str(self.instance)


@lru_cache(maxsize=CACHED_KEYS)
def parse_incarnation(key):
    """Returns the :class:`Incarnation` of a key.

    :raises InvalidIdentityError: if its identity is not valid.
    """
    instance, separator, start = key.rpartition(SEPARATOR)
    if separator and start == NO_START:
        return Incarnation(Identity(instance), None)
    if separator and start.isascii() and start.isdecimal():
        return Incarnation(Identity(instance), int(start))
    return Incarnation(Identity(key), None)


def is_key(key):
    """Returns whether a value of a message is the key of an incarnation."""
    try:
        parse_incarnation(key)
    except (AttributeError, TypeError, ValueError):
        return False
    return True

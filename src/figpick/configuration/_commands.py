"""Commands of the replicated log, and the form in which they are stored.

All commands are stored with the fields of a change set. Earlier releases know only
change sets; to them, any other command is one that is based on a version that is never
current, which they refuse without effect.
"""

from functools import singledispatch
from typing import NamedTuple

import msgspec

from ..base._errors import Fault

LOGGED_DIGEST_LENGTH = 12

# A message between processes holds 8 MiB: such a document and a batch of others.
MAX_DOCUMENT_BYTES = 6 * 1024 * 1024

NEVER_CURRENT = -1
REFUSAL = "refusal"
DEPARTURE = "departure"


class ChangeSet(NamedTuple):
    """A configuration as an entry of the replicated log.

    :param version: version number that the operator assigned.
    :param base: version on which it is based.
    :param digest: digest of its content, by which a retry is recognised.
    :param document: the operator's document, compressed and encoded in base 64.
    """

    version: int
    base: int
    digest: str
    document: str

    def log_fields(self):
        """Returns the fields that identify the change set in log lines, as a dict."""
        return {
            "version": self.version,
            "base": self.base,
            "digest": self.digest[:LOGGED_DIGEST_LENGTH],
        }


def check_size(change):
    """Checks whether a change set can be sent to the other members of the quorum.

    :param change: :class:`ChangeSet`.
    :return: list of :class:`~figpick.exceptions.Fault`, empty if it can.
    """
    size = len(change.document)
    if size <= MAX_DOCUMENT_BYTES:
        return []
    problem = f"{size} bytes after compression, at most {MAX_DOCUMENT_BYTES} fit"
    return [Fault("", problem)]


class Refusal(NamedTuple):
    """The refusal of a change set whose base is not known, which is final.

    The fields are those of the :class:`ChangeSet`.
    """

    version: int
    base: int
    digest: str


class Departure(NamedTuple):
    """An upstream has announced its end, which is final.

    :param host: name of the node on its host.
    :param incarnation: key of its incarnation.
    """

    host: str
    incarnation: str


TYPES_BY_NAME = {REFUSAL: Refusal, DEPARTURE: Departure}


@singledispatch
def encode_command(command):
    """Returns a command as the JSON value that is stored in the log.

    :param command: :class:`ChangeSet` or another type of this module.
    """
    raise TypeError(f"{type(command).__name__} is not a command")


@encode_command.register
def _(command: ChangeSet):
    return command._asdict()


@encode_command.register
def _(command: Refusal):
    return _encode_other(REFUSAL, command)


@encode_command.register
def _(command: Departure):
    return _encode_other(DEPARTURE, command)


def decode_command(fields):
    """Returns the command of a log entry.

    Commands of later releases are returned as change sets that are never applied.

    :param fields: JSON value.
    """
    change = ChangeSet(**fields)
    type_ = TYPES_BY_NAME.get(change.digest) if change.base == NEVER_CURRENT else None
    if type_ is None:
        return change
    return type_(*msgspec.json.decode(change.document))


def _encode_other(name, command):
    document = msgspec.json.encode(command).decode()
    return ChangeSet(0, NEVER_CURRENT, name, document)._asdict()

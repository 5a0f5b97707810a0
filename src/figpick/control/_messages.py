"""Messages between control processes, and between them and nodes.

On a link each message is a list of its kind and its fields; see :func:`encode`.
"""

from typing import NamedTuple

from ..base._errors import FigpickError, PeerError


class Hello(NamedTuple):
    """First message on each link, from both ends.

    :param name: name of the process that sends it.
    :param token: random number of its start.
    """

    name: str
    token: int


class RecordUpdate(NamedTuple):
    """News of one process.

    :param fields: fields of a :class:`~figpick.directory.HostRecord`.
    """

    fields: list


class RecordTable(NamedTuple):
    """All that a control process knows of others.

    :param records: list of the fields of records.
    """

    records: list


class RevisionUpdate(NamedTuple):
    """News of a configuration.

    :param revision: revision of the newest one of a control process.
    """

    revision: int


class FetchConfiguration(NamedTuple):
    """Asks for the newest configuration."""


class CurrentConfiguration(NamedTuple):
    """The newest configuration of a control process.

    :param revision: its revision.
    :param document: its compressed document.
    """

    revision: int
    document: str


class CrashReport(NamedTuple):
    """What ran when an upstream crashed.

    :param crash_id: start of the upstream that crashed.
    :param fingerprints: fingerprints of the requests that it ran.
    """

    crash_id: str
    fingerprints: list


class Identify(NamedTuple):
    """Asks another control process who it is."""


class Identity(NamedTuple):
    """Answers :class:`Identify`.

    :param answer: dict; see :meth:`~figpick.consensus._formation.Formation.learn`.
    """

    answer: dict


class Quorum(NamedTuple):
    """A message of the replicated log.

    :param kind: its kind.
    :param fields: its fields.
    """

    kind: str
    fields: list


class Ask(NamedTuple):
    """A request to the leader.

    :param number: number that its answer repeats.
    :param kind: ``put`` or ``read``.
    :param value: fields of a change set, or ``None``.
    """

    number: int
    kind: str
    value: dict


class Told(NamedTuple):
    """The answer of the leader.

    :param number: number of the request.
    :param error: ``conflict``, ``no-quorum`` or empty.
    :param value: fields of the error, or the result.
    """

    number: int
    error: str
    value: object


KINDS = {
    "hello": Hello,
    "record": RecordUpdate,
    "table": RecordTable,
    "revision": RevisionUpdate,
    "fetch": FetchConfiguration,
    "configuration": CurrentConfiguration,
    "crash": CrashReport,
    "identify": Identify,
    "identity": Identity,
    "quorum": Quorum,
    "ask": Ask,
    "told": Told,
}
NAMES = {type_: kind for kind, type_ in KINDS.items()}


def encode(message):
    """Gives a message as it is sent on a link."""
    return (NAMES[type(message)], *message)


def decode(items):
    """Reads a message of a link.

    :param items: list of its kind and its fields.
    :raises PeerError: when its kind is unknown or fields are missing.
    """
    kind, *fields = items
    type_ = KINDS.get(kind)
    if type_ is None:
        raise PeerError(f"unknown kind of message {kind!r}")
    try:
        return type_(*fields)
    except TypeError as error:
        raise PeerError(f"message {kind}: {error}") from error


def deliver(take, link, items, log):
    """Reads a message of a link and hands it on; one that cannot be used is logged.

    :param take: called with the message and the link.
    :param items: list of its kind and its fields.
    :param log: logger of the component.
    """
    try:
        take(decode(items), link)
    except (FigpickError, TypeError, ValueError) as error:
        log.warning(
            "Message {!r} of {} cannot be used: {}.", items[0], link.peer, error
        )

"""Messages between control processes, and between them and nodes.

A message is sent on a link as a list of its kind and its fields; see
:func:`encode`.
"""

from typing import NamedTuple

from ..base._errors import FigpickError, PeerError


class Hello(NamedTuple):
    """The first message that each end sends on a link.

    :param name: name of the sender.
    :param token: random number that the sender draws at its start.
    """

    name: str
    token: int


class RecordUpdate(NamedTuple):
    """An update of the record of one process.

    :param fields: fields of a :class:`~figpick.directory.HostRecord`.
    """

    fields: list


class RecordTable(NamedTuple):
    """All records that a control process holds.

    :param records: list with the fields of each record.
    """

    records: list


class RevisionUpdate(NamedTuple):
    """An update of the configuration revision of a control process.

    :param revision: revision of its newest configuration.
    """

    revision: int


class FetchConfiguration(NamedTuple):
    """Requests the newest configuration."""


class CurrentConfiguration(NamedTuple):
    """The newest configuration of a control process.

    :param revision: its revision.
    :param document: its compressed document.
    """

    revision: int
    document: str


class CrashReport(NamedTuple):
    """A report of the requests that were running when an upstream crashed.

    :param crash_id: identifies the start of the upstream that crashed.
    :param fingerprints: fingerprints of the requests that the upstream was running.
    """

    crash_id: str
    fingerprints: list


class DepartureReport(NamedTuple):
    """Asks a control process to store that an upstream has announced its end.

    :param host: name of the node on its host.
    :param incarnation: key of its incarnation.
    """

    host: str
    incarnation: str


class StoredDepartures(NamedTuple):
    """Departures from the host of a node that are stored on the disks of a quorum.

    It is sent after a link opens and when further ones are stored.

    :param incarnations: keys of the incarnations, oldest first.
    """

    incarnations: list


class IdentityRequest(NamedTuple):
    """Requests the identity of another control process."""


class IdentityReply(NamedTuple):
    """Reply to :class:`IdentityRequest`.

    :param description: dict, see
        :meth:`~figpick.consensus._formation.Formation.record_identity`, or ``None``
        while the disk cannot be read.
    """

    description: dict


class QuorumMessage(NamedTuple):
    """A message of the replicated log.

    :param kind: ``vote``, ``append`` or ``snapshot``, with ``-reply`` for replies.
    :param fields: the message as a JSON value; see
        :func:`~figpick.consensus._consensus_messages.encode`.
    """

    kind: str
    fields: list


class LeaderRequest(NamedTuple):
    """A request to the leader.

    :param number: number that the reply repeats.
    :param kind: ``put``, ``read`` or ``depart``.
    :param value: fields of a change set or of a departure, or ``None``.
    """

    number: int
    kind: str
    value: dict


class LeaderReply(NamedTuple):
    """The reply of the leader to a :class:`LeaderRequest`.

    :param number: number of the request.
    :param error: ``conflict``, ``no-quorum`` or empty.
    :param value: fields of the error, or the result.
    """

    number: int
    error: str
    value: object


TYPES_BY_KIND = {
    "hello": Hello,
    "record": RecordUpdate,
    "table": RecordTable,
    "revision": RevisionUpdate,
    "fetch": FetchConfiguration,
    "configuration": CurrentConfiguration,
    "crash": CrashReport,
    "departure": DepartureReport,
    "departures": StoredDepartures,
    "identify": IdentityRequest,
    "identity": IdentityReply,
    "quorum": QuorumMessage,
    "ask": LeaderRequest,
    "told": LeaderReply,
}
KINDS_BY_TYPE = {type_: kind for kind, type_ in TYPES_BY_KIND.items()}


def encode(message):
    """Returns a message in the form in which it is sent on a link."""
    return (KINDS_BY_TYPE[type(message)], *message)


def decode(items):
    """Parses a message that was received on a link.

    :param items: list of its kind and its fields.
    :return: a message of this module.
    :raises PeerError: when its kind is unknown or its number of fields is wrong.
    """
    kind, *fields = items
    type_ = TYPES_BY_KIND.get(kind)
    if type_ is None:
        raise PeerError(f"unknown message kind {kind!r}")
    try:
        return type_(*fields)
    except TypeError as error:
        raise PeerError(f"message {kind}: {error}") from error


def deliver(handle, link, items, log):
    """Parses a message of a link and handles it; logs an error if that fails.

    :param handle: called with the parsed message and the link.
    :param link: link on which the message was received.
    :param items: list of its kind and its fields.
    :param log: logger of the component.
    """
    try:
        handle(decode(items), link)
    except (FigpickError, TypeError, ValueError) as error:
        log.warning(
            "Message {!r} from {} could not be handled: {}.", items[0], link.peer, error
        )

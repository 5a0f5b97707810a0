"""Messages and records of the replicated log."""

from base64 import b64decode, b64encode
from typing import NamedTuple

from ..base._errors import PeerError

# Raised when a release adds a field or message that its peers must know of.
PROTOCOL_VERSION = 1

NOOP = "noop"
MEMBERS = "members"
COMMAND = "command"


class MalformedMessageError(PeerError):
    """A message lacks a field that this release needs."""


class Entry(NamedTuple):
    """One entry of the log.

    :param kind: ``noop``, ``members`` or ``command``.
    :param data: JSON value; what it means depends on the kind.
    """

    index: int
    term: int
    kind: str
    data: dict | None = None


class Membership(NamedTuple):
    """Members of the quorum; both fields map an identity to a peer address.

    :param voters: members that vote and count towards a quorum.
    :param learners: members that only receive the log.
    """

    voters: dict
    learners: dict

    @property
    def addresses(self):
        """Peer addresses of voters and learners by identity."""
        return {**self.voters, **self.learners}

    def is_quorum(self, identities):
        """Tells whether a set of identities holds a majority of the voters."""
        count = sum(identity in self.voters for identity in identities)
        return 2 * count > len(self.voters)


NO_MEMBERS = Membership({}, {})


class Snapshot(NamedTuple):
    """State of the registry after a prefix of the log.

    :param index: last index that it covers.
    :param term: term of that entry.
    :param members: :class:`Membership` at that index.
    :param data: encoded registry.
    """

    index: int
    term: int
    members: Membership
    data: bytes


NO_SNAPSHOT = Snapshot(0, 0, NO_MEMBERS, b"")


class VoteState(NamedTuple):
    """Term and vote of a process; synced before they are answered."""

    term: int
    vote: str | None


class StoredState(NamedTuple):
    """What a process finds on its disk when it starts."""

    state: VoteState
    snapshot: Snapshot
    entries: tuple


class Vote(NamedTuple):
    """Asks for a vote.

    :param pre: whether this only asks if a vote would be granted.
    """

    sender: str
    to: str
    term: int
    last_index: int
    last_term: int
    pre: bool = False
    v: int = PROTOCOL_VERSION


class VoteReply(NamedTuple):
    """Answers :class:`Vote`."""

    sender: str
    to: str
    term: int
    granted: bool
    pre: bool = False
    v: int = PROTOCOL_VERSION


class Append(NamedTuple):
    """Sends entries, or a heartbeat when there are none.

    :param round: number that the reply echoes, which confirms reads.
    """

    sender: str
    to: str
    term: int
    prev_index: int
    prev_term: int
    entries: tuple = ()
    commit: int = 0
    round: int = 0
    v: int = PROTOCOL_VERSION


class AppendReply(NamedTuple):
    """Answers :class:`Append`.

    :param match: last index known to equal the log of the leader, or, when not
        ``ok``, the last index that may equal it.
    """

    sender: str
    to: str
    term: int
    ok: bool
    match: int = 0
    round: int = 0
    v: int = PROTOCOL_VERSION


class Install(NamedTuple):
    """Sends one part of a snapshot.

    :param offset: byte offset of the part.
    :param done: whether this is the last part.
    """

    sender: str
    to: str
    term: int
    index: int
    last_term: int
    members: Membership
    offset: int
    data: bytes
    done: bool
    round: int = 0
    v: int = PROTOCOL_VERSION


class InstallReply(NamedTuple):
    """Answers :class:`Install`.

    :param offset: offset of the part that is expected next.
    :param match: last index that is covered, once the snapshot is installed.
    """

    sender: str
    to: str
    term: int
    index: int
    offset: int
    match: int = 0
    round: int = 0
    v: int = PROTOCOL_VERSION


REQUEST_TYPES = {"vote": Vote, "append": Append, "snapshot": Install}
REPLY_TYPES = {"vote": VoteReply, "append": AppendReply, "snapshot": InstallReply}
REQUEST_KINDS = {type_: kind for kind, type_ in REQUEST_TYPES.items()}


def encode(message):
    """Gives a message as a JSON value."""
    fields = message._asdict()
    if isinstance(message, Append):
        fields["entries"] = [entry._asdict() for entry in message.entries]
    elif isinstance(message, Install):
        fields["members"] = message.members._asdict()
        fields["data"] = b64encode(message.data).decode()
    return fields


def decode(type_, fields):
    """Reads a message from a JSON value.

    Fields that this release does not know are ignored and missing fields get
    their defaults, so that two releases can run side by side.

    :param type_: class of the message.
    :raises MalformedMessageError: when a field without default is missing.
    """
    try:
        message = _decode_tuple(type_, fields)
        if type_ is Append:
            entries = tuple(_decode_tuple(Entry, each) for each in message.entries)
            return message._replace(entries=entries)
        if type_ is Install:
            members = _decode_tuple(Membership, message.members)
            return message._replace(members=members, data=b64decode(message.data))
    except (TypeError, ValueError) as error:
        raise MalformedMessageError(f"{type_.__name__}: {error}") from error
    return message


def _decode_tuple(type_, fields):
    return type_(**{name: fields[name] for name in type_._fields if name in fields})

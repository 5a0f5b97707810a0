"""Messages and records of the replicated log."""

from base64 import b64decode, b64encode
from typing import NamedTuple

from ..base._errors import PeerError

# Incremented when a release adds a field or message that its peers must know.
PROTOCOL_VERSION = 1

NOOP = "noop"
MEMBERS = "members"
COMMAND = "command"


class MalformedMessageError(PeerError):
    """A message lacks a field that this release requires, or a field is malformed."""


class Entry(NamedTuple):
    """One entry of the log.

    :param index: position in the log, starting at 1.
    :param term: term of the leader that created the entry.
    :param kind: ``noop``, ``members`` or ``command``.
    :param data: JSON value whose meaning depends on the kind.
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
        """Returns whether a set of identities contains a majority of the voters."""
        count = sum(identity in self.voters for identity in identities)
        return 2 * count > len(self.voters)


NO_MEMBERS = Membership({}, {})


class Snapshot(NamedTuple):
    """State of the registry after a prefix of the log.

    :param index: last index that the snapshot covers.
    :param term: term of the entry at that index.
    :param members: :class:`Membership` at that index.
    :param data: encoded registry.
    """

    index: int
    term: int
    members: Membership
    data: bytes


NO_SNAPSHOT = Snapshot(0, 0, NO_MEMBERS, b"")


class VoteState(NamedTuple):
    """Term and vote of a process, which are synced before it sends a reply."""

    term: int
    vote: str | None


class StoredState(NamedTuple):
    """Durable state that a process loads from its disk at its start.

    :param commit_index: index up to which entries were known to be committed when the
        disk was last written; later ones may be committed, too.
    """

    state: VoteState
    snapshot: Snapshot
    entries: tuple
    commit_index: int = 0


class Vote(NamedTuple):
    """Requests a vote.

    :param pre: whether this is a pre-vote, which only queries whether the vote would
        be granted.
    :param is_transfer: whether the leader has asked the sender to take over.
    """

    sender: str
    to: str
    term: int
    last_index: int
    last_term: int
    pre: bool = False
    v: int = PROTOCOL_VERSION
    is_transfer: bool = False


class VoteReply(NamedTuple):
    """Reply to :class:`Vote`."""

    sender: str
    to: str
    term: int
    granted: bool
    pre: bool = False
    v: int = PROTOCOL_VERSION


class Transfer(NamedTuple):
    """Asks a voter to take over from the leader at once; it has no reply."""

    sender: str
    to: str
    term: int
    v: int = PROTOCOL_VERSION


class Append(NamedTuple):
    """Sends entries, or a heartbeat when there are none.

    :param round: number that the reply repeats, which confirms reads.
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
    """Reply to :class:`Append`.

    :param match: last index known to equal the log of the leader, or, when ``ok`` is
        false, the last index that may equal it.
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
    """Reply to :class:`Install`.

    :param offset: byte offset of the next part that is expected.
    :param match: last index that the snapshot covers once it is installed, 0 before.
    """

    sender: str
    to: str
    term: int
    index: int
    offset: int
    match: int = 0
    round: int = 0
    v: int = PROTOCOL_VERSION


REQUEST_TYPES = {
    "vote": Vote,
    "append": Append,
    "snapshot": Install,
    "transfer": Transfer,
}
REPLY_TYPES = {"vote": VoteReply, "append": AppendReply, "snapshot": InstallReply}
REQUEST_KINDS = {type_: kind for kind, type_ in REQUEST_TYPES.items()}


def encode(message):
    """Returns a message as a JSON value."""
    fields = message._asdict()
    if isinstance(message, Append):
        fields["entries"] = [entry._asdict() for entry in message.entries]
    elif isinstance(message, Install):
        fields["members"] = message.members._asdict()
        fields["data"] = b64encode(message.data).decode()
    return fields


def decode(type_, fields):
    """Parses a message from a JSON value.

    Fields that this release does not know are ignored and missing fields get
    their defaults, so that two releases can run at the same time.

    :param type_: class of the message.
    :param fields: JSON value.
    :raises MalformedMessageError: when a field without default is missing or a field
        is malformed.
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

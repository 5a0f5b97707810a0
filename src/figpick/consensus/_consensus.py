"""Raft as a state machine: messages and time in, messages and writes out.

The owner of a :class:`Raft` calls one of its methods, then takes the output,
writes and syncs its records, reports that with :meth:`Raft.stored`, and only
then sends the messages and applies the committed entries.
"""

from functools import singledispatchmethod

from ..base._errors import FigpickError, NoQuorumError
from ._consensus_core import MAX_ELECTION_S, PRE_CANDIDATE
from ._consensus_messages import (
    COMMAND,
    MEMBERS,
    Append,
    AppendReply,
    Entry,
    Install,
    InstallReply,
    Vote,
    VoteReply,
)
from ._consensus_replication import Replication

FIRST_TERM = 1


class MembershipError(FigpickError):
    """A change of membership that is not possible now."""


class Raft(Replication):
    """One member of the quorum.

    :param own_id: identity of this process and its disk.
    :param stored: :class:`~figpick.consensus._consensus_messages.StoredState`.
    :param random: source of random numbers, such as ``random.Random``.
    :param now: monotonic seconds.
    """

    @property
    def deadline(self):
        """Monotonic seconds at which :meth:`tick` must be called."""
        if self.is_leader:
            return self._leadership.heartbeat_at
        return self._election_at

    def tick(self, now):
        """Sends heartbeats or starts an election when their time has come.

        :param now: monotonic seconds.
        """
        if now < self.deadline:
            return
        if self.is_leader:
            if self._leadership.hears_quorum(self.members, now, MAX_ELECTION_S):
                self._broadcast(now)
            else:
                self._become_follower(self._term, None, now)
        elif self._id in self.members.voters:
            self._campaign(PRE_CANDIDATE, now)
        else:
            self._leader = None
            self._reset_election(now)

    def receive(self, message, now):
        """Takes a message of another process.

        :param now: monotonic seconds.
        """
        if message.to == self._id:
            self._handle(message, now)

    def form(self, members):
        """Starts a new quorum; each first member calls this with equal members.

        Their logs then start with the same entry, which counts as committed.

        :param members: first :class:`Membership`.
        :raises MembershipError: when this process has a log already.
        """
        if self._log.last_index > 0:
            raise MembershipError("this process is a member of a quorum already")
        self._set_state(max(self._term, FIRST_TERM), self._vote)
        entry = Entry(1, FIRST_TERM, MEMBERS, members._asdict())
        self._log.append(entry)
        self._new_entries.append(entry)
        self._commit = 1

    def propose(self, command, now):
        """Adds a command to the log.

        :param command: JSON value.
        :return: tuple of the term and the index of the command.
        :raises NoQuorumError: when this process does not lead.
        """
        self._require_leader()
        index = self._add(COMMAND, command)
        self._send_entries(now)
        return self._term, index

    def read(self, request, now):
        """Asks the quorum to confirm that this process still leads.

        :param request: value that :attr:`Output.reads` gives back.
        :raises NoQuorumError: when this process does not lead.
        """
        self._require_leader()
        self._leadership.add_read(request)
        if self._is_readable() and not self._leadership.has_open_round:
            self._broadcast(now)

    def change_members(self, members, now):
        """Adds a change of membership to the log.

        :param members: :class:`Membership` with at most one voter added or
            removed.
        :return: tuple of the term and the index of the change.
        :raises NoQuorumError: when this process does not lead.
        :raises MembershipError: when another change is not committed yet, or
            no entry of the own term is.
        """
        self._require_leader()
        if self._log.members_index > self._commit:
            raise MembershipError("another change of membership is in progress")
        # Two leaders could otherwise each commit a change that the other does
        # not know of, with quorums that do not overlap.
        if not self._is_readable():
            raise MembershipError("the leader has not committed an entry yet")
        if len(set(members.voters) ^ set(self.members.voters)) > 1:
            raise MembershipError("only one voter can be added or removed at once")
        if not members.voters:
            raise MembershipError("the last voter cannot be removed")
        index = self._add(MEMBERS, members._asdict())
        self._leadership.update_members(members, index, now)
        self._send_entries(now)
        return self._term, index

    def compact(self, snapshot):
        """Drops the entries that a stored snapshot covers."""
        self._log.compact(snapshot)

    def stored(self, output, now):
        """Notes that the records of an output are synced.

        :param output: the :class:`Output` that was stored.
        :param now: monotonic seconds.
        """
        self._synced = output.last_index
        if self.is_leader:
            self._advance_commit(now)

    def _require_leader(self):
        if not self.is_leader:
            raise NoQuorumError("no quorum: this process does not lead")

    @singledispatchmethod
    def _handle(self, message, now):
        raise TypeError(f"{type(message).__name__} is not a message of the quorum")

    @_handle.register
    def _(self, message: Vote, now):
        self._on_vote(message, now)

    @_handle.register
    def _(self, message: VoteReply, now):
        self._on_vote_reply(message, now)

    @_handle.register
    def _(self, message: Append, now):
        self._on_append(message, now)

    @_handle.register
    def _(self, message: AppendReply, now):
        self._on_append_reply(message, now)

    @_handle.register
    def _(self, message: Install, now):
        self._on_install(message, now)

    @_handle.register
    def _(self, message: InstallReply, now):
        self._on_install_reply(message, now)

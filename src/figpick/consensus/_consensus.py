"""Raft as a state machine: messages and time in, messages and writes out.

The caller of a :class:`Raft` calls one of its methods, then takes the output and
writes and syncs its records. It reports that with :meth:`Raft.mark_synced` and
only then sends the messages and applies the committed entries.
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
    Transfer,
    Vote,
    VoteReply,
)
from ._consensus_replication import Replication

FIRST_TERM = 1


class MembershipError(FigpickError):
    """A change of membership is not possible at this time."""


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
        """Sends heartbeats or starts an election when :attr:`deadline` has passed.

        :param now: monotonic seconds.
        """
        if now < self.deadline:
            return
        if self.is_leader:
            if self._leadership.has_quorum_contact(self.members, now, MAX_ELECTION_S):
                self._broadcast(now)
            else:
                self._become_follower(self._term, None, now)
        elif self._id in self.members.voters:
            self._campaign(PRE_CANDIDATE, now)
        else:
            self._leader = None
            self._reset_election(now)

    def receive(self, message, now):
        """Handles a message of another process.

        Messages to other identities are ignored.

        :param message: a message of
            :mod:`~figpick.consensus._consensus_messages`.
        :param now: monotonic seconds.
        """
        if message.to == self._id:
            self._handle(message, now)

    def form(self, members):
        """Forms a new quorum.

        Every first member must call this with the same membership. Their logs then
        start with the same entry, which counts as committed.

        :param members: first :class:`Membership`.
        :raises MembershipError: when the log of this process is not empty.
        """
        if self._log.last_index > 0:
            raise MembershipError("this process is already a member of a quorum")
        self._set_state(max(self._term, FIRST_TERM), self._vote)
        entry = Entry(1, FIRST_TERM, MEMBERS, members._asdict())
        self._log.append(entry)
        self._new_entries.append(entry)
        self._commit_index = 1

    def propose(self, command, now):
        """Adds a command to the log.

        :param command: JSON value.
        :param now: monotonic seconds.
        :return: tuple of the term and the index of the command.
        :raises NoQuorumError: when this process does not lead.
        """
        self._require_leader()
        index = self._append_entry(COMMAND, command)
        self._send_entries(now)
        return self._term, index

    def read(self, request, now):
        """Requests confirmation from the quorum that this process still leads.

        :param request: value that :attr:`Output.reads` contains once the quorum has
            confirmed it.
        :param now: monotonic seconds.
        :raises NoQuorumError: when this process does not lead.
        """
        self._require_leader()
        self._leadership.add_read(request)
        if (
            self._has_committed_own_term()
            and not self._leadership.has_unconfirmed_reads
        ):
            self._broadcast(now)

    def change_members(self, members, now):
        """Adds a change of membership to the log.

        :param members: :class:`Membership` with at most one voter added or
            removed.
        :param now: monotonic seconds.
        :return: tuple of the term and the index of the change.
        :raises NoQuorumError: when this process does not lead.
        :raises MembershipError: when an earlier change is not committed yet, when
            no entry of the current term is committed yet, or when the change itself
            is not allowed.
        """
        self._require_leader()
        if self._log.members_index > self._commit_index:
            raise MembershipError("another change of membership is in progress")
        # Without this check, two leaders could each commit a change that is unknown
        # to the other, with quorums that do not overlap.
        if not self._has_committed_own_term():
            raise MembershipError("the leader has not committed an entry yet")
        if len(set(members.voters) ^ set(self.members.voters)) > 1:
            raise MembershipError("only one voter can be added or removed at once")
        if not members.voters:
            raise MembershipError("the last voter cannot be removed")
        index = self._append_entry(MEMBERS, members._asdict())
        self._leadership.update_members(members, index, now)
        self._send_entries(now)
        return self._term, index

    def compact(self, snapshot):
        """Drops the entries that a stored snapshot covers.

        :param snapshot: :class:`Snapshot`.
        """
        self._log.compact(snapshot)

    def mark_synced(self, output, now):
        """Records that an output has been written and synced.

        :param output: the :class:`Output` that was stored.
        :param now: monotonic seconds.
        """
        self._synced_index = output.last_index
        if self.is_leader:
            self._advance_commit(now)

    def _require_leader(self):
        if not self.is_leader:
            raise NoQuorumError("no quorum: this process does not lead")

    @singledispatchmethod
    def _handle(self, message, now):
        raise TypeError(f"{type(message).__name__} is not a quorum message")

    @_handle.register
    def _(self, message: Vote, now):
        self._on_vote(message, now)

    @_handle.register
    def _(self, message: VoteReply, now):
        self._on_vote_reply(message, now)

    @_handle.register
    def _(self, message: Transfer, now):
        self._on_transfer(message, now)

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

"""One member of the quorum with its disk and its registry, without a network.

The caller passes received messages and the time, and then sends the messages that
:meth:`Replica.take_messages` returns. The result of a request is reported through a
callback ``done(result, error)``.
"""

from collections import deque

from ..base._errors import ConflictError, FigpickError, NoQuorumError
from ..base._logs import logger
from ..registry._registry import UnknownCommandError
from ..registry._registry_commands import put_command
from ._consensus import Raft
from ._consensus_messages import COMMAND, MEMBERS, NOOP, Snapshot

# The log is compacted into a snapshot after this many entries or bytes.
COMPACT_ENTRIES = 1000
COMPACT_BYTES = 8 * 1024 * 1024
# The commit index is written with the next entry. If none follows within this time, it
# is written alone, so that a restarted process has its newest configuration at once.
COMMIT_INDEX_DELAY_S = 0.5

NOT_LEADER = "no quorum: this process no longer leads"
UNKNOWN_OUTCOME = (
    "no quorum: the outcome of the change is unknown; resend it with the same id"
)

log = logger("replica")


class Replica:
    """Applies the log of the quorum to a registry.

    :param storage: loaded :class:`~figpick.consensus._storage.Storage`.
    :param stored: :class:`~figpick.consensus._consensus_messages.StoredState` that
        the storage loaded.
    :param registry: empty :class:`~figpick.registry._registry.Registry`.
    :param random: source of random numbers.
    :param now: monotonic seconds.
    """

    raft_class = Raft
    compact_entries = COMPACT_ENTRIES

    def __init__(self, storage, stored, registry, random, now):
        self._storage = storage
        self._registry = registry
        self._raft = self.raft_class(storage.identity, stored, random, now)
        if stored.snapshot.data:
            registry.restore(stored.snapshot.data)
        self._applied_index = stored.snapshot.index
        self._applied_term = stored.snapshot.term
        self._pending_changes = {}
        self._pending_reads = {}
        self._messages = []
        self._completed = deque()
        self._is_processing = False
        self._failure = None
        self._commit_index_due_at = None
        self._logged_leader = (self._raft.term, None)

    @property
    def identity(self):
        """Identity of the process and its disk."""
        return self._storage.identity

    @property
    def raft(self):
        """:class:`~figpick.consensus._consensus.Raft`, for reading only."""
        return self._raft

    @property
    def registry(self):
        """Registry with every committed command applied."""
        return self._registry

    @property
    def applied_index(self):
        """Index of the last applied entry."""
        return self._applied_index

    @property
    def failure(self):
        """Error that ended participation in the quorum, or ``None``."""
        return self._failure

    @property
    def deadline(self):
        """Monotonic seconds at which :meth:`tick` must be called."""
        return self._raft.deadline

    def take_messages(self):
        """Returns the messages to send and clears them."""
        messages = self._messages
        self._messages = []
        return messages

    def tick(self, now):
        """Sends heartbeats or starts an election when :attr:`deadline` has passed.

        :param now: monotonic seconds.
        """
        if self._failure is None:
            self._raft.tick(now)
            self._process_output(now)

    def receive(self, message, now):
        """Handles a message of another member.

        :param message: decoded message.
        :param now: monotonic seconds.
        """
        if self._failure is not None:
            return
        try:
            self._raft.receive(message, now)
        except FigpickError as error:
            self._end_participation(error)
        self._process_output(now)

    def form(self, members, now):
        """Starts a new quorum of which this process is a first member.

        :param members: first
            :class:`~figpick.consensus._consensus_messages.Membership`.
        :param now: monotonic seconds.
        """
        if self._failure is None:
            self._raft.form(members)
            self._process_output(now)

    def put(self, message, wall, done, now):
        """Adds a change of a service document to the log.

        A change that was applied before reports its first result again.

        :param message: dict with ``document``, ``base``, ``change``, ``author``.
        :param wall: seconds since the epoch, stored in the history of the document.
        :param done: called with the result, or with an error.
        :param now: monotonic seconds.
        """

        def on_read(_, error):
            try:
                if error is not None:
                    raise error
                first_result = self._check(message)
            except FigpickError as failure:
                if self._may_be_accepted_later(failure, message):
                    # The log keeps the refusal of the change for its later copies.
                    self.propose(put_command(message, wall), done, now)
                else:
                    done(None, failure)
                return
            if first_result is not None:
                done(first_result, None)
            else:
                self.propose(put_command(message, wall), done, now)

        try:
            is_new = self._check(message) is None
        except FigpickError:
            is_new = False
        if is_new:
            self.propose(put_command(message, wall), done, now)
        else:
            # Without the read, a leader that was cut off could report an outdated
            # conflict.
            self.read(on_read, now)

    def propose(self, command, done, now):
        """Adds a command to the log.

        :param command: JSON value.
        :param done: called with the result once the command is applied, or with an
            error.
        :param now: monotonic seconds.
        """
        try:
            self._require_no_failure()
            term, index = self._raft.propose(command, now)
        except FigpickError as error:
            done(None, error)
            return
        self._pending_changes[index] = (term, done)
        self._process_output(now)

    def change_members(self, members, done, now):
        """Changes the membership by one step.

        :param members: :class:`~figpick.consensus._consensus_messages.Membership`.
        :param done: called once the change is committed, or with an error.
        :param now: monotonic seconds.
        """
        try:
            self._require_no_failure()
            term, index = self._raft.change_members(members, now)
        except FigpickError as error:
            done(None, error)
            return
        self._pending_changes[index] = (term, done)
        self._process_output(now)

    def transfer_leadership(self, now):
        """Asks another voter to take over, if this process leads.

        :param now: monotonic seconds.
        """
        if self._failure is None:
            self._raft.transfer_leadership(now)
            self._process_output(now)

    def read(self, done, now):
        """Confirms with a quorum that the registry is current.

        :param done: called when the registry may be read, or with an error.
        :param now: monotonic seconds.
        """
        try:
            self._require_no_failure()
            self._pending_reads[done] = None
            self._raft.read(done, now)
        except FigpickError as error:
            self._pending_reads.pop(done, None)
            done(None, error)
            return
        self._process_output(now)

    def _check(self, message):
        """Returns the first result of an applied change, or ``None`` for a new one.

        :raises FigpickError: when a new change is not valid, or was rejected before.
        """
        first_result = self._registry.find_result(message["change"])
        if first_result is None:
            self._registry.check(message)
        return first_result

    def _may_be_accepted_later(self, error, message):
        is_conflict = isinstance(error, ConflictError)
        return is_conflict and self._registry.may_apply_later(message)

    def _require_no_failure(self):
        if self._failure is not None:
            raise NoQuorumError(f"no quorum: {self._failure}")

    def _process_output(self, now):
        # A completed request may start another one, whose output is processed by the
        # outer call.
        if self._is_processing:
            return
        self._is_processing = True
        try:
            self._advance(now)
            while self._completed:
                done, result, error = self._completed.popleft()
                done(result, error)
                self._advance(now)
        finally:
            self._is_processing = False

    def _advance(self, now):
        if self._failure is not None:
            return
        try:
            while (output := self._raft.take_output()) is not None:
                self._store(output)
                self._raft.mark_synced(output, now)
                self._messages.extend(output.messages)
                for entry in output.committed:
                    self._apply(entry)
                self._complete_reads(output.reads)
            self._log_leader()
            if not self._raft.is_leader:
                self._fail_pending(
                    NoQuorumError(UNKNOWN_OUTCOME), NoQuorumError(NOT_LEADER)
                )
            self._compact()
            self._store_commit_index(now)
        except FigpickError as error:
            self._end_participation(error)

    def _log_leader(self):
        known = self._raft.term, self._raft.leader
        if known == self._logged_leader:
            return
        self._logged_leader = known
        term, leader = known
        if leader is None:
            log.info("No leader is known in term {}.", term)
        else:
            log.info("Leader of term {} is {}.", term, leader)

    def _store(self, output):
        if output.snapshot is not None:
            self._install(output.snapshot)
        self._storage.write(output)

    def _install(self, snapshot):
        raft_log = self._raft.log
        entries = raft_log.slice(snapshot.index + 1, raft_log.last_index)
        self._storage.save_snapshot(snapshot, entries)
        self._registry.restore(snapshot.data)
        self._applied_index = snapshot.index
        self._applied_term = snapshot.term

    def _apply(self, entry):
        result = None
        if entry.kind == COMMAND:
            result = self._registry.apply(entry.data, entry.index)
        elif entry.kind == MEMBERS:
            log.info("Members at entry {}: {}.", entry.index, entry.data)
        elif entry.kind != NOOP:
            raise UnknownCommandError(f"entry {entry.index}: kind {entry.kind!r}")
        self._applied_index = entry.index
        self._applied_term = entry.term
        term, done = self._pending_changes.pop(entry.index, (None, None))
        if done is None:
            return
        if term != entry.term:
            self._complete(done, None, NoQuorumError(UNKNOWN_OUTCOME))
        elif isinstance(result, FigpickError):
            self._complete(done, None, result)
        else:
            self._complete(done, result, None)

    def _complete_reads(self, requests):
        for done in requests:
            self._pending_reads.pop(done, None)
            self._complete(done, None, None)

    def _fail_pending(self, change_error, read_error):
        for _, done in self._pending_changes.values():
            self._complete(done, None, change_error)
        for done in self._pending_reads:
            self._complete(done, None, read_error)
        self._pending_changes = {}
        self._pending_reads = {}

    def _complete(self, done, result, error):
        self._completed.append((done, result, error))

    def _compact(self):
        raft_log = self._raft.log
        count = self._applied_index - raft_log.base_index
        if count < self.compact_entries and self._storage.log_bytes < COMPACT_BYTES:
            return
        if count == 0:
            return
        members = raft_log.members_at(self._applied_index)
        snapshot = Snapshot(
            self._applied_index, self._applied_term, members, self._registry.encode()
        )
        entries = raft_log.slice(self._applied_index + 1, raft_log.last_index)
        self._storage.save_snapshot(snapshot, entries)
        self._raft.compact(snapshot)

    def _store_commit_index(self, now):
        if self._applied_index <= self._storage.commit_index:
            self._commit_index_due_at = None
        elif self._commit_index_due_at is None:
            self._commit_index_due_at = now + COMMIT_INDEX_DELAY_S
        elif now >= self._commit_index_due_at:
            self._storage.write_commit_index(self._applied_index)
            self._commit_index_due_at = None

    def _end_participation(self, error):
        self._failure = error
        self._messages = []
        log.error("Participation in the quorum has ended: {}.", error)
        no_quorum = NoQuorumError(f"no quorum: {error}")
        self._fail_pending(no_quorum, no_quorum)

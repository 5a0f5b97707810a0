"""One member of the quorum with its disk and its registry, without a network.

The owner passes messages and time in and takes messages out. Requests are
answered through a function ``done(answer, error)``.
"""

from collections import deque

from ..base._errors import FigpickError, NoQuorumError
from ..base._logs import logger
from ..registry._registry import UnknownCommandError
from ..registry._registry_commands import put_command
from ._consensus import Raft
from ._consensus_messages import COMMAND, MEMBERS, NOOP, Snapshot

# The log is replaced by a snapshot after this many entries or bytes.
COMPACT_ENTRIES = 1000
COMPACT_BYTES = 8 * 1024 * 1024

NO_LEADER = "no quorum: this process no longer leads"
UNKNOWN_OUTCOME = (
    "no quorum: the outcome of the change is unknown; resend it with the same id"
)

log = logger("replica")


class Replica:
    """Applies the log of the quorum to a registry.

    :param storage: loaded :class:`~figpick.consensus._storage.Storage`.
    :param stored: :class:`~figpick.consensus._consensus_messages.Stored` from it.
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
        self._applied = stored.snapshot.index
        self._applied_term = stored.snapshot.term
        self._waiting = {}
        self._reads = {}
        self._messages = []
        self._finished = deque()
        self._draining = False
        self._failure = None
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
    def applied(self):
        """Index of the last applied entry."""
        return self._applied

    @property
    def failure(self):
        """Error that ended the participation in the quorum, or ``None``."""
        return self._failure

    @property
    def deadline(self):
        """Monotonic seconds at which :meth:`tick` must be called."""
        return self._raft.deadline

    def take_messages(self):
        """Takes the messages to send."""
        messages = self._messages
        self._messages = []
        return messages

    def tick(self, now):
        """Lets time pass.

        :param now: monotonic seconds.
        """
        if self._failure is None:
            self._raft.tick(now)
            self._drain(now)

    def receive(self, message, now):
        """Takes a message of another member.

        :param now: monotonic seconds.
        """
        if self._failure is not None:
            return
        try:
            self._raft.receive(message, now)
        except FigpickError as error:
            self._fail(error)
        self._drain(now)

    def form(self, members, now):
        """Starts a new quorum of which this process is a first member.

        :param members: :class:`~figpick.consensus._consensus_messages.Membership`.
        """
        if self._failure is None:
            self._raft.form(members)
            self._drain(now)

    def put(self, message, wall, done, now):
        """Accepts a change of a service document, or gives its first answer.

        :param message: dict with ``document``, ``base``, ``change``, ``author``.
        :param wall: seconds since the epoch, kept in the history.
        :param done: called with the answer.
        :param now: monotonic seconds.
        """

        def decide(_, error):
            try:
                if error is not None:
                    raise error
                known = self._check(message)
            except FigpickError as refusal:
                done(None, refusal)
                return
            if known is not None:
                done(known, None)
            else:
                self.propose(put_command(message, wall), done, now)

        try:
            is_new = self._check(message) is None
        except FigpickError:
            is_new = False
        if is_new:
            self.propose(put_command(message, wall), done, now)
        else:
            # Without the read, a leader that was cut off could show an old conflict.
            self.read(decide, now)

    def propose(self, command, done, now):
        """Adds a command to the log.

        :param done: called with the answer once the command is applied.
        :param now: monotonic seconds.
        """
        try:
            self._require_participation()
            term, index = self._raft.propose(command, now)
        except FigpickError as error:
            done(None, error)
            return
        self._waiting[index] = (term, done)
        self._drain(now)

    def change_members(self, members, done, now):
        """Changes the membership by one step.

        :param members: :class:`~figpick.consensus._consensus_messages.Membership`.
        :param done: called once the change is committed.
        """
        try:
            self._require_participation()
            term, index = self._raft.change_members(members, now)
        except FigpickError as error:
            done(None, error)
            return
        self._waiting[index] = (term, done)
        self._drain(now)

    def read(self, done, now):
        """Confirms with a quorum that the registry is current.

        :param done: called when the registry may be read.
        """
        try:
            self._require_participation()
            self._reads[done] = None
            self._raft.read(done, now)
        except FigpickError as error:
            self._reads.pop(done, None)
            done(None, error)
            return
        self._drain(now)

    def _check(self, message):
        """Gives the first answer to a change, or checks it when it is new."""
        known = self._registry.find_result(message["change"])
        if known is None:
            self._registry.check(message)
        return known

    def _require_participation(self):
        if self._failure is not None:
            raise NoQuorumError(f"no quorum: {self._failure}")

    def _drain(self, now):
        # Answered requests may make new ones, which the outer call continues.
        if self._draining:
            return
        self._draining = True
        try:
            self._advance(now)
            while self._finished:
                done, answer, error = self._finished.popleft()
                done(answer, error)
                self._advance(now)
        finally:
            self._draining = False

    def _advance(self, now):
        if self._failure is not None:
            return
        try:
            while (output := self._raft.take_output()) is not None:
                self._store(output)
                self._raft.stored(output, now)
                self._messages.extend(output.messages)
                for entry in output.committed:
                    self._apply(entry)
                self._confirm(output.reads)
            self._log_leader()
            if not self._raft.is_leader:
                self._abandon(NoQuorumError(UNKNOWN_OUTCOME), NoQuorumError(NO_LEADER))
            self._compact()
        except FigpickError as error:
            self._fail(error)

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
        self._applied = snapshot.index
        self._applied_term = snapshot.term

    def _apply(self, entry):
        answer = None
        if entry.kind == COMMAND:
            answer = self._registry.apply(entry.data, entry.index)
        elif entry.kind == MEMBERS:
            log.info("Members at entry {}: {}.", entry.index, entry.data)
        elif entry.kind != NOOP:
            raise UnknownCommandError(f"entry {entry.index}: kind {entry.kind!r}")
        self._applied = entry.index
        self._applied_term = entry.term
        term, done = self._waiting.pop(entry.index, (None, None))
        if done is None:
            return
        if term != entry.term:
            self._finish(done, None, NoQuorumError(UNKNOWN_OUTCOME))
        elif isinstance(answer, FigpickError):
            self._finish(done, None, answer)
        else:
            self._finish(done, answer, None)

    def _confirm(self, requests):
        for done in requests:
            self._reads.pop(done, None)
            self._finish(done, None, None)

    def _abandon(self, change_error, read_error):
        for _, done in self._waiting.values():
            self._finish(done, None, change_error)
        for done in self._reads:
            self._finish(done, None, read_error)
        self._waiting = {}
        self._reads = {}

    def _finish(self, done, answer, error):
        self._finished.append((done, answer, error))

    def _compact(self):
        raft_log = self._raft.log
        count = self._applied - raft_log.base_index
        if count < self.compact_entries and self._storage.log_bytes < COMPACT_BYTES:
            return
        if count == 0:
            return
        members = raft_log.members_at(self._applied)
        snapshot = Snapshot(
            self._applied, self._applied_term, members, self._registry.encode()
        )
        entries = raft_log.slice(self._applied + 1, raft_log.last_index)
        self._storage.save_snapshot(snapshot, entries)
        self._raft.compact(snapshot)

    def _fail(self, error):
        self._failure = error
        self._messages = []
        log.error("Participation in the quorum has ended: {}.", error)
        refusal = NoQuorumError(f"no quorum: {error}")
        self._abandon(refusal, refusal)

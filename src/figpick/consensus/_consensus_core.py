"""State that all parts of a quorum member share, and the output for the caller."""

from typing import NamedTuple

from ._consensus_log import Log
from ._consensus_messages import Entry, Snapshot, VoteState

MIN_ELECTION_S = 0.6
MAX_ELECTION_S = 1.2
# The first election after a start comes sooner, because usually there is no leader to
# wait for. A pre-vote does not disturb a leader from which other members still receive
# messages. Links to the other members take 0.1 s to open.
MIN_FIRST_ELECTION_S = 0.2
MAX_FIRST_ELECTION_S = 0.5
# A pre-vote that finds no majority is repeated soon: after a loss of many processes the
# others may just have started, and pre-votes change no state.
MIN_PRE_VOTE_RETRY_S = 0.1
MAX_PRE_VOTE_RETRY_S = 0.25

FOLLOWER = "follower"
PRE_CANDIDATE = "pre-candidate"
CANDIDATE = "candidate"
LEADER = "leader"


class Output(NamedTuple):
    """Steps that the caller must perform, in the order of the fields.

    :param snapshot: received :class:`Snapshot` to store, or ``None``.
    :param state: :class:`VoteState` to store, or ``None``.
    :param entries: entries to store; they replace all entries from the index of the
        first one.
    :param last_index: last index of the log once these records are stored.
    :param messages: messages to send once these records are synced.
    :param committed: entries to apply.
    :param reads: requests of the reads that a quorum has confirmed.
    :param commit_index: index up to which entries are known to be committed.
    """

    snapshot: Snapshot | None
    state: VoteState | None
    entries: tuple
    last_index: int
    messages: tuple
    committed: tuple
    reads: tuple
    commit_index: int = 0


class Core:
    """State of one member of the quorum.

    :param own_id: identity of this process and its disk.
    :param stored: :class:`~figpick.consensus._consensus_messages.StoredState`.
    :param random: source of random numbers, such as ``random.Random``.
    :param now: monotonic seconds.
    """

    def __init__(self, own_id, stored, random, now):
        self._id = own_id
        self._random = random
        self._term, self._vote = stored.state
        self._log = Log(stored.snapshot, stored.entries)
        self._synced_index = self._log.last_index
        # Committed entries are delivered before a leader is known, so that a process
        # has its registry soon after a restart.
        self._delivered_index = self._log.base_index
        known_index = min(stored.commit_index, self._log.last_index)
        self._commit_index = max(self._delivered_index, known_index)
        self._role = FOLLOWER
        self._leader = None
        self._last_leader_message_at = now - MAX_ELECTION_S
        self._votes = set()
        self._leadership = None
        self._incoming_snapshot = None
        self._new_snapshot = None
        self._state_changed = False
        self._new_entries = []
        self._messages = []
        self._confirmed_reads = []
        first_s = random.uniform(MIN_FIRST_ELECTION_S, MAX_FIRST_ELECTION_S)
        self._election_at = now + first_s
        if set(self._log.members.voters) == {own_id}:
            self._election_at = now

    def __repr__(self):
        name = type(self).__name__
        return f"<{name} {self._id} {self._role} term {self._term}>"

    @property
    def role(self):
        """``follower``, ``pre-candidate``, ``candidate`` or ``leader``."""
        return self._role

    @property
    def is_leader(self):
        """Whether this process leads its term."""
        return self._role == LEADER

    @property
    def leader(self):
        """Identity of the known leader, or ``None``."""
        return self._leader

    @property
    def term(self):
        """Current term."""
        return self._term

    @property
    def commit_index(self):
        """Last index known to be committed."""
        return self._commit_index

    @property
    def log(self):
        """:class:`~figpick.consensus._consensus_log.Log`, for reading only."""
        return self._log

    @property
    def members(self):
        """Active membership."""
        return self._log.members

    @property
    def progress(self):
        """Progress of the other members; empty unless this process leads."""
        return self._leadership.progress if self._leadership else {}

    def take_output(self):
        """Returns the pending output and clears it.

        :return: :class:`Output`, or ``None`` when there is nothing to do.
        """
        last = min(self._commit_index, self._log.last_index)
        committed = self._log.slice(self._delivered_index + 1, last)
        if not (
            self._messages
            or self._new_entries
            or self._state_changed
            or self._new_snapshot
            or committed
            or self._confirmed_reads
        ):
            return None
        output = Output(
            snapshot=self._new_snapshot,
            state=VoteState(self._term, self._vote) if self._state_changed else None,
            entries=tuple(self._new_entries),
            last_index=self._log.last_index,
            messages=tuple(self._messages),
            committed=tuple(committed),
            reads=tuple(self._confirmed_reads),
            commit_index=last,
        )
        self._delivered_index = last
        self._new_snapshot = None
        self._state_changed = False
        self._new_entries = []
        self._messages = []
        self._confirmed_reads = []
        return output

    def _reset_election(self, now):
        wait_s = self._random.uniform(MIN_ELECTION_S, MAX_ELECTION_S)
        self._election_at = now + wait_s

    def _schedule_pre_vote_retry(self, now):
        wait_s = self._random.uniform(MIN_PRE_VOTE_RETRY_S, MAX_PRE_VOTE_RETRY_S)
        self._election_at = now + wait_s

    def _set_state(self, term, vote):
        self._term = term
        self._vote = vote
        self._state_changed = True

    def _become_follower(self, term, leader, now):
        self._role = FOLLOWER
        self._leadership = None
        self._leader = leader
        if term > self._term:
            self._incoming_snapshot = None
            self._set_state(term, None)
        self._reset_election(now)

    def _append_entry(self, kind, data):
        entry = Entry(self._log.last_index + 1, self._term, kind, data)
        self._log.append(entry)
        self._new_entries.append(entry)
        return entry.index

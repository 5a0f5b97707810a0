"""Connects the replica of the configuration to links, the disk and the clock."""

import asyncio
import random
from typing import NamedTuple

from ..base._errors import FigpickError, NoQuorumError, StorageError
from ..base._files import Files
from ..base._logs import logger
from ..configuration import ConfigurationRegistry, encode_command
from ..consensus._callbacks import wait_for_callback
from ..consensus._consensus_messages import (
    MEMBERS,
    NO_SNAPSHOT,
    REPLY_TYPES,
    REQUEST_KINDS,
    REQUEST_TYPES,
    StoredState,
    VoteState,
    decode,
    encode,
)
from ..consensus._formation import Formation, new_identity
from ..consensus._replica import Replica
from ..consensus._storage import Storage
from ._messages import IdentityRequest, QuorumMessage

FORM_PERIOD_S = 0.1
# Delay before the data folder is opened again after an error, such as a full disk.
REOPEN_PERIOD_S = 1.0

# A voter takes over within two round trips and two syncs.
HAND_OVER_TIMEOUT_S = 0.5
HAND_OVER_POLL_S = 0.01

REPLY_KINDS = {type_: kind for kind, type_ in REPLY_TYPES.items()}

log = logger("quorum")


def format_address(address):
    """Returns an address as ``ip:port``, the form that is stored in the log."""
    return f"{address[0]}:{address[1]}"


class LogPosition(NamedTuple):
    """How much of the replicated log a member knows, for log lines.

    :param term: current term.
    :param last_index: index of the last entry.
    :param commit_index: last index known to be committed.
    :param applied_index: last index that the registry contains.
    :param version: version of the newest configuration in the registry.
    """

    term: int
    last_index: int
    commit_index: int
    applied_index: int
    version: int


class QuorumMember:
    """Member of the quorum in this process.

    :param settings: :class:`~figpick.control.ControlSettings`.
    :param clock: :class:`~figpick.base._clock.Clock`.
    :param send: called with an address as ``ip:port`` and a message.
    :param on_applied: called without arguments when entries may have been applied.
    """

    def __init__(self, settings, clock, send, on_applied):
        self._settings = settings
        self._clock = clock
        self._send = send
        self._on_applied = on_applied
        self._name = format_address(settings.link_address)
        self._replica = None
        self._registry = ConfigurationRegistry()
        self._formation = None
        self._deadline_moved_up = asyncio.Event()
        self._planned_tick_at = 0.0
        self._heard_at = {}

    def __repr__(self):
        return f"<QuorumMember {self.identity}>"

    @property
    def replica(self):
        """The replica, or ``None`` until the disk can be read."""
        return self._replica

    @property
    def registry(self):
        """:class:`~figpick.configuration.ConfigurationRegistry`, for reading only."""
        return self._registry

    @property
    def identity(self):
        """Identity of this process and its disk, empty while it is unknown."""
        return self._replica.identity if self._replica else ""

    @property
    def is_leader(self):
        """Whether this process leads the quorum."""
        return self._replica is not None and self._replica.raft.is_leader

    @property
    def leader_address(self):
        """Address of the known leader as ``ip:port``, or ``None``."""
        if self._replica is None or self._replica.failure is not None:
            return None
        raft = self._replica.raft
        return raft.members.addresses.get(raft.leader)

    def position(self):
        """Returns the :class:`LogPosition`, all zeros while the disk is not read."""
        if self._replica is None:
            return LogPosition(0, 0, 0, 0, 0)
        raft = self._replica.raft
        return LogPosition(
            raft.term,
            raft.log.last_index,
            raft.commit_index,
            self._replica.applied_index,
            self._registry.version,
        )

    async def run(self):
        """Participates in the quorum until cancelled."""
        while True:
            if self._replica is None or self._replica.failure is not None:
                self._open_storage()
                if self._replica is None:
                    await asyncio.sleep(REOPEN_PERIOD_S)
                    continue
            self._replica.tick(self._clock.monotonic())
            self._process_output()
            if self._replica.failure is not None:
                await asyncio.sleep(REOPEN_PERIOD_S)
                continue
            self._deadline_moved_up.clear()
            self._planned_tick_at = self._replica.deadline
            try:
                async with asyncio.timeout(
                    self._planned_tick_at - self._clock.monotonic()
                ):
                    await self._deadline_moved_up.wait()
            except TimeoutError:
                pass

    async def form(self):
        """Forms a quorum of the seeds at the first start of the whole system."""
        if not self._settings.may_form_quorum:
            return
        seeds = [format_address(seed) for seed in self._settings.seeds]
        if self._name not in seeds:
            return
        while self._replica is None:
            await asyncio.sleep(FORM_PERIOD_S)
        addresses = {seed: seed for seed in seeds}
        self._formation = Formation(self.identity, addresses)
        while not self._is_formed and not self._formation.must_be_added:
            self._form_if_known()
            for seed in seeds:
                if seed != self._name:
                    self._send(seed, IdentityRequest())
            await asyncio.sleep(FORM_PERIOD_S)

    def identify(self):
        """Returns the identity of this process and whether its log has entries.

        :return: dict, see
            :meth:`~figpick.consensus._formation.Formation.record_identity`, or
            ``None`` while the disk cannot be read.
        """
        if self._replica is None:
            return None
        raft = self._replica.raft
        first_entries = raft.log.slice(1, 1) if raft.log.base_index == 0 else []
        has_members = bool(first_entries) and first_entries[0].kind == MEMBERS
        return {
            "identity": self.identity,
            "formed": raft.log.last_index > 0,
            "first_members": first_entries[0].data if has_members else None,
        }

    def handle_identity(self, description):
        """Records the identity of another process and forms a quorum when possible.

        :param description: dict that the other process returned from
            :meth:`identify`, or ``None``.
        """
        formation = self._formation
        if formation is None or description is None or self._is_formed:
            return
        formation.record_identity(description)
        if formation.members is not None:
            self._replica.form(formation.members, self._clock.monotonic())
            log.info(
                "Formed a quorum.", extra={"members": sorted(formation.members[0])}
            )
            self._process_output()

    def _form_if_known(self):
        members = self._formation.members
        if members is not None and not self._is_formed:
            self._replica.form(members, self._clock.monotonic())
            log.info("Formed a quorum.", extra={"members": sorted(members.voters)})
            self._process_output()

    def receive(self, kind, fields):
        """Handles a message of another member.

        :param kind: ``vote``, ``append`` or ``snapshot``, with ``-reply`` for replies.
        :param fields: JSON value of the message.
        :raises FigpickError: when the kind is unknown.
        :raises MalformedMessageError: when a field is missing or malformed.
        """
        if self._replica is None:
            return
        type_ = REQUEST_TYPES.get(kind) or REPLY_TYPES.get(kind.removesuffix("-reply"))
        if type_ is None:
            raise FigpickError(f"unknown kind of quorum message: {kind!r}")
        message = decode(type_, fields)
        now = self._clock.monotonic()
        self._heard_at[message.sender] = now
        self._replica.receive(message, now)
        self._process_output()

    def voter_silences(self, now):
        """Returns the seconds since the last message of each voter, by identity.

        The value is ``None`` for a voter that was not heard since the start.

        :param now: monotonic seconds.
        """
        if self._replica is None:
            return {}
        heard_at = {**self._heard_at, self.identity: now}
        voters = self._replica.raft.members.voters
        self._heard_at = {each: heard_at[each] for each in voters if each in heard_at}
        return {
            each: now - heard_at[each] if each in heard_at else None for each in voters
        }

    async def propose(self, command):
        """Adds a command to the log and waits until it is applied.

        :param command: :class:`~figpick.configuration.ChangeSet` or another command.
        :return: result of the command, see
            :class:`~figpick.configuration.ConfigurationRegistry`.
        :raises VersionConflictError: when another change set was applied first.
        :raises NoQuorumError: when the outcome is not known.
        """
        return await self._request_replica(Replica.propose, encode_command(command))

    async def confirm(self):
        """Waits until a quorum confirms that the registry is current.

        :return: the confirmed registry; :attr:`registry` may be replaced meanwhile,
            when the data folder is opened again after an error.
        :raises NoQuorumError: when this process does not lead a quorum.
        """
        registry = self._registry
        await self._request_replica(Replica.read)
        return registry

    def change_members(self, members):
        """Starts a change of membership; logs an error if it fails.

        :param members: :class:`~figpick.consensus._consensus_messages.Membership`.
        """

        def done(_, error):
            if error is not None:
                log.info("Change of quorum members failed: {}.", error)

        self._replica.change_members(members, done, self._clock.monotonic())
        self._process_output()

    async def hand_over(self):
        """Asks another voter to lead and waits until one does, for a bounded time."""
        if not self.is_leader or len(self._replica.raft.members.voters) == 1:
            return
        self._replica.transfer_leadership(self._clock.monotonic())
        self._process_output()
        deadline = self._clock.monotonic() + HAND_OVER_TIMEOUT_S
        while self.leader_address in (None, self._name):
            if self._clock.monotonic() > deadline:
                log.info("No other member leads yet.")
                return
            await asyncio.sleep(HAND_OVER_POLL_S)

    @property
    def _is_formed(self):
        return self._replica is not None and self._replica.raft.log.last_index > 0

    def _open_storage(self):
        self._replica = None
        try:
            storage = Storage(Files(self._settings.data_folder))
            stored = storage.load()
            if stored is None:
                storage.create(new_identity(self._name))
                stored = StoredState(VoteState(0, None), NO_SNAPSHOT, ())
        except StorageError as error:
            log.error("The data folder cannot be used: {}.", error)
            return
        self._registry = ConfigurationRegistry()
        self._replica = Replica(
            storage, stored, self._registry, random.Random(), self._clock.monotonic()
        )
        log.info(
            "Opened the data folder.",
            extra={
                "identity": self.identity,
                "entry": self._replica.raft.log.last_index,
                "term": self._replica.raft.term,
            },
        )

    async def _request_replica(self, function, *arguments):
        if self._replica is None:
            raise NoQuorumError("no quorum: the data folder cannot be used")

        def start(*values):
            function(self._replica, *values, self._clock.monotonic())
            self._process_output()

        return await wait_for_callback(start, *arguments)

    def _process_output(self):
        addresses = self._replica.raft.members.addresses
        for message in self._replica.take_messages():
            address = addresses.get(message.to)
            if address is None and type(message) in REPLY_KINDS:
                # The membership of this member does not include the leader yet.
                address = message.to.partition("#")[0]
            if address is None:
                continue
            kind = REQUEST_KINDS.get(type(message))
            if kind is None:
                kind = REPLY_KINDS[type(message)] + "-reply"
            self._send(address, QuorumMessage(kind, encode(message)))
        if self._replica.deadline < self._planned_tick_at:
            self._deadline_moved_up.set()
        self._on_applied()

"""Connects a replica to the network, the disk and the clock."""

import asyncio
import random
from collections import Counter

from ..base._errors import PeerError
from ..base._files import Files
from ..base._logs import logger
from ..registry._registry import Registry
from ._callbacks import wait_for_callback
from ._consensus_messages import (
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
from ._formation import Formation, new_identity
from ._replica import Replica
from ._storage import Storage

SEND_TIMEOUT_S = 0.5
# A part of a snapshot takes longer to send on a slow connection.
SNAPSHOT_TIMEOUT_S = 2.0
# Further messages to a peer are dropped while this many have no reply.
MAX_PENDING_SENDS = 16
FORM_PERIOD_S = 0.2

log = logger("quorum")


class QuorumMember:
    """Member of the quorum in this process.

    :param settings: :class:`~figpick.base._settings.Settings`.
    :param clock: :class:`~figpick.base._clock.Clock`.
    :param client: :class:`~figpick.messaging._transport.PeerClient`.
    """

    def __init__(self, settings, clock, client):
        self._settings = settings
        self._clock = clock
        self._client = client
        self._replica = None
        self._must_be_added = False
        self._planned_tick_at = 0.0
        self._deadline_moved_up = asyncio.Event()
        self._pending_sends = Counter()
        self._tasks = set()

    @property
    def replica(self):
        """:class:`~figpick.consensus._replica.Replica`, once started."""
        return self._replica

    @property
    def must_be_added(self):
        """Whether an operator must add this process to the quorum."""
        return self._must_be_added and self._last_index == 0

    @property
    def needs_operator(self):
        """Whether this process cannot participate until an operator intervenes."""
        return self.must_be_added or self._replica.failure is not None

    @property
    def leader_address(self):
        """Peer address of the known leader, or ``None``."""
        raft = self._replica.raft
        return raft.members.addresses.get(raft.leader)

    def start(self):
        """Loads the durable state and creates the replica.

        :raises StorageError: when the state is damaged or in use by another process.
        """
        storage = Storage(Files(self._settings["data_folder"]))
        stored = storage.load()
        if stored is None:
            storage.create(new_identity(self._settings["name"]))
            stored = StoredState(VoteState(0, None), NO_SNAPSHOT, ())
        self._replica = Replica(
            storage, stored, Registry(), random.Random(), self._clock.monotonic()
        )
        identity = self._replica.identity
        log.info("Started as {} with a log up to entry {}.", identity, self._last_index)

    async def run(self):
        """Calls the replica whenever its deadline has passed, until cancelled."""
        while True:
            self._replica.tick(self._clock.monotonic())
            self._send_messages()
            if self._replica.failure is not None:
                await asyncio.Event().wait()
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
        """Forms a quorum when the disks of all control processes are new."""
        addresses = {
            member["name"]: member["address"] for member in self._settings["control"]
        }
        formation = Formation(self._replica.identity, addresses)
        while self._last_index == 0:
            for name, address in addresses.items():
                if name != self._settings["name"]:
                    await self._request_identity(formation, address)
            if formation.members is not None and self._last_index == 0:
                self._replica.form(formation.members, self._clock.monotonic())
                self._process_output()
                log.info("Formed a quorum of {}.", ", ".join(addresses))
            elif formation.must_be_added and not self._must_be_added:
                self._must_be_added = True
                log.warning(
                    "A quorum already exists. An operator must add this process to it."
                )
            await asyncio.sleep(FORM_PERIOD_S)

    async def identify(self, message):
        """Returns the identity of this process and whether its log has entries.

        :param message: not used.
        :return: dict with ``name`` and the fields of
            :meth:`~figpick.consensus._formation.Formation.record_identity`.
        """
        raft = self._replica.raft
        first_entries = raft.log.slice(1, 1) if raft.log.base_index == 0 else []
        has_members = bool(first_entries) and first_entries[0].kind == MEMBERS
        return {
            "name": self._settings["name"],
            "identity": self._replica.identity,
            "formed": raft.log.last_index > 0,
            "first_members": first_entries[0].data if has_members else None,
        }

    async def receive(self, kind, fields):
        """Handles a message of another member and returns the reply.

        :param kind: ``vote``, ``append`` or ``snapshot``.
        :param fields: JSON value of the message.
        :return: reply as a JSON value, empty when there is none.
        :raises MalformedMessageError: when a field is missing or malformed.
        """
        message = decode(REQUEST_TYPES[kind], fields)
        self._replica.receive(message, self._clock.monotonic())
        replies = []
        others = []
        for each in self._replica.take_messages():
            is_reply = type(each) is REPLY_TYPES[kind] and each.to == message.sender
            (replies if is_reply else others).append(each)
        self._process_output(others)
        return encode(replies[-1]) if replies else {}

    async def put(self, message):
        """Replicates a change of a service document.

        :param message: dict with ``document``, ``base``, ``change``, ``author``.
        :return: result from the registry.
        :raises ConflictError: when the registry refused it.
        :raises NoQuorumError: when it was not committed in this term.
        """
        wall = self._clock.wall()
        return await self._request_replica(self._replica.put, message, wall)

    async def propose(self, command):
        """Adds a command to the log and waits until it is applied.

        :param command: JSON value.
        :return: result from the registry.
        :raises ConflictError: when the registry refused it.
        :raises NoQuorumError: when it was not committed in this term.
        """
        return await self._request_replica(self._replica.propose, command)

    async def change_members(self, members):
        """Changes the membership by one step and waits until it is committed.

        :param members: :class:`~figpick.consensus._consensus_messages.Membership`.
        """
        await self._request_replica(self._replica.change_members, members)

    async def confirm(self):
        """Waits until a quorum confirms that the registry is current.

        :raises NoQuorumError: when this process does not lead a quorum.
        """
        await self._request_replica(self._replica.read)

    @property
    def _last_index(self):
        return self._replica.raft.log.last_index

    async def _request_replica(self, function, *arguments):
        def start(*values):
            function(*values, self._clock.monotonic())
            self._process_output()

        return await wait_for_callback(start, *arguments)

    def _process_output(self, messages=()):
        self._send_messages(messages)
        if self._replica.deadline < self._planned_tick_at:
            self._deadline_moved_up.set()

    def _send_messages(self, messages=()):
        addresses = self._replica.raft.members.addresses
        for message in (*messages, *self._replica.take_messages()):
            address = addresses.get(message.to)
            if type(message) not in REQUEST_KINDS or address is None:
                continue
            if self._pending_sends[address] < MAX_PENDING_SENDS:
                self._pending_sends[address] += 1
                task = asyncio.ensure_future(self._send(address, message))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def _send(self, address, message):
        kind = REQUEST_KINDS[type(message)]
        timeout_s = SNAPSHOT_TIMEOUT_S if kind == "snapshot" else SEND_TIMEOUT_S
        try:
            reply_fields = await self._client.send(
                address, kind, encode(message), timeout_s
            )
            reply = decode(REPLY_TYPES[kind], reply_fields) if reply_fields else None
        except PeerError as error:
            log.debug("No usable reply to a {} message: {}.", kind, error)
            return
        finally:
            self._pending_sends[address] -= 1
        if reply is not None:
            self._replica.receive(reply, self._clock.monotonic())
            self._process_output()

    async def _request_identity(self, formation, address):
        try:
            formation.record_identity(await self._client.send(address, "identify", {}))
        except PeerError as error:
            log.debug("Identity request to {} failed: {}.", address, error)

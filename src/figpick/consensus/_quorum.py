"""Connects a replica to the network and the clock."""

import asyncio
import random
from collections import Counter

from ..base._errors import PeerError
from ..base._files import Files
from ..base._logs import logger
from ..registry._registry import Registry
from ._callbacks import wait_for
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
# A part of a snapshot may take longer on a slow connection.
SNAPSHOT_TIMEOUT_S = 2.0
# More messages to a peer that does not answer are dropped.
MAX_OPEN_SENDS = 16
FORM_PERIOD_S = 0.2

log = logger("quorum")


class QuorumMember:
    """This process as a member of the quorum.

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
        self._planned = 0.0
        self._wake = asyncio.Event()
        self._open_sends = Counter()
        self._tasks = set()

    @property
    def replica(self):
        """:class:`~figpick.consensus._replica.Replica`, once started."""
        return self._replica

    @property
    def must_be_added(self):
        """Whether this process joins only when an operator adds it."""
        return self._must_be_added and self._last_index == 0

    @property
    def needs_operator(self):
        """Whether this process cannot take part until an operator acts."""
        return self.must_be_added or self._replica.failure is not None

    @property
    def leader_address(self):
        """Peer address of the known leader, or ``None``."""
        raft = self._replica.raft
        return raft.members.addresses.get(raft.leader)

    def start(self):
        """Reads the durable state.

        :raises StorageError: when it is damaged or in use.
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
        log.info("Started as {} at entry {}.", identity, self._last_index)

    async def run(self):
        """Lets time pass for the replica until cancelled."""
        while True:
            self._replica.tick(self._clock.monotonic())
            self._send_messages()
            if self._replica.failure is not None:
                await asyncio.Event().wait()
            self._wake.clear()
            self._planned = self._replica.deadline
            try:
                async with asyncio.timeout(self._planned - self._clock.monotonic()):
                    await self._wake.wait()
            except TimeoutError:
                pass

    async def form(self):
        """Forms a quorum when every control process is new."""
        addresses = {
            member["name"]: member["address"] for member in self._settings["control"]
        }
        formation = Formation(self._replica.identity, addresses)
        while self._last_index == 0:
            for name, address in addresses.items():
                if name != self._settings["name"]:
                    await self._ask_identity(formation, address)
            if formation.members is not None and self._last_index == 0:
                self._replica.form(formation.members, self._clock.monotonic())
                self._finish()
                log.info("Formed a quorum of {}.", ", ".join(addresses))
            elif formation.must_wait and not self._must_be_added:
                self._must_be_added = True
                log.warning("The quorum exists; an operator must add this process.")
            await asyncio.sleep(FORM_PERIOD_S)

    async def identify(self, message):
        """Tells who this process is and whether it has a log."""
        raft = self._replica.raft
        first = raft.log.slice(1, 1) if raft.log.base_index == 0 else []
        is_first = bool(first) and first[0].kind == MEMBERS
        return {
            "name": self._settings["name"],
            "identity": self._replica.identity,
            "formed": raft.log.last_index > 0,
            "first_members": first[0].data if is_first else None,
        }

    async def receive(self, kind, fields):
        """Answers a message of another member.

        :param kind: ``vote``, ``append`` or ``snapshot``.
        :param fields: JSON value.
        :return: reply as a JSON value, empty when there is none.
        """
        message = decode(REQUEST_TYPES[kind], fields)
        self._replica.receive(message, self._clock.monotonic())
        replies = []
        others = []
        for each in self._replica.take_messages():
            is_reply = type(each) is REPLY_TYPES[kind] and each.to == message.sender
            (replies if is_reply else others).append(each)
        self._finish(others)
        return encode(replies[-1]) if replies else {}

    async def put(self, message):
        """Accepts a change of a service document.

        :return: answer of the registry.
        :raises ConflictError: when the registry refused it.
        :raises NoQuorumError: when it was not committed in this term.
        """
        wall = self._clock.wall()
        return await self._request(self._replica.put, message, wall)

    async def propose(self, command):
        """Adds a command to the log and waits until it is applied.

        :return: answer of the registry.
        :raises ConflictError: when the registry refused it.
        :raises NoQuorumError: when it was not committed in this term.
        """
        return await self._request(self._replica.propose, command)

    async def change_members(self, members):
        """Changes the membership by one step and waits until it is committed.

        :param members: :class:`~figpick.consensus._consensus_messages.Membership`.
        """
        await self._request(self._replica.change_members, members)

    async def confirm(self):
        """Waits until a quorum confirms that the registry is current.

        :raises NoQuorumError: when this process does not lead a quorum.
        """
        await self._request(self._replica.read)

    @property
    def _last_index(self):
        return self._replica.raft.log.last_index

    async def _request(self, function, *arguments):
        def start(*values):
            function(*values, self._clock.monotonic())
            self._finish()

        return await wait_for(start, *arguments)

    def _finish(self, messages=()):
        self._send_messages(messages)
        if self._replica.deadline < self._planned:
            self._wake.set()

    def _send_messages(self, messages=()):
        addresses = self._replica.raft.members.addresses
        for message in (*messages, *self._replica.take_messages()):
            address = addresses.get(message.to)
            if type(message) not in REQUEST_KINDS or address is None:
                continue
            if self._open_sends[address] < MAX_OPEN_SENDS:
                self._open_sends[address] += 1
                task = asyncio.ensure_future(self._send(address, message))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def _send(self, address, message):
        kind = REQUEST_KINDS[type(message)]
        timeout_s = SNAPSHOT_TIMEOUT_S if kind == "snapshot" else SEND_TIMEOUT_S
        try:
            answer = await self._client.send(address, kind, encode(message), timeout_s)
            reply = decode(REPLY_TYPES[kind], answer) if answer else None
        except PeerError as error:
            log.debug("No reply to {}: {}.", kind, error)
            return
        finally:
            self._open_sends[address] -= 1
        if reply is not None:
            self._replica.receive(reply, self._clock.monotonic())
            self._finish()

    async def _ask_identity(self, formation, address):
        try:
            formation.learn(await self._client.send(address, "identify", {}))
        except PeerError as error:
            log.debug("No identity from {}: {}.", address, error)

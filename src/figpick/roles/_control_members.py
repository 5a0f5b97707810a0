"""Adds and removes control processes at the request of an operator."""

import asyncio
from typing import Literal, NotRequired, TypedDict

import msgspec

from ..base._errors import (
    Fault,
    InvalidDocumentError,
    NoQuorumError,
    PeerRefusedError,
    PeerUnreachableError,
)
from ..base._logs import logger
from ..base._settings import Address, Name
from ..consensus._consensus import MembershipError
from ..consensus._consensus_messages import Membership
from ..consensus._formation import name_of

CONFLICT = 409
NOT_FOUND = 404
BAD_GATEWAY = 502
CATCH_UP_TIMEOUT_S = 20.0
CHANGE_TIMEOUT_S = 5.0
# A process that was just started may not accept connections yet.
IDENTIFY_TIMEOUT_S = 2.0
RETRY_PAUSE_S = 0.05

log = logger("control")


class MembersMessage(TypedDict):
    """A request of an operator to change the quorum.

    :param action: ``add`` or ``remove``.
    :param name: name of the control process.
    :param address: its peer address, required for ``add``.
    """

    action: Literal["add", "remove"]
    name: Name
    address: NotRequired[Address]


class MembershipChanges:
    """Changes the membership of the quorum one step at a time; runs on the leader.

    :param quorum: :class:`~figpick.consensus._quorum.QuorumMember`.
    :param clock: :class:`~figpick.base._clock.Clock`.
    :param client: :class:`~figpick.messaging._transport.PeerClient`.
    """

    timeout_s = CATCH_UP_TIMEOUT_S + 2 * CHANGE_TIMEOUT_S

    def __init__(self, quorum, clock, client):
        self._quorum = quorum
        self._clock = clock
        self._client = client

    async def change(self, message):
        """Adds or removes one control process.

        A retry of an interrupted request continues where the request stopped.

        :param message: :class:`MembersMessage`.
        :return: dict with the names of ``voters`` and ``learners``.
        """
        message = parse_request(message)
        if message["action"] == "add":
            await self._add(message["name"], message["address"])
        else:
            await self._remove(message["name"])
        members = self._members
        return {
            "voters": sorted(map(name_of, members.voters)),
            "learners": sorted(map(name_of, members.learners)),
        }

    @property
    def _members(self):
        return self._quorum.replica.raft.members

    async def _add(self, name, address):
        identity = await self._identify(name, address)
        await self._settle()
        if self._members.voters.get(identity) == address:
            return
        if identity in self._members.voters:
            await self._apply(lambda members: _with_voter(members, identity, address))
            return
        _refuse_earlier_disk(self._members, identity)
        if identity not in self._members.learners:
            await self._apply(lambda members: _with_learner(members, identity, address))
        await self._wait_until_caught_up(identity)
        await self._apply(lambda members: _with_voter(members, identity, address))
        log.info("Control process {} is now a voter.", identity)

    async def _identify(self, name, address):
        deadline = self._clock.monotonic() + IDENTIFY_TIMEOUT_S
        while True:
            try:
                reply = await self._client.send(address, "identify", {})
                break
            except PeerUnreachableError as error:
                if self._clock.monotonic() > deadline:
                    body = {"error": f"{name} does not answer at {address}"}
                    raise PeerRefusedError(BAD_GATEWAY, body) from error
            await asyncio.sleep(RETRY_PAUSE_S)
        if reply["name"] != name:
            error = f"the process at {address} is {reply['name']!r}, not {name!r}"
            raise PeerRefusedError(CONFLICT, {"error": error})
        return reply["identity"]

    async def _remove(self, name):
        await self._settle()
        identities = [each for each in self._members.addresses if name_of(each) == name]
        if not identities:
            error = f"{name!r} is not a member of the quorum"
            raise PeerRefusedError(NOT_FOUND, {"error": error})
        for identity in identities:
            if set(self._members.voters) == {identity}:
                error = f"{name} is the last voter and cannot be removed"
                raise PeerRefusedError(CONFLICT, {"error": error})
            await self._apply(
                lambda members, removed=identity: _without(members, removed)
            )
            log.info("Control process {} was removed.", identity)

    async def _apply(self, change):
        deadline = self._clock.monotonic() + CHANGE_TIMEOUT_S
        while True:
            await self._settle()
            try:
                await self._quorum.change_members(change(self._members))
                return
            except MembershipError as error:
                if self._clock.monotonic() > deadline:
                    raise PeerRefusedError(CONFLICT, {"error": str(error)}) from error
            await asyncio.sleep(RETRY_PAUSE_S)

    async def _settle(self):
        """Waits until the newest membership is committed and known to be current.

        :raises NoQuorumError: when this process does not lead or the last change is
            not committed in time.
        """
        await self._quorum.confirm()
        deadline = self._clock.monotonic() + CHANGE_TIMEOUT_S
        raft = self._quorum.replica.raft
        while raft.is_leader and raft.log.members_index > raft.commit_index:
            if self._clock.monotonic() > deadline:
                raise NoQuorumError("no quorum: a change of members is not committed")
            await asyncio.sleep(RETRY_PAUSE_S)
        if not raft.is_leader:
            raise NoQuorumError("no quorum: this process does not lead")

    async def _wait_until_caught_up(self, identity):
        deadline = self._clock.monotonic() + CATCH_UP_TIMEOUT_S
        while not self._has_caught_up(identity):
            if self._clock.monotonic() > deadline:
                error = f"{name_of(identity)} has not caught up; send the request again"
                raise PeerRefusedError(CONFLICT, {"error": error})
            await asyncio.sleep(RETRY_PAUSE_S)

    def _has_caught_up(self, identity):
        raft = self._quorum.replica.raft
        if not raft.is_leader:
            raise NoQuorumError("no quorum: this process does not lead")
        progress = raft.progress.get(identity)
        return progress is not None and progress.match >= raft.commit_index


def parse_request(message):
    """Parses a request of an operator.

    :return: :class:`MembersMessage`.
    :raises InvalidDocumentError: with the first fault of the request.
    """
    try:
        parsed = msgspec.convert(message, MembersMessage)
    except msgspec.ValidationError as error:
        fault = Fault("members", str(error))
        raise InvalidDocumentError("request", [fault]) from error
    if parsed["action"] == "add" and "address" not in parsed:
        fault = Fault("address", "required to add a control process")
        raise InvalidDocumentError("request", [fault])
    return parsed


def _refuse_earlier_disk(members, identity):
    name = name_of(identity)
    if name in map(name_of, set(members.addresses) - {identity}):
        error = f"{name} is a member with an earlier disk; remove it first"
        raise PeerRefusedError(CONFLICT, {"error": error})


def _with_learner(members, identity, address):
    _refuse_earlier_disk(members, identity)
    return Membership(members.voters, {**members.learners, identity: address})


def _with_voter(members, identity, address):
    if identity not in members.addresses:
        error = f"{name_of(identity)} was removed while it was added"
        raise PeerRefusedError(CONFLICT, {"error": error})
    voters = {**members.voters, identity: address}
    return Membership(voters, _drop(members.learners, identity))


def _without(members, identity):
    return Membership(
        _drop(members.voters, identity), _drop(members.learners, identity)
    )


def _drop(members, identity):
    return {key: value for key, value in members.items() if key != identity}

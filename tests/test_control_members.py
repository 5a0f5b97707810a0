"""Requests of operators to change the quorum while an earlier change is under way."""

import asyncio
import random
from types import SimpleNamespace

import pytest

from figpick.base._clock import Clock
from figpick.base._errors import NoQuorumError, PeerRefusedError
from figpick.consensus._consensus import Raft
from figpick.consensus._consensus_messages import (
    NO_SNAPSHOT,
    AppendReply,
    Entry,
    Membership,
    StoredState,
    VoteReply,
    VoteState,
)
from figpick.roles._control_members import MembershipChanges

ADDRESSES = {name: f"127.0.0.1:{port}" for port, name in enumerate("abcde", 9101)}
VOTERS = {f"{name}#1": ADDRESSES[name] for name in "abc"}
LEARNER = {"d#1": ADDRESSES["d"]}
PAUSE_S = 0.2


class Quorum:
    """A leader whose entries are committed when the test says so."""

    def __init__(self, members):
        stored_members = Entry(1, 1, "members", members._asdict())
        stored = StoredState(VoteState(1, None), NO_SNAPSHOT, (stored_members,))
        self.raft = Raft("a#1", stored, random.Random(1), 0.0)
        self.raft.tick(2.0)
        self.raft.receive(VoteReply("b#1", "a#1", 2, True, pre=True), 2.0)
        self.raft.receive(VoteReply("b#1", "a#1", 2, True), 2.0)
        self.replica = SimpleNamespace(raft=self.raft)
        self.commit()
        self.is_confirmed = True

    def commit(self):
        """Commits the whole log."""
        last_index = self.raft.log.last_index
        while (output := self.raft.take_output()) is not None:
            self.raft.mark_synced(output, 2.0)
        for name in ("b#1", "c#1"):
            reply = AppendReply(name, "a#1", self.raft.term, True, match=last_index)
            self.raft.receive(reply, 2.0)
        assert self.raft.commit_index == last_index

    async def change_members(self, members):
        self.raft.change_members(members, 2.0)

    async def confirm(self):
        if not self.is_confirmed:
            raise NoQuorumError("no quorum: this process does not lead")


class Client:
    """Replies to ``identify`` in place of a control process."""

    def __init__(self, identities):
        self.identities = identities

    async def send(self, address, kind, message):
        names = {value: name for name, value in ADDRESSES.items()}
        name = names[address]
        return {"name": name, "identity": self.identities[name]}


def start_changes(members, **identities):
    quorum = Quorum(members)
    return quorum, MembershipChanges(quorum, Clock(), Client(identities))


def add(name):
    return {"action": "add", "name": name, "address": ADDRESSES[name]}


def remove(name):
    return {"action": "remove", "name": name}


async def is_pending(task):
    await asyncio.sleep(PAUSE_S)
    return not task.done()


def test_voter_is_reported_only_after_its_change_is_committed():
    """Guards against a resend that is accepted although the change can be lost."""

    async def scenario():
        members = Membership(VOTERS, LEARNER)
        quorum, changes = start_changes(members, d="d#1")
        await quorum.change_members(Membership(VOTERS | LEARNER, {}))
        task = asyncio.ensure_future(changes.change(add("d")))
        assert await is_pending(task)
        quorum.commit()
        assert "d" in (await task)["voters"]

    asyncio.run(scenario())


def test_member_is_reported_as_missing_only_after_its_removal_is_committed():
    """Guards against a refused removal although the member can still be restored."""

    async def scenario():
        quorum, changes = start_changes(Membership(VOTERS, LEARNER))
        await quorum.change_members(Membership(VOTERS, {}))
        task = asyncio.ensure_future(changes.change(remove("d")))
        assert await is_pending(task)
        quorum.commit()
        with pytest.raises(PeerRefusedError) as refusal:
            await task
        assert refusal.value.status == 404

    asyncio.run(scenario())


@pytest.mark.parametrize("message", [add("b"), add("c"), remove("d")])
def test_former_leader_decides_no_change_of_members(message):
    """Guards against an answer of a leader that was replaced without its knowledge."""

    async def scenario():
        quorum, changes = start_changes(Membership(VOTERS, {}), b="b#1", c="c#2")
        quorum.is_confirmed = False
        with pytest.raises(NoQuorumError):
            await changes.change(message)

    asyncio.run(scenario())


def test_member_that_was_removed_while_it_is_added_stays_removed():
    """Guards against an accepted removal that a waiting request reverts."""

    async def scenario():
        members = Membership(VOTERS, LEARNER)
        quorum, changes = start_changes(members, d="d#1")
        task = asyncio.ensure_future(changes.change(add("d")))
        assert await is_pending(task)
        other = {"e#1": ADDRESSES["e"]}
        # The new member has caught up, but an earlier change is not committed.
        await quorum.change_members(Membership(VOTERS, {**LEARNER, **other}))
        quorum.raft.progress["d#1"].advance(quorum.raft.log.last_index)
        assert await is_pending(task)
        quorum.commit()
        await quorum.change_members(Membership(VOTERS, other))
        assert await is_pending(task)
        quorum.commit()
        with pytest.raises(PeerRefusedError) as refusal:
            await task
        assert refusal.value.status == 409
        assert "d#1" not in quorum.raft.members.addresses

    asyncio.run(scenario())

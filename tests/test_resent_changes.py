"""Configurations that operators send again, and how refusals are logged."""

import asyncio
from types import SimpleNamespace

import logbook
import pytest

from figpick.base._errors import NoQuorumError
from figpick.configuration import (
    ConfigurationRegistry,
    VersionConflictError,
)
from figpick.control._leader_requests import (
    LEADER_POLL_S,
    PUT,
    LeaderRequests,
)
from figpick.control._messages import LeaderReply, LeaderRequest, decode
from figpick.control._quorum_member import LogPosition

from .control_processes import Controls, change
from .fleet import async_test

# Copies that wait for a leader ask for it at moments spread over its polling period.
COPIES = 45


class StandInLeader:
    """A leader whose registry applies the rest of its log while it is confirmed.

    :param applied: change sets that its registry has applied.
    :param pending: change sets in its log that commit during the confirmation.
    """

    is_leader = True

    def __init__(self, applied, pending=()):
        self.registry = ConfigurationRegistry()
        self._log = []
        self._pending = list(pending)
        self._apply(applied)

    def _apply(self, changes):
        for each in changes:
            self._log.append(each)
            self.registry.apply(each._asdict(), len(self._log))

    def position(self):
        count = len(self._log)
        last_index = count + len(self._pending)
        return LogPosition(4, last_index, count, count, self.registry.version)

    async def confirm(self):
        pending, self._pending = self._pending, []
        self._apply(pending)
        return self.registry

    async def propose(self, new):
        await self.confirm()
        result = self.registry.apply(new._asdict(), len(self._log) + 1)
        if isinstance(result, VersionConflictError):
            raise result
        return result


async def put(leader, new):
    requests = LeaderRequests(leader, lambda: None)
    return await requests.send(PUT, new._asdict())


@async_test
async def test_refusal_is_logged_with_what_the_leader_knew():
    """Guards against refusals whose cause the logs cannot tell."""
    leader = StandInLeader([change(60, 0)], [change(64, 60)])
    other = change(63, 58, "other-digest-of-63")
    with logbook.TestHandler() as handler, pytest.raises(VersionConflictError):
        await put(leader, other)
    (record,) = handler.records
    assert record.message == "Leader refuses a configuration."
    assert record.extra == {
        "version": 63,
        "base": 58,
        "digest": "other-digest",
        "conflict": "version 63 builds on 58, but 64 is current",
        "known_digest_before": False,
        "known_digest_after": False,
        "on_arrival": LogPosition(4, 2, 1, 1, 60)._asdict(),
        "on_refusal": LogPosition(4, 2, 2, 2, 64)._asdict(),
    }


@async_test
async def test_resend_to_a_leader_that_has_not_applied_it_is_acknowledged():
    """Guards against refusing an accepted change that was unknown on arrival."""
    leader = StandInLeader([change(58, 0)], [change(60, 58), change(64, 60)])
    assert await put(leader, change(64, 60)) == 64


@async_test
async def test_change_whose_base_commits_during_the_wait_is_accepted():
    leader = StandInLeader([change(58, 0)], [change(60, 58)])
    assert await put(leader, change(64, 60)) == 64


@async_test
async def test_other_change_with_the_current_version_is_refused():
    leader = StandInLeader([change(58, 0)], [change(60, 58), change(64, 60)])
    with pytest.raises(VersionConflictError):
        await put(leader, change(64, 60, "other"))


class FollowerLink:
    """A link to a leader that answers with the given reply, or not at all."""

    is_open = True

    def __init__(self, reply=None, delay_s=0.0):
        self._reply = reply
        self._delay_s = delay_s
        self.requests = None

    def send(self, message):
        request = decode(message)
        if self._reply is not None:
            reply = LeaderReply(request.number, *self._reply)
            loop = asyncio.get_running_loop()
            loop.call_later(self._delay_s, self.requests.handle_reply, reply)


async def put_at_follower(links):
    """Puts a change at a follower whose leader link is the next one every 0.1 s."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()

    def leader_link():
        elapsed = int((loop.time() - started_at) / 0.1)
        return links[min(elapsed, len(links) - 1)]

    member = SimpleNamespace(is_leader=False, leader_address="10.0.0.1:1")
    requests = LeaderRequests(member, leader_link)
    for link in links:
        if link is not None:
            link.requests = requests
    return await requests.send(PUT, change(5, 0)._asdict())


@pytest.mark.parametrize(
    "first",
    [
        FollowerLink(),
        FollowerLink(("no-quorum", ["no quorum: this process does not lead"])),
    ],
)
@async_test
async def test_request_to_a_lost_leader_is_sent_to_the_next_one(first):
    """Guards against a 503 of an earlier leader while a later one leads."""
    assert await put_at_follower([first, None, FollowerLink(("", 5))]) == 5


@async_test
async def test_reply_that_arrives_while_no_leader_is_known_is_used():
    assert await put_at_follower([FollowerLink(("", 5), 0.3), None]) == 5


@pytest.mark.parametrize(
    ("links", "reason"),
    [
        ([None], "no link to the leader 10.0.0.1:1"),
        ([FollowerLink()], "the leader 10.0.0.1:1 did not answer"),
        ([FollowerLink(("no-quorum", ["other"]))], "other"),
    ],
)
@async_test
async def test_missing_reply_of_the_leader_has_its_reason(links, reason):
    with pytest.raises(NoQuorumError, match=reason):
        await put_at_follower(links)


@async_test
async def test_copies_of_a_change_are_all_acknowledged_after_an_election(tmp_path):
    """A new leader does not know at first that the base of the copies is committed."""
    async with Controls(tmp_path) as controls:
        base = 0
        for version in range(10, 60, 10):
            await controls.put(controls.processes[0], change(version, base))
            await controls.kill()
            controls.start()
            copy = change(version + 5, version)
            copies = []
            for number in range(COPIES):
                process = controls.processes[number % 3]
                copies.append(asyncio.ensure_future(controls.put(process, copy)))
                await asyncio.sleep(LEADER_POLL_S / COPIES)
            results = await asyncio.gather(*copies, return_exceptions=True)
            assert results == [version + 5] * COPIES
            base = version + 5


@async_test
async def test_accepted_changes_are_acknowledged_again_after_a_restart(tmp_path):
    async with Controls(tmp_path) as controls:
        changes = [change(version, version - 1) for version in range(1, 7)]
        for each in changes:
            await controls.put(controls.processes[0], each)
        await controls.kill()
        controls.start()
        resends = [
            controls.put(process, each)
            for process in controls.processes
            for each in changes
        ]
        results = await asyncio.gather(*resends, return_exceptions=True)
        assert results == [each.version for each in changes] * 3


@async_test
async def test_change_sent_before_its_base_has_arrived_is_not_refused(tmp_path):
    """Guards against a refusal of one copy of a change while another is accepted."""
    async with Controls(tmp_path) as controls:
        await controls.put(controls.processes[0], change(1, 0))
        changes = [change(version, version - 1) for version in range(2, 10)]
        puts = [
            asyncio.ensure_future(controls.put(process, each))
            for each in reversed(changes)
            for process in controls.processes
        ]
        results = await asyncio.gather(*puts, return_exceptions=True)
        assert results == [each.version for each in reversed(changes) for _ in range(3)]


@async_test
async def test_change_whose_base_never_arrives_is_refused(tmp_path):
    async with Controls(tmp_path) as controls:
        await controls.put(controls.processes[0], change(1, 0))
        with pytest.raises(VersionConflictError):
            await controls.put(controls.processes[1], change(9, 8))


@async_test
async def test_request_that_the_leader_cannot_handle_gets_a_reply():
    """Guards against a wait for the timeout, without a line on the error."""
    replies = []
    link = SimpleNamespace(peer="control-1", send=replies.append)
    requests = LeaderRequests(StandInLeader([]), lambda: None)
    with logbook.TestHandler() as handler:
        await requests.serve(link, LeaderRequest(3, PUT, {"unknown": 1}))
    assert decode(replies[0])[:2] == (3, "no-quorum")
    assert [record.message for record in handler.records] == [
        "A request of control-1 cannot be served."
    ]

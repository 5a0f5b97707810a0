"""Configurations that operators send again, and how refusals are logged."""

import asyncio
from types import SimpleNamespace

import logbook
import pytest

from figpick.base._clock import Clock
from figpick.base._errors import NoQuorumError
from figpick.configuration import (
    ChangeSet,
    ConfigurationRegistry,
    VersionConflictError,
)
from figpick.control import ControlProcess, ControlSettings
from figpick.control._leader_requests import (
    LEADER_POLL_S,
    PUT,
    REPLY_TIMEOUT_S,
    LeaderRequests,
)
from figpick.control._messages import LeaderReply, decode
from figpick.control._quorum_member import LogPosition

from .fleet import async_test, free_address, wait_until

# Copies that wait for a leader ask for it at moments spread over its polling period.
COPIES = 45


def change(version, base, digest=None):
    return ChangeSet(version, base, digest or f"digest-of-{version}", "")


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


class Controls:
    """Three control processes in the event loop of the test.

    :param folder: folder for their data.
    """

    def __init__(self, folder):
        links = tuple(free_address() for _ in range(3))
        self.settings = [
            ControlSettings(f"c-{n}", "dc", link, links, True, str(folder / str(n)))
            for n, link in enumerate(links)
        ]
        self._tasks = []
        self.processes = []

    async def __aenter__(self):
        self.start()
        return self

    async def __aexit__(self, *error):
        await self.kill()

    def start(self):
        """Starts all processes with the data that they have."""
        self.processes = [ControlProcess(each, Clock()) for each in self.settings]
        self._tasks = [asyncio.ensure_future(each.run()) for each in self.processes]

    async def kill(self):
        """Ends all processes as a loss of power does."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for process in self.processes:
            process.close()

    async def put(self, process, new):
        """Sends a change set until it gets a clear response."""
        async with asyncio.timeout(8.0):
            while True:
                try:
                    return await process.put(new)
                except NoQuorumError:
                    await asyncio.sleep(0.01)


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


async def leader_of(controls):
    """Waits for a leader and returns its process."""
    await wait_until(lambda: any(each.member.is_leader for each in controls.processes))
    return next(each for each in controls.processes if each.member.is_leader)


@pytest.mark.parametrize("at_leader", [True, False])
@async_test
async def test_control_process_stops_after_its_operator_requests(
    tmp_path, monkeypatch, at_leader
):
    """Guards against a stop that closes connections of operators without a response."""
    async with Controls(tmp_path) as controls:
        await controls.put(controls.processes[0], change(1, 0))
        leader = await leader_of(controls)
        other = next(each for each in controls.processes if each is not leader)
        confirm = leader.member.confirm

        async def confirm_late():
            await asyncio.sleep(0.2)
            return await confirm()

        monkeypatch.setattr(leader.member, "confirm", confirm_late)
        reading = leader if at_leader else other
        task = asyncio.ensure_future(reading.read())
        await asyncio.sleep(0.05)
        await leader.drain()
        leader.close()
        async with asyncio.timeout(0.1):
            assert (await task).version == 1


@async_test
async def test_stop_of_a_control_process_does_not_wait_without_a_quorum(tmp_path):
    async with Controls(tmp_path) as controls:
        alone = ControlProcess(controls.settings[0]._replace(name="x"), Clock())
        task = asyncio.ensure_future(alone.read())
        await asyncio.sleep(0)
        async with asyncio.timeout(REPLY_TIMEOUT_S + 0.3):
            await alone.drain()
        task.cancel()


@async_test
async def test_stopping_control_process_accepts_no_operator_requests(tmp_path):
    async with Controls(tmp_path) as controls:
        process = controls.processes[0]
        await controls.put(process, change(1, 0))
        await process.drain()
        with pytest.raises(NoQuorumError, match="this process stops"):
            await process.read()


@async_test
async def test_control_process_knows_an_old_acknowledgement_right_after_a_restart(
    tmp_path,
):
    """Guards against nodes that get an outdated configuration after a loss of power."""
    async with Controls(tmp_path) as controls:
        for version in (1, 2):
            await controls.put(controls.processes[0], change(version, version - 1))
        await asyncio.sleep(1.0)
        await controls.kill()
        alone = ControlProcess(controls.settings[0], Clock())
        task = asyncio.ensure_future(alone.run())
        await wait_until(lambda: alone.member.replica is not None)
        task.cancel()
        alone.close()
        assert alone.member.registry.version == 2

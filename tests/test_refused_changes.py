"""Changes that were refused, of which further copies arrive later."""

import asyncio

import pytest

from bench.schedules import make_document
from figpick.base._errors import ConflictError, NoQuorumError
from figpick.configuration import VersionConflictError

from .control_processes import Controls, change
from .fleet import async_test
from .test_consensus import ResultCollector, put, simulation  # noqa: F401

FIRST, MIDDLE, LAST = change(1, 0), change(5, 1), change(7, 5)


async def refuse_last(controls):
    """Lets a change be refused whose base has not arrived, then accepts its base."""
    await controls.put(controls.processes[0], FIRST)
    with pytest.raises(VersionConflictError, match="builds on 5, but 1 is current"):
        await controls.put(controls.processes[1], LAST)
    await controls.put(controls.processes[2], MIDDLE)


@pytest.mark.parametrize("is_restarted", [False, True])
@async_test
async def test_late_copy_of_a_refused_change_is_refused(tmp_path, is_restarted):
    """Guards against a refused change that comes into force.

    A process that was frozen passes on its copy after the base has been accepted.
    """
    async with Controls(tmp_path) as controls:
        await refuse_last(controls)
        if is_restarted:
            await controls.kill()
            controls.start()
        for process in controls.processes:
            with pytest.raises(VersionConflictError):
                await controls.put(process, LAST)
        async with asyncio.timeout(8.0):
            assert (await controls.processes[0].read()).version == 5


@async_test
async def test_refused_content_is_accepted_under_another_version(tmp_path):
    """Guards against an operator whose configuration stays refused for ever."""
    async with Controls(tmp_path) as controls:
        await refuse_last(controls)
        assert await controls.put(controls.processes[1], change(8, 5)) == 8
        with pytest.raises(VersionConflictError):
            await controls.put(controls.processes[1], LAST)


@async_test
async def test_change_is_not_refused_unless_the_refusal_is_kept(tmp_path):
    """Guards against a refusal that a later leader does not know."""
    async with Controls(tmp_path) as controls:
        await controls.put(controls.processes[0], FIRST)
        leader = next(each for each in controls.processes if each.member.is_leader)

        async def lose_quorum(command):
            raise NoQuorumError("no quorum: this process no longer leads")

        leader.member.propose = lose_quorum
        with pytest.raises(NoQuorumError):
            await leader.put(LAST)


def test_late_copy_of_a_refused_change_of_a_service_is_refused(
    simulation,  # noqa: F811
):
    """Guards against the same fault in changes of service documents."""
    leader = simulation.leader()
    # The version of the next change but one is its index in the log.
    base = leader.replica.applied_index + 2
    assert isinstance(put(simulation, leader, "late", base)[0], ConflictError)
    assert put(simulation, leader, "first", 0)[0]["version"] == base
    assert isinstance(put(simulation, leader, "late", base)[0], ConflictError)
    message = {"document": make_document("parts", 1), "base": base, "change": "late"}
    copy = ResultCollector()
    leader.call(leader.replica.put, message, simulation.now, copy, leader.now())
    simulation.run_until(simulation.now + 1.0)
    assert isinstance(copy.results[0], ConflictError)

"""Control processes that stop, restart, or have a disk error."""

import asyncio
import gc
import os
import subprocess
import sys
from contextlib import suppress

import pytest

from figpick.base._clock import Clock
from figpick.base._errors import NoQuorumError, StorageError
from figpick.consensus._storage import Storage
from figpick.control import ControlProcess
from figpick.control._leader_requests import REPLY_TIMEOUT_S

from .control_processes import Controls, change
from .fleet import async_test, wait_until


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


LOCK_PROGRAM = """
import sys
from figpick.base._errors import StorageError
from figpick.base._files import Files
try:
    Files(sys.argv[1]).lock()
except StorageError as error:
    print(error)
"""


@async_test
async def test_data_folder_stays_locked_after_a_disk_error(tmp_path, monkeypatch):
    """Guards against a second process that writes to the folder of a running one."""
    async with Controls(tmp_path) as controls:
        await controls.put(controls.processes[0], change(1, 0))
        member = controls.processes[0].member
        write = Storage.write

        def fail(storage, output):
            if storage.identity == member.identity:
                raise StorageError("log: cannot be written: Input/output error")
            write(storage, output)

        monkeypatch.setattr(Storage, "write", fail)
        with suppress(NoQuorumError):
            await controls.processes[1].put(change(2, 1))
        await wait_until(lambda: member.replica.failure is not None)
        monkeypatch.undo()
        await wait_until(lambda: member.replica.failure is None)
        gc.collect()
        folder = controls.settings[0].data_folder
        result = await asyncio.to_thread(
            subprocess.run,
            [sys.executable, "-c", LOCK_PROGRAM, folder],
            env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
            capture_output=True,
            text=True,
            timeout=30,
            check=True,
        )
        assert result.stdout.strip() == f"{folder}/lock: locked by another process"

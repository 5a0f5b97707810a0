"""Requests of operators to a control process that stops."""

import asyncio
import json
import signal
import subprocess
import sys
import time
from contextlib import asynccontextmanager, contextmanager

import pytest

from bench.cluster import KEY, free_address, wait_for
from bench.schedules import make_document
from figpick.base._clock import Clock
from figpick.base._errors import PeerError, PeerRefusedError
from figpick.messaging._auth import Authenticator
from figpick.messaging._transport import PeerClient
from figpick.roles._compose import Process

READY_TIMEOUT_S = 10.0
SETTINGS = {
    "name": "control-1",
    "region": "region-1",
    "data_center": "dc-1",
    "roles": ["control"],
    "shared_key": KEY,
}


def make_put(change, base=0):
    return {"document": make_document("parts", 1), "base": base, "change": change}


@asynccontextmanager
async def start_control(folder):
    """Starts a control process and yields it with a client and its address."""
    address = free_address()
    process = Process(
        {
            **SETTINGS,
            "peer_address": address,
            "control": [{"name": "control-1", "address": address}],
            "data_folder": str(folder),
        }
    )
    task = asyncio.ensure_future(process.run())
    client = PeerClient(Authenticator(KEY), Clock())

    async def leads():
        try:
            await client.send(address, "status", {}, 2.0)
        except PeerError:
            return False
        return True

    await wait_for(leads, READY_TIMEOUT_S)

    async def send(kind, message):
        return await client.send(address, kind, message, 5.0)

    yield process, send, task
    process.request_stop()
    async with asyncio.timeout(10.0):
        await task
    client.close()


def delay_changes(process, delay_s):
    """Delays each change before it is added to the log."""
    put = process._control._quorum.put

    async def put_later(message):
        await asyncio.sleep(delay_s)
        return await put(message)

    process._control._quorum.put = put_later


def test_change_in_flight_is_answered_before_a_control_process_stops(tmp_path):
    """Guards against a change whose operator gets no reply because of a stop."""

    async def scenario():
        async with start_control(tmp_path) as (process, send, _):
            delay_changes(process, 0.5)
            change = asyncio.ensure_future(send("put", make_put("a")))
            await asyncio.sleep(0.2)
            process.request_stop()
            assert (await change)["change"] == "a"

    asyncio.run(scenario())


def test_change_that_reaches_a_stopping_control_process_is_refused(tmp_path):
    """Guards against a change that is cut off instead of sent to another process."""

    async def scenario():
        async with start_control(tmp_path) as (process, send, _):
            delay_changes(process, 0.8)
            first = asyncio.ensure_future(send("put", make_put("a")))
            await asyncio.sleep(0.2)
            process.request_stop()
            await asyncio.sleep(0.2)
            with pytest.raises(PeerRefusedError) as refusal:
                await send("put", make_put("b"))
            assert refusal.value.status == 503
            assert "no quorum" in refusal.value.body["error"]
            assert (await first)["change"] == "a"

    asyncio.run(scenario())


@contextmanager
def run_control(folder, preexec=None):
    """Runs a control process as a program and yields it once it has started."""
    address = free_address()
    settings = {
        **SETTINGS,
        "peer_address": address,
        "control": [{"name": "control-1", "address": address}],
        "data_folder": str(folder / "data"),
    }
    path = folder / "settings.json"
    path.write_text(json.dumps(settings))
    log = folder / "log"
    with log.open("wb") as file:
        command = [sys.executable, "-m", "figpick", "run", str(path)]
        process = subprocess.Popen(
            command, stdout=file, stderr=file, preexec_fn=preexec
        )
    try:
        deadline = time.monotonic() + READY_TIMEOUT_S
        while b"has started" not in log.read_bytes():
            assert time.monotonic() < deadline
            time.sleep(0.05)
        yield process
    finally:
        process.kill()
        process.wait()


@pytest.mark.processes
def test_repeated_signals_do_not_change_the_end_of_a_stop(tmp_path):
    """Guards against a stop that is reported as killed after its work was done."""
    deadline = time.monotonic() + READY_TIMEOUT_S
    with run_control(tmp_path) as process:
        while process.poll() is None:
            assert time.monotonic() < deadline
            process.terminate()
            time.sleep(0.002)
        assert process.returncode == 0


@pytest.mark.processes
def test_hangup_stops_a_process_gracefully(tmp_path):
    """Guards against a signal whose default action cuts calls in flight."""
    with run_control(tmp_path) as process:
        process.send_signal(signal.SIGHUP)
        assert process.wait(READY_TIMEOUT_S) == 0


@pytest.mark.processes
def test_process_whose_parent_ignores_hangups_keeps_running(tmp_path):
    """Guards against an end of programs that were started by nohup."""

    def ignore_hangups():
        signal.signal(signal.SIGHUP, signal.SIG_IGN)

    with run_control(tmp_path, ignore_hangups) as process:
        process.send_signal(signal.SIGHUP)
        with pytest.raises(subprocess.TimeoutExpired):
            process.wait(1.0)

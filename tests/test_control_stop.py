"""Requests of operators to a control process that stops."""

import asyncio
from contextlib import asynccontextmanager

import pytest

from bench.cluster import KEY, free_address, wait_for
from bench.schedules import make_document
from figpick.base._clock import Clock
from figpick.base._errors import PeerError, PeerRefusedError
from figpick.messaging._auth import Authenticator
from figpick.messaging._transport import PeerClient
from figpick.roles._compose import Process

READY_TIMEOUT_S = 10.0


def make_put(change, base=0):
    return {"document": make_document("parts", 1), "base": base, "change": change}


@asynccontextmanager
async def start_control(folder):
    """Starts a control process and yields it with a client and its address."""
    address = free_address()
    process = Process(
        {
            "name": "control-1",
            "region": "region-1",
            "data_center": "dc-1",
            "roles": ["control"],
            "peer_address": address,
            "control": [{"name": "control-1", "address": address}],
            "data_folder": str(folder),
            "shared_key": KEY,
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

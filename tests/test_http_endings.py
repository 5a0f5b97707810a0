"""Responses to operators that are not complete when a process stops."""

import asyncio
import sys
from pathlib import Path

import pytest

sys.path.append(str(Path(__file__).parents[1] / "platform"))

from adapter import handlers  # noqa: E402
from adapter.names import CONFIG_PATH  # noqa: E402

from .fleet import async_test, free_address  # noqa: E402

DOCUMENT = b"x" * 8_000_000


class SlowConfigHandler(handlers.Handler):
    """Responds with a large document after a while."""

    async def get(self):
        await asyncio.sleep(0.2)
        self.finish(DOCUMENT)


@pytest.fixture
def address(monkeypatch):
    monkeypatch.setattr(handlers, "METRICS_PORT", free_address()[1])
    return free_address()


async def read_slowly(reader):
    data = b""
    while part := await reader.read(500_000):
        data += part
        await asyncio.sleep(0.01)
    return data


def test_responses_are_complete_before_a_process_exits(address):
    """Guards against an exit that cuts a response which an operator is reading."""

    @async_test
    async def scenario():
        routes = [(CONFIG_PATH, SlowConfigHandler)]
        endpoints = handlers.serve(None, address[0], {address: routes})
        reader, writer = await asyncio.open_connection(*address)
        writer.write(b"GET /config HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
        await asyncio.sleep(0.1)
        reading = asyncio.ensure_future(read_slowly(reader))
        await endpoints.finish(3.0)
        await asyncio.sleep(0.1)
        assert (await reading).endswith(DOCUMENT)
        writer.close()
        with pytest.raises(OSError):
            await asyncio.open_connection(*address)

    scenario()


def test_operator_that_does_not_read_delays_an_exit_for_a_bounded_time(address):
    """Guards against a process that is killed because of one operator."""

    @async_test
    async def scenario():
        routes = [(CONFIG_PATH, SlowConfigHandler)]
        endpoints = handlers.serve(None, address[0], {address: routes})
        _, writer = await asyncio.open_connection(*address)
        writer.write(b"GET /config HTTP/1.1\r\nHost: h\r\n\r\n")
        await asyncio.sleep(0.1)
        async with asyncio.timeout(0.8):
            await endpoints.finish(0.5)
        writer.close()

    scenario()

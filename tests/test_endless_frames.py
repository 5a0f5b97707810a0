"""Peers that send frames without end on a link between processes."""

import asyncio
import tracemalloc
from contextlib import asynccontextmanager
from unittest.mock import patch

import pytest

from figpick.base._clock import Clock
from figpick.links import Link, _link, encode_frame, listen
from figpick.links._frames import LENGTH_BYTES, MAX_FRAME_BYTES

from .fleet import Client, Fleet, async_test, free_address, wait_until

PIECE_BYTES = 64 * 1024
# The buffers of a loopback connection hold up to this much.
SOCKET_BUFFER_BYTES = 12 * 1024 * 1024
# The message of a frame is decoded from the buffer that holds it.
MAX_TRACED_BYTES = 3 * MAX_FRAME_BYTES


@asynccontextmanager
async def serve_link():
    """Yields the received messages, the closed links, and a connection to a link."""
    messages, closed = [], []
    address = free_address()
    server = await listen(
        address,
        lambda: Link(lambda _, each: messages.append(each), closed.append, Clock()),
    )
    _, writer = await asyncio.open_connection(*address)
    try:
        yield messages, closed, writer
    finally:
        writer.close()
        server.close()


async def send_without_end(writer, piece):
    """Sends until the connection closes, and returns the number of bytes sent."""
    sent_bytes = 0
    while not writer.transport.is_closing():
        writer.write(piece)
        sent_bytes += len(piece)
        try:
            await writer.drain()
        except ConnectionError:
            break
        await asyncio.sleep(0)
    return sent_bytes


@pytest.mark.parametrize("announced_bytes", [MAX_FRAME_BYTES, MAX_FRAME_BYTES + 1])
@async_test
async def test_bytes_without_end_on_a_link_close_it(announced_bytes):
    """Guards against a link that buffers whatever its peer sends."""
    tracemalloc.start()
    try:
        async with serve_link() as (messages, closed, writer):
            writer.write(announced_bytes.to_bytes(LENGTH_BYTES, "big"))
            async with asyncio.timeout(4.0):
                sent_bytes = await send_without_end(writer, b"x" * PIECE_BYTES)
                await wait_until(lambda: closed)
            assert sent_bytes < MAX_FRAME_BYTES + SOCKET_BUFFER_BYTES
            assert tracemalloc.get_traced_memory()[1] < MAX_TRACED_BYTES
            assert not messages
    finally:
        tracemalloc.stop()


@async_test
async def test_frame_that_is_never_complete_closes_its_link():
    """Guards against a link that counts as alive although no message arrives."""
    with patch.object(_link, "MAX_FRAME_S", 0.2):
        async with serve_link() as (messages, closed, writer):
            writer.write(encode_frame(("ping",)) + b"\0\0\xff\xff")
            async with asyncio.timeout(2.0):
                while not closed:
                    writer.write(b"x")
                    await asyncio.sleep(0.02)
            assert not messages


@async_test
async def test_slow_frames_are_received():
    """Guards against a limit that closes the link of a slow but sound peer."""
    with patch.object(_link, "MAX_FRAME_S", 0.3):
        async with serve_link() as (messages, closed, writer):
            data = b"".join(encode_frame(["m", number]) for number in range(40))
            for at in range(0, len(data), 3):
                writer.write(data[at : at + 3])
                await asyncio.sleep(0.01)
            await wait_until(lambda: len(messages) == 40)
            assert not closed


@async_test
async def test_calls_go_on_while_a_foreign_peer_sends_without_end(tmp_path):
    """Guards against calls that are lost because of another connection to the link."""
    async with Fleet(tmp_path, services=("entries", "parts")) as fleet:
        entry, host = fleet.hosts
        _, writer = await asyncio.open_connection(*host.settings.link_address)
        writer.write(MAX_FRAME_BYTES.to_bytes(LENGTH_BYTES, "big"))
        sending = asyncio.ensure_future(send_without_end(writer, b"x" * PIECE_BYTES))
        async with Client(entry.settings.call_address) as client:
            for number in range(20):
                assert (await client.call(b"/parts/1", b"a%d" % number))[0] == 200
        async with asyncio.timeout(4.0):
            assert await sending < MAX_FRAME_BYTES + SOCKET_BUFFER_BYTES
        writer.close()

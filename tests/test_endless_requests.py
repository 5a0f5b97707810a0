"""Clients that send bytes without end."""

import asyncio
import tracemalloc
from unittest.mock import patch

import pytest

from figpick.nodes import _entry
from figpick.nodes._client_connections import MAX_DISCARDED_BYTES
from figpick.wire import DEFAULT_HEADERS

from .entry_clients import request, respond, send, serve
from .fleet import HOST, Client, Fleet, async_test

PIECE_BYTES = 64 * 1024
# The buffers of a loopback connection hold up to this much.
SOCKET_BUFFER_BYTES = 12 * 1024 * 1024
MAX_TRACED_BYTES = 8 * 1024 * 1024

HEAD = b"POST /parts/once/1 HTTP/1.1\r\nHost: %b\r\n%b: a1\r\n%b: 5000\r\n" % (
    HOST,
    DEFAULT_HEADERS.request_id,
    DEFAULT_HEADERS.deadline_ms,
)
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
# Bytes of a request that never gets further: the beginning, what is repeated after it,
# and the status of the response.
STALLS = {
    "method": (b"", b"X", 400),
    "target": (b"GET /", b"x", 431),
    "header-name": (HEAD, b"x", 431),
    "header-value": (HEAD + b"X: ", b"x", 431),
    "blanks-of-a-header": (HEAD + b"X:", b" ", 431),
    "header-lines": (HEAD, b"X: y\r\n", 431),
    "empty-lines": (b"", b"\r\n", 400),
    "chunk-extension": (CHUNKED + b"1;", b"x", 400),
    "chunk-size": (CHUNKED, b"0", 400),
    "trailer-name": (CHUNKED + b"0\r\n", b"x", 400),
    "trailer-value": (CHUNKED + b"0\r\nX: ", b"x", 400),
    "trailer-lines": (CHUNKED + b"0\r\n", b"X: y\r\n", 431),
    "body": (CHUNKED, b"8\r\nxxxxxxxx\r\n", 413),
}


@pytest.fixture
def traced():
    """Returns the peak of the memory that was allocated in a test, as a function."""
    tracemalloc.start()
    yield lambda: tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()


async def send_without_end(client, unit, max_bytes=1 << 62):
    """Sends until the connection closes, and returns the number of bytes sent."""
    piece = unit * (PIECE_BYTES // len(unit) + 1)
    sent_bytes = 0
    while sent_bytes < max_bytes:
        try:
            await send(client, piece)
        except ConnectionError:
            break
        sent_bytes += len(piece)
        # A send that does not block does not let other tasks run.
        await asyncio.sleep(0)
    return sent_bytes


async def receive_until_close(client, unit, timeout_s=1.0):
    """Sends a unit repeatedly and slowly until the connection closes.

    A close is a reset when bytes cross it.
    """
    loop = asyncio.get_running_loop()
    received = b""
    async with asyncio.timeout(timeout_s):
        while True:
            try:
                await send(client, unit)
                async with asyncio.timeout(0.02):
                    data = await loop.sock_recv(client, 1000)
            except TimeoutError:
                continue
            except ConnectionError:
                return received
            if not data:
                return received
            received += data


@pytest.mark.parametrize("shape", STALLS)
@async_test
async def test_request_without_end_is_rejected_once(tmp_path, traced, shape):
    """Guards against memory that grows until the timeout of a request."""
    start, unit, status = STALLS[shape]
    async with Fleet(tmp_path, services=("entries", "parts")) as fleet:
        entry, host = fleet.hosts
        with patch.object(entry.node._entry, "max_body_bytes", lambda: 10**6):
            async with Client(entry.settings.call_address) as client:
                assert (await client.call(b"/parts/1", b"w"))[0] == 200
                client.send(b"/parts/1", b"a0")
                client.writer.write(start)
                piece = unit * (PIECE_BYTES // len(unit) + 1)
                sending = asyncio.ensure_future(write_without_end(client, piece))
                async with asyncio.timeout(2.0):
                    assert (await client.receive())[0] == 200
                    received, headers, _ = await client.receive()
                    assert received == status
                    assert headers["connection"] == "close"
                    sending.cancel()
                    assert await client.reader.read() == b""
        assert traced() < MAX_TRACED_BYTES
        assert "a1" not in host.upstream.runs
        async with Client(entry.settings.call_address) as client:
            assert (await client.call(b"/parts/1", b"a2"))[0] == 200


async def write_without_end(client, piece):
    while True:
        client.writer.write(piece)
        await client.writer.drain()
        await asyncio.sleep(0)


@async_test
async def test_client_that_sends_without_end_is_disconnected(traced):
    """Guards against a connection that stays open while its client sends on."""
    with patch.object(_entry, "TIMEOUT_CHECK_PERIOD_S", 0.05):
        async with serve() as (entry, connect):
            client = await connect()
            await send(client, b"GET / HTTP/1.1\r\nX: ")
            async with asyncio.timeout(6.0):
                sent_bytes = await send_without_end(client, b"x")
            assert sent_bytes < MAX_DISCARDED_BYTES + SOCKET_BUFFER_BYTES
            assert traced() < MAX_TRACED_BYTES
            assert not entry.connections


@async_test
async def test_empty_lines_do_not_prolong_an_idle_connection():
    """Guards against a connection without requests that is kept open without end."""
    with patch.object(_entry, "TIMEOUT_CHECK_PERIOD_S", 0.05):
        async with serve(idle_timeout_s=0.3) as (entry, connect):
            client = await connect()
            await send(client, request(b"a1"))
            (call,) = await entry.forwarder.receive(1)
            respond(call, b"x")

            received = await receive_until_close(client, b"\r\n")
            assert received.count(b"HTTP/1.1 ") == 1
            assert not entry.connections


@async_test
async def test_slow_request_without_end_is_rejected_at_its_timeout():
    """Guards against slow bytes that reset the timeout of a request."""
    with patch.object(_entry, "TIMEOUT_CHECK_PERIOD_S", 0.05):
        async with serve(header_timeout_s=0.3) as (entry, connect):
            client = await connect()
            await send(client, b"\r\n\r\n" + HEAD + b"X: ")

            async def send_slowly():
                while True:
                    await send(client, b"x")
                    await asyncio.sleep(0.02)

            sending = asyncio.ensure_future(send_slowly())
            async with asyncio.timeout(1.5):
                received = await asyncio.get_running_loop().sock_recv(client, 1000)
            sending.cancel()
            assert received.startswith(b"HTTP/1.1 408 ")
            assert not entry.forwarder.calls


@pytest.mark.parametrize("piece_bytes", [1, 1000, 16 * 1024])
@async_test
async def test_request_up_to_the_limits_is_read(piece_bytes):
    """Guards against a limit on stalled requests that a sound request exceeds."""
    async with serve() as (entry, connect):
        client = await connect()
        body = b"0123456789" * 2000
        chunks = b"".join(
            b"%x;%b\r\n%b\r\n" % (len(part), b"x" * 50, part)
            for part in (body[at : at + 10] for at in range(0, len(body), 10))
        )
        extra = b"X: " + b"x" * 16_000 + b"\r\nTransfer-Encoding: chunked\r\n"
        data = request(b"a1", extra).replace(b"Content-Length: 0\r\n", b"")
        data += chunks + b"0\r\n\r\n"
        for at in range(0, len(data), piece_bytes):
            await send(client, data[at : at + piece_bytes])
        (call,) = await entry.forwarder.receive(1)
        assert call.request.error_status is None
        assert b"".join(call.request.body) == body


@async_test
async def test_body_in_small_chunks_takes_little_more_than_its_size(traced):
    """Guards against a body that takes many times its limit in memory."""
    chunks = 100_000
    async with serve(header_timeout_s=8.0) as (entry, connect):
        client = await connect()
        data = b"2\r\nxy\r\n" * chunks + b"0\r\n\r\n"
        before = traced()
        await send(client, CHUNKED + data)
        (call,) = await entry.forwarder.receive(1)
        assert traced() - before < len(data) + 3 * 2 * chunks
        assert b"".join(call.request.body) == b"xy" * chunks

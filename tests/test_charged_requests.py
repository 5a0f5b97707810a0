"""What connections of clients charge to the account, and how they share the loop."""

import asyncio
from unittest.mock import patch

import pytest

from figpick.base._memory import MIB, MemoryAccount
from figpick.nodes import _entry
from figpick.nodes._client_connections import CONNECTION_BYTES

from .entry_clients import receive_all, receive_until, request, respond, send, serve
from .fleet import async_test, wait_until
from .test_wire import read_requests

ODD_HEAD = b"GET /a/ HTTP/1.1\r\nHost: h\r\n"


def test_head_of_short_lines_inside_the_limit_is_taken():
    """Guards against 431 for a head that is no longer than the limit on the wire."""
    lines = b"a:\r\n" * 4000
    head = ODD_HEAD + lines + b"\r\n"
    [found] = read_requests(head, header_bytes=16 * 1024)
    assert len(head) < 16 * 1024
    assert found.error_status is None
    assert sum(name == b"a" for name, _ in found.headers) == 4000
    [found] = read_requests(ODD_HEAD + lines * 2 + b"\r\n", header_bytes=16 * 1024)
    assert found.error_status == 431


def test_long_target_inside_the_limit_is_taken():
    """Guards against 431 for a target that is within the limit of the head."""
    head = b"GET /%b HTTP/1.1\r\nHost: h\r\n\r\n" % (b"x" * 10_000)
    [found] = read_requests(head, header_bytes=16 * 1024)
    assert found.error_status is None


def test_headers_behind_the_listed_ones_keep_order_and_values():
    """Guards against headers that are lost or changed in long heads."""
    lines = b"".join(b"X-%d: v: %d\r\n" % (number, number) for number in range(200))
    [found] = read_requests(ODD_HEAD + lines + b"Last:\r\n\r\n", header_bytes=16 * 1024)
    expected = [(b"X-%d" % number, b"v: %d" % number) for number in range(200)]
    assert list(found.headers) == [(b"Host", b"h"), *expected, (b"Last", b"")]
    assert found.header(b"x-150") == b"v: 150"
    assert found.held_bytes < 64 * 1024


def test_body_above_the_limit_is_rejected_at_its_head():
    """Guards against a body that is read although its head says that it is too long."""
    head = b"POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n"
    [found] = read_requests(head)
    assert found.error_status == 413


@async_test
async def test_account_is_empty_after_requests_of_all_kinds():
    """Guards against charges that are never freed, after which all are refused."""
    async with serve() as (entry, connect):
        forwarder, account = entry.forwarder, entry.account
        clients = [await connect() for _ in range(5)]
        await send(clients[0], request(b"r1", method=b"POST", body=bytes(300_000)))
        await send(clients[1], request(b"r2") * 20)
        await send(clients[2], request(b"r3", method=b"POST", body=bytes(9))[:-4])
        await send(clients[3], b"\0\r\n\r\n")
        await send(clients[4], ODD_HEAD + b"a:\r\n" * 90)
        await forwarder.receive(21)
        await wait_until(lambda: account.held_bytes > 300_000 + 5 * CONNECTION_BYTES)
        for call in forwarder.calls:
            respond(call, bytes(1000))
        for client in clients:
            client.close()
        await wait_until(lambda: not entry.connections)
        assert account.held_bytes == 0


@async_test
async def test_body_without_room_is_refused_as_not_run():
    """Guards against a body that is taken although the account is full."""
    async with serve() as (entry, connect):
        entry.account = MemoryAccount(2 * MIB)
        client = await connect()
        body = b"POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
        await send(client, body % (3 * MIB))
        assert (await receive_all(client)).startswith(b"HTTP/1.1 413 ")
        entry.account.add(MIB, MIB)
        client = await connect()
        await send(client, body % MIB)
        assert (await receive_all(client)).startswith(b"HTTP/1.1 503 ")
        assert not entry.forwarder.calls
        entry.account.add(-MIB, -MIB)
        client = await connect()
        await send(client, request(b"r1", method=b"POST", body=bytes(MIB)))
        [call] = await entry.forwarder.receive(1)
        assert call.request.body_bytes == MIB
        respond(call, b"ok")


@async_test
async def test_requests_behind_a_slow_one_are_bounded_in_size():
    """Guards against pipelined requests that are bounded only in number."""
    async with serve() as (entry, connect):
        client = await connect()
        sending = asyncio.ensure_future(
            send(client, request(b"r", b"X: %b\r\n" % (b"x" * 15_000)) * 60)
        )
        await asyncio.sleep(0.3)
        taken = len(entry.forwarder.calls)
        assert taken < 40
        assert entry.account.held_bytes < MIB
        while len(entry.forwarder.calls) < 60 or not sending.done():
            for call in entry.forwarder.calls:
                if not call.is_done:
                    respond(call, b"")
            await asyncio.sleep(0.01)
        assert len(entry.forwarder.calls) == 60


@async_test
async def test_costly_bytes_do_not_take_the_turns_of_others():
    """Guards against a read full of chunks that is parsed in one go."""
    chunks = b"1\r\nx\r\n" * 40_000
    async with serve() as (entry, connect):
        loud = [await connect() for _ in range(4)]
        head = b"POST /a/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        feeds = []
        feed = _entry.ClientConnection.data_received

        def count(connection, data):
            feed(connection, data)
            feeds.append(len(connection._intake._unparsed))

        with patch.object(_entry.ClientConnection, "data_received", count):
            sending = [
                asyncio.ensure_future(send(client, head + chunks)) for client in loud
            ]
            await wait_until(lambda: entry.turns.is_contended)
            quiet = await connect()
            await send(quiet, request(b"r1"))
            await wait_until(lambda: entry.forwarder.calls, 4.0)
            for task in sending:
                task.cancel()
        # What is left of a read waits while others have their turn.
        assert max(feeds) > 0


@pytest.mark.parametrize("is_stopping", [False, True])
@async_test
async def test_bytes_that_wait_for_their_turn_are_read_in_a_stop(is_stopping):
    """Guards against whole requests that a stop leaves without an answer."""
    async with serve() as (entry, connect):
        client = await connect()
        await send(
            client, request(b"r1") + request(b"r2", b"X: %b\r\n" % (b"x" * 9000))
        )
        await entry.forwarder.receive(1)
        if is_stopping:
            entry.stop_reading()
        await wait_until(lambda: len(entry.forwarder.calls) == 2 or is_stopping)
        for call in entry.forwarder.calls:
            respond(call, b"ok")
        await receive_until(client, b"ok")


@async_test
async def test_newest_connection_displaces_unused_ones():
    """Guards against clients that are kept out by connections that send nothing."""
    with patch.object(_entry, "CLIENT_DESCRIPTOR_SHARE", 0.1):
        async with serve() as (entry, connect):
            entry._max_connections = 20
            used = await connect()
            await send(used, request(b"r1"))
            [call] = await entry.forwarder.receive(1)
            silent = [await connect() for _ in range(40)]
            await wait_until(lambda: len(entry.connections) <= 21)
            client = await connect()
            await send(client, request(b"r2"))
            await entry.forwarder.receive(2)
            respond(call, b"ok")
            assert (await receive_until(used, b"ok")).startswith(b"HTTP/1.1 200")
            assert len(silent) == 40
            assert entry.forwarder.count("evicted") >= 20


@async_test
async def test_bytes_that_are_read_and_not_parsed_are_charged():
    """Guards against a read that is held while its connection waits."""
    async with serve() as (entry, connect):
        entry.account = MemoryAccount(2 * MIB)
        clients = [await connect() for _ in range(20)]
        for client in clients:
            await send(client, request(b"r") * 4000)
        await wait_until(lambda: len(entry.forwarder.calls) >= 20)
        await asyncio.sleep(0.2)
        held = [connection._intake for connection in entry.connections]
        held_bytes = sum(intake._unparsed_bytes for intake in held)
        assert held_bytes < 2 * MIB
        assert entry.account.held_bytes >= held_bytes


@async_test
async def test_connection_beyond_used_ones_is_closed():
    """Guards against requests that are cut off for new connections."""
    async with serve() as (entry, connect):
        entry._max_connections = 5
        used = [await connect() for _ in range(5)]
        for client in used:
            await send(client, request(b"r1"))
        await entry.forwarder.receive(5)
        for _ in range(10):
            assert await receive_all(await connect()) == b""
        for call in entry.forwarder.calls:
            respond(call, b"ok")
        for client in used:
            assert (await receive_until(client, b"ok")).startswith(b"HTTP/1.1 200")

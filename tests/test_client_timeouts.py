"""Connections of clients: timeouts, and requests or responses that fail."""

import asyncio
import socket
import struct
from unittest.mock import patch

import logbook

from figpick.nodes import _client_connections, _entry

from .entry_clients import (
    LATE_READ_BYTES,
    OK_HEAD,
    SMALL_RECEIVE_BUFFER_BYTES,
    on_each_loop,
    receive_all,
    receive_until,
    request,
    respond,
    send,
    serve,
)
from .fleet import Client, Fleet, async_test, wait_until


@on_each_loop
async def test_incomplete_request_does_not_cost_the_responses_before_it():
    """Guards against a timeout of one request that drops others of its connection."""
    with patch.object(_entry, "TIMEOUT_CHECK_PERIOD_S", 0.05):
        async with serve(header_timeout_s=0.1) as (entry, connect):
            client = await connect()
            await send(client, request(b"a1") + b"GET /a/ HTTP/1.1\r\n")
            (call,) = await entry.forwarder.receive(1)
            await asyncio.sleep(0.3)
            respond(call, b"first")
            received = await receive_all(client)
            first, _, second = received.partition(b"first")
            assert first.startswith(b"HTTP/1.1 200 ")
            assert second.startswith(b"HTTP/1.1 408 ")
            assert b"Connection: close\r\n" in second


@on_each_loop
async def test_request_is_not_incomplete_while_the_node_does_not_read():
    """Guards against a timeout for the rest of a request that the node left unread."""
    with (
        patch.object(_entry, "TIMEOUT_CHECK_PERIOD_S", 0.05),
        patch.object(_client_connections, "MAX_PIPELINED_REQUESTS", 4),
    ):
        async with serve(header_timeout_s=0.2) as (entry, connect):
            client = await connect()
            await send(client, request(b"a1") * 6 + request(b"a7")[:-2])
            calls = await entry.forwarder.receive(6)
            await send(client, b"\r\n")
            await asyncio.sleep(0.5)
            for call in list(calls):
                respond(call, b"x")
            calls = await entry.forwarder.receive(7)
            respond(calls[6], b"seventh")
            assert (await receive_until(client, b"seventh")).count(b" 200 OK") == 7


@on_each_loop
async def test_idle_timeout_starts_when_the_response_has_been_received():
    """Guards against closing a connection whose client still receives a response."""
    with patch.object(_entry, "TIMEOUT_CHECK_PERIOD_S", 0.05):
        async with serve(idle_timeout_s=0.3) as (entry, connect):
            client = await connect(SMALL_RECEIVE_BUFFER_BYTES)
            await send(client, request(b"a1"))
            (call,) = await entry.forwarder.receive(1)
            respond(call, b"x" * LATE_READ_BYTES)
            await asyncio.sleep(0.5)
            await receive_until(client, b"x" * LATE_READ_BYTES, piece_bytes=65536)
            await send(client, request(b"a2"))
            calls = await entry.forwarder.receive(2)
            respond(calls[1], b"second")
            await receive_until(client, b"second")
            assert await receive_all(client) == b""


@on_each_loop
async def test_slow_reader_that_makes_progress_receives_its_response():
    """Guards against a read timeout that ends a response while its client reads."""
    with (
        patch.object(_client_connections, "CLIENT_READ_TIMEOUT_S", 0.4),
        patch.object(_entry, "TIMEOUT_CHECK_PERIOD_S", 0.05),
    ):
        async with serve() as (entry, connect):
            client = await connect(SMALL_RECEIVE_BUFFER_BYTES)
            await send(client, request(b"a1"))
            (call,) = await entry.forwarder.receive(1)
            respond(call, b"x" * 12_000_000)
            loop = asyncio.get_running_loop()
            for _ in range(10):
                assert await loop.sock_recv(client, 20_000)
                await asyncio.sleep(0.1)
            received = 0
            async with asyncio.timeout(8.0):
                while received < 11_000_000:
                    data = await loop.sock_recv(client, 65536)
                    assert data, "the response was cut"
                    received += len(data)


@on_each_loop
async def test_broken_response_does_not_cost_the_responses_before_it():
    """Guards against a failure of one upstream that drops responses of others."""
    async with serve() as (entry, connect):
        client = await connect(SMALL_RECEIVE_BUFFER_BYTES)
        last = request(b"a2", extra=b"Connection: close\r\n")
        await send(client, request(b"a1") + last)
        calls = await entry.forwarder.receive(2)
        calls[1].response.start(200, OK_HEAD, 100, b"y" * 50, False)
        calls[1].response.abort()
        await asyncio.sleep(0.1)
        respond(calls[0], b"x" * 8_000_000)
        received = await receive_all(client)
        first, _, second = received.partition(b"x" * 8_000_000)
        assert first.startswith(b"HTTP/1.1 200 ")
        assert second.startswith(b"HTTP/1.1 502 ")


@on_each_loop
async def test_response_that_breaks_off_does_not_look_complete():
    """Guards against a truncated body that its client takes for the whole one."""
    for length in (100, -1):
        async with serve() as (entry, connect):
            client = await connect()
            await send(client, request(b"a1") + request(b"a2"))
            calls = await entry.forwarder.receive(2)
            calls[0].response.start(200, OK_HEAD, length, b"x" * 50, False)
            calls[0].response.abort()
            received = await receive_all(client)
            assert received.count(b"HTTP/1.1 ") == 1
            assert received.endswith((b"x" * 50, b"x" * 50 + b"\r\n"))
            assert calls[1] in entry.forwarder.abandoned


@on_each_loop
async def test_response_to_a_client_that_has_reset_its_connection_is_dropped():
    """Guards against an error in the call whose response cannot be written."""
    async with serve() as (entry, connect):
        for size in (10, 1_000_000):
            client = await connect()
            await send(client, request(b"a1", extra=b"Connection: close\r\n"))
            await wait_until(lambda: entry.forwarder.calls)
            call = entry.forwarder.calls.pop()
            reset = struct.pack("ii", 1, 0)
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, reset)
            client.close()
            respond(call, b"x" * size)
            await wait_until(lambda: not entry.connections)


@async_test
async def test_deadline_of_many_digits_does_not_end_the_connection(tmp_path):
    """Guards against a header that ends its connection without a response."""
    async with (
        Fleet(tmp_path) as fleet,
        Client(fleet.hosts[0].settings.call_address) as client,
    ):
        for digits in (20, 400, 4000):
            status, _, _ = await client.call(
                b"/parts/1", b"a%d" % digits, deadline_ms=10**digits
            )
            assert status == 200


@on_each_loop
async def test_request_whose_handling_fails_gets_a_response():
    """Guards against a request that waits for ever after an error of the node."""
    with logbook.TestHandler() as logs:
        async with serve() as (entry, connect):
            client = await connect()
            await send(client, request(b"a1"))
            calls = await entry.forwarder.receive(1)
            with patch.object(entry.forwarder, "handle_request", side_effect=KeyError):
                await send(client, request(b"a2"))
                await wait_until(lambda: logs.has_errors)
            await send(client, request(b"a3", extra=b"Connection: close\r\n"))
            await entry.forwarder.receive(2)
            respond(calls[0], b"first")
            respond(calls[1], b"third")
            received = await receive_all(client)
            first, _, others = received.partition(b"first")
            assert others.startswith(b"HTTP/1.1 502 ")
            assert others.endswith(b"third")

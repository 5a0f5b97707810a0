"""Connections of clients: how they close, and how they end with the node."""

import asyncio
from contextlib import suppress
from unittest.mock import patch

import logbook
import pytest

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
from .fleet import wait_until


@on_each_loop
async def test_requests_cut_by_a_stop_are_logged():
    """Guards against a stop that drops requests without a trace."""
    with logbook.TestHandler() as logs:
        async with serve() as (entry, connect):
            client = await connect()
            await send(client, request(b"a1") + request(b"a2"))
            calls = await entry.forwarder.receive(2)
            calls[0].response.start(200, OK_HEAD, 100, b"x" * 60, False)
            entry.close()
            lines = [
                each.extra for each in logs.records if each.message == "Request cut."
            ]
            assert [line["id"] for line in lines] == ["a1", "a2"]
            assert [line["state"] for line in lines] == ["waiting", "waiting"]
            assert all(line["age_s"] >= 0.0 for line in lines)
            assert entry.forwarder.count("cut-at-stop") == 2


@on_each_loop
async def test_response_cut_by_a_timeout_is_logged():
    """Guards against a timeout that drops a response without a trace."""
    with (
        logbook.TestHandler() as logs,
        patch.object(_client_connections, "CLIENT_READ_TIMEOUT_S", 0.1),
    ):
        async with serve() as (entry, connect):
            client = await connect(SMALL_RECEIVE_BUFFER_BYTES)
            await send(client, request(b"a1"))
            (call,) = await entry.forwarder.receive(1)
            respond(call, b"x" * 8_000_000)
            await wait_until(lambda: entry.forwarder.count("cut") == 1)
            cut = next(each for each in logs.records if "cut" in each.message)
            assert (cut.extra["id"], cut.extra["state"]) == ("a1", "answered")
            assert cut.extra["unsent_bytes"] > 0


@on_each_loop
async def test_slow_reader_of_a_last_response_is_not_drained():
    """Guards against a process that exits with a response in its write buffer."""
    async with serve() as (entry, connect):
        client = await connect(SMALL_RECEIVE_BUFFER_BYTES)
        await send(client, request(b"a1"))
        (call,) = await entry.forwarder.receive(1)
        entry.stop_keep_alive()
        respond(call, b"x" * 8_000_000)
        await asyncio.sleep(0.2)
        assert not entry.is_drained
        received = await receive_all(client)
        assert received.endswith(b"\r\n\r\n" + b"x" * 8_000_000)
        await wait_until(lambda: entry.is_drained)


@on_each_loop
async def test_requests_after_the_end_of_reading_are_refused():
    """Guards against requests that a stopping node passes on or leaves unanswered."""
    async with serve() as (entry, connect):
        client = await connect()
        await send(client, request(b"a1"))
        (call,) = await entry.forwarder.receive(1)
        entry.stop_reading()
        assert not entry.is_drained
        await send(client, request(b"a2"))
        await wait_until(lambda: entry.forwarder.refused)
        respond(call, b"first")
        received = await receive_all(client)
        first, _, second = received.partition(b"first")
        assert b"200 OK" in first and b"Connection: close" not in first
        assert second.startswith(b"HTTP/1.1 503 ")
        assert b"Connection: close\r\n" in second
        assert len(entry.forwarder.calls) == 1
        await wait_until(lambda: entry.is_drained)


@on_each_loop
async def test_idle_connections_end_with_reading():
    """Guards against a client that keeps using a connection of a stopping node."""
    async with serve() as (entry, connect):
        client = await connect()
        await wait_until(lambda: entry.connections)
        entry.stop_reading()
        assert entry.is_drained
        assert await receive_all(client) == b""
        with pytest.raises(OSError):
            await connect()


@on_each_loop
async def test_connection_accepted_during_the_close_does_not_stay_open():
    """Guards against a client that waits at a node that no longer reads."""
    async with serve() as (entry, connect):
        client = await connect()
        entry.close()
        with suppress(ConnectionError):
            assert await receive_all(client) == b""
        assert not entry.connections


@on_each_loop
async def test_request_behind_a_closing_response_is_not_passed_on():
    """Guards against running a request that its client counts as not read."""
    async with serve() as (entry, connect):
        client = await connect()
        await send(client, request(b"a1"))
        (call,) = await entry.forwarder.receive(1)
        entry.stop_keep_alive()
        call.response.start(200, OK_HEAD, 100, b"x" * 50, False)
        await receive_until(client, b"Connection: close\r\n")
        await send(client, request(b"a2"))
        await asyncio.sleep(0.1)
        call.response.write(b"y" * 50, True)
        received = await receive_all(client)
        assert received == b"\r\n" + b"x" * 50 + b"y" * 50
        assert len(entry.forwarder.calls) == 1


@on_each_loop
async def test_requests_passed_on_before_a_closing_response_get_theirs():
    """Guards against closing a connection ahead of a request that was passed on."""
    async with serve() as (entry, connect):
        client = await connect()
        await send(client, request(b"a1") + request(b"a2"))
        calls = await entry.forwarder.receive(2)
        entry.stop_keep_alive()
        calls[0].response.start(200, OK_HEAD, 10, b"x" * 5, False)
        respond(calls[1], b"second")
        calls[0].response.write(b"y" * 5, True)
        received = await receive_all(client)
        first, _, second = received.partition(b"xxxxxyyyyy")
        assert b"Connection: close" not in first
        assert b"Connection: close\r\n" in second and second.endswith(b"second")


@on_each_loop
async def test_late_reader_receives_a_closing_response_despite_further_requests():
    """Guards against a reset that discards a response which was sent but not read."""
    async with serve() as (entry, connect):
        client = await connect(SMALL_RECEIVE_BUFFER_BYTES)
        await send(client, request(b"a1", extra=b"Connection: close\r\n"))
        (call,) = await entry.forwarder.receive(1)
        respond(call, b"x" * LATE_READ_BYTES)
        await asyncio.sleep(0.2)
        await send(client, request(b"a2"))
        await asyncio.sleep(0.1)
        received = await receive_all(client)
        assert received.endswith(b"\r\n\r\n" + b"x" * LATE_READ_BYTES)
        assert len(entry.forwarder.calls) == 1


@on_each_loop
async def test_rejected_upload_receives_its_response():
    """Guards against a reset that discards the response to a body that is too long."""
    async with serve(body_bytes=1000) as (entry, connect):
        client = await connect()
        await send(client, request(b"a1", method=b"POST", body=b"x" * 2_000_000))
        received = await receive_all(client)
        assert received.startswith(b"HTTP/1.1 413 ")
        assert b"Connection: close\r\n" in received


@on_each_loop
async def test_client_that_stays_after_a_closing_response_is_disconnected():
    """Guards against clients that keep closed connections open for ever."""
    with (
        patch.object(_client_connections, "LINGER_TIMEOUT_S", 0.1),
        patch.object(_entry, "TIMEOUT_CHECK_PERIOD_S", 0.05),
    ):
        async with serve() as (entry, connect):
            client = await connect()
            await send(client, request(b"a1", extra=b"Connection: close\r\n"))
            (call,) = await entry.forwarder.receive(1)
            respond(call, b"x")
            assert (await receive_all(client)).endswith(b"\r\n\r\nx")
            assert not entry.is_drained
            await wait_until(lambda: not entry.connections)
            assert entry.is_drained


@on_each_loop
async def test_slow_reader_of_a_closing_response_keeps_its_connection():
    """Guards against a close that counts the time in which its client still reads."""
    with (
        patch.object(_client_connections, "LINGER_TIMEOUT_S", 0.1),
        patch.object(_client_connections, "CLIENT_READ_TIMEOUT_S", 0.5),
        patch.object(_entry, "TIMEOUT_CHECK_PERIOD_S", 0.05),
    ):
        async with serve() as (entry, connect):
            client = await connect(SMALL_RECEIVE_BUFFER_BYTES)
            await send(client, request(b"a1", extra=b"Connection: close\r\n"))
            (call,) = await entry.forwarder.receive(1)
            respond(call, b"x" * 8_000_000)
            received = 0
            while data := await asyncio.get_running_loop().sock_recv(client, 1_000_000):
                received += len(data)
                await asyncio.sleep(0.2 if received < 8_000 else 0.0)
            assert received > 8_000_000


@on_each_loop
async def test_closed_connection_discards_a_bounded_number_of_bytes():
    """Guards against a client that sends without end on a closed connection."""
    with patch.object(_client_connections, "MAX_DISCARDED_BYTES", 100_000):
        async with serve() as (entry, connect):
            client = await connect()
            await send(client, request(b"a1", extra=b"Connection: close\r\n"))
            (call,) = await entry.forwarder.receive(1)
            respond(call, b"x")
            (connection,) = entry.connections
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.5):
                    await send(client, b"x" * 50_000_000)
            assert 100_000 < connection.discarded_bytes < 1_000_000


@on_each_loop
async def test_number_of_closed_connections_that_wait_for_clients_is_bounded():
    """Guards against clients that use up descriptors with closed connections."""
    with patch.object(_entry, "MAX_LINGERING_CONNECTIONS", 2):
        async with serve() as (entry, connect):
            for number in range(4):
                client = await connect()
                await send(client, request(b"a1", extra=b"Connection: close\r\n"))
                calls = await entry.forwarder.receive(number + 1)
                respond(calls[-1], b"x")
                await receive_all(client)
                await asyncio.sleep(0.1)
            await wait_until(lambda: len(entry.connections) <= 2)
            assert len(entry.connections) == 2


@on_each_loop
async def test_response_in_the_send_buffer_of_the_kernel_is_not_drained():
    """Guards against a host that stops with a response that its client cannot read."""
    async with serve() as (entry, connect):
        client = await connect(SMALL_RECEIVE_BUFFER_BYTES)
        await send(client, request(b"a1"))
        (call,) = await entry.forwarder.receive(1)
        entry.stop_keep_alive()
        respond(call, b"x" * LATE_READ_BYTES)
        await asyncio.sleep(0.2)
        assert not entry.is_drained
        received = await receive_all(client)
        assert received.endswith(b"\r\n\r\n" + b"x" * LATE_READ_BYTES)
        await wait_until(lambda: entry.is_drained)


@on_each_loop
async def test_partial_request_is_refused_at_the_end_of_reading():
    """Guards against a stop that drops a request which is being received."""
    async with serve() as (entry, connect):
        client = await connect()
        whole = request(b"a1", method=b"POST", body=b"x" * 1000)
        await send(client, whole[:-500])
        await wait_until(lambda: not entry.is_drained)
        entry.stop_reading()
        await send(client, whole[-500:])
        received = await receive_all(client)
        assert received.startswith(b"HTTP/1.1 503 ")
        assert received.count(b"HTTP/1.1 ") == 1
        assert not entry.forwarder.calls

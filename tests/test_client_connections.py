"""Connections of clients: how they close, time out and end with the node."""

import asyncio
import socket
import struct
from contextlib import asynccontextmanager, suppress
from types import SimpleNamespace
from unittest.mock import patch

import logbook
import pytest
import uvloop

from figpick.base._clock import Clock
from figpick.configuration import Limits
from figpick.nodes import _client_connections, _entry
from figpick.nodes._calls import Call
from figpick.nodes._counters import CallCounters
from figpick.nodes._entry import EntryServer
from figpick.wire import DEFAULT_HEADERS

from .fleet import Client, Fleet, async_test, free_address, wait_until

OK_HEAD = b"HTTP/1.1 200 OK\r\n"
# A response of this size fits into the send buffer of the kernel, but not into the
# receive buffer of a client that reads late.
LATE_READ_BYTES = 60_000
SMALL_RECEIVE_BUFFER_BYTES = 4096


def on_each_loop(test):
    """Decorates a coroutine test so that it runs with asyncio and with uvloop."""

    @pytest.mark.parametrize(
        "run_loop", [asyncio.run, uvloop.run], ids=["asyncio", "uvloop"]
    )
    def run_test(run_loop):
        run_loop(test())

    run_test.__name__ = test.__name__
    run_test.__doc__ = test.__doc__
    return run_test


class FakeForwarder:
    """Collects the requests; tests respond to them.

    :param limits: :class:`~figpick.configuration.Limits`.
    """

    def __init__(self, limits):
        self.configuration = SimpleNamespace(limits=limits)
        self.counters = CallCounters(Clock())
        self.calls = []
        self.abandoned = []
        self.refused = []

    def handle_request(self, request, response):
        call = Call(request, response, Clock().monotonic())
        call.request_id = request.header(DEFAULT_HEADERS.request_id) or b""
        self.calls.append(call)
        return call

    def refuse_request(self, request, response, reason):
        self.refused.append(request)
        call = Call(request, response, Clock().monotonic())
        call.is_done = True
        call.send_error(503, reason, 0.5)
        return call

    def abandon(self, call):
        if not call.is_done:
            self.abandoned.append(call)

    def grant_credit(self, call, size):
        pass

    async def receive(self, count):
        """Returns the calls once there are ``count``."""
        await wait_until(lambda: len(self.calls) >= count)
        return self.calls

    def count(self, event):
        """Returns the number of events of one kind on the connections."""
        return self.counters.connection_events.get((event,), 0)


@asynccontextmanager
async def serve(**limits):
    """Yields a started server, and a function that opens a client connection."""
    forwarder = FakeForwarder(Limits(**limits))
    entry = EntryServer(forwarder, Clock())
    address = free_address()
    await entry.start(address)
    timeouts = asyncio.ensure_future(entry.enforce_timeouts())
    clients = []

    async def connect(receive_buffer_bytes=None):
        client = socket.socket()
        clients.append(client)
        if receive_buffer_bytes is not None:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
        client.setblocking(False)
        await asyncio.get_running_loop().sock_connect(client, address)
        return client

    try:
        yield entry, connect
    finally:
        timeouts.cancel()
        entry.close()
        for client in clients:
            client.close()


def request(request_id, extra=b"", method=b"GET", body=b""):
    """Returns a request as bytes."""
    return b"%b /a/ HTTP/1.1\r\nHost: h\r\n%b: %b\r\n%bContent-Length: %d\r\n\r\n%b" % (
        method,
        DEFAULT_HEADERS.request_id,
        request_id,
        extra,
        len(body),
        body,
    )


async def send(client, data):
    """Sends bytes on a client connection."""
    await asyncio.get_running_loop().sock_sendall(client, data)


async def receive_all(client, timeout_s=8.0):
    """Returns all bytes until the node closes the connection."""
    loop = asyncio.get_running_loop()
    received = bytearray()
    async with asyncio.timeout(timeout_s):
        while data := await loop.sock_recv(client, 65536):
            received += data
    return bytes(received)


async def receive_until(client, end, piece_bytes=1):
    """Returns the bytes up to a given end, received in pieces of a given size."""
    loop = asyncio.get_running_loop()
    received = b""
    async with asyncio.timeout(8.0):
        while not received.endswith(end):
            data = await loop.sock_recv(client, piece_bytes)
            assert data, "the node closed the connection"
            received += data
    return received


def respond(call, body):
    """Sends a whole response to a call."""
    call.is_done = True
    call.response.start(200, OK_HEAD, len(body), body, True)


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

"""Upstreams that send bytes without end."""

import asyncio
import tracemalloc

import pytest

from figpick.nodes._messages import RESPONSE_WINDOW_BYTES
from figpick.wire import DEFAULT_HEADERS
from figpick.wire._responses import MAX_SKIPPED_BYTES

from .fleet import SLOTS, Client, Fleet, async_test, wait_until

PIECE_BYTES = 64 * 1024
# The buffers of a loopback connection hold up to this much.
SOCKET_BUFFER_BYTES = 12 * 1024 * 1024
# An upstream gives up after so many bytes, so that a test without a bound ends.
MAX_SENT_BYTES = 48 * 1024 * 1024
MAX_TRACED_BYTES = 8 * 1024 * 1024

HEAD = b"HTTP/1.1 200 OK\r\n%b: %%b\r\n%b: s\r\n" % (
    DEFAULT_HEADERS.request_id,
    DEFAULT_HEADERS.stamp,
)
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
FOREIGN = HEAD % b"other"
# Bytes of a response that never gets further: the beginning, with the place of the
# request id, and what is repeated after it.
STALLS = {
    "status-line": (b"HTTP/1.1 200 ", b"x"),
    "header-name": (HEAD, b"x"),
    "header-value": (HEAD + b"X: ", b"x"),
    "header-lines": (HEAD, b"X: y\r\n"),
    "empty-lines": (b"", b"\r\n"),
    "interim-responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "interim-header-value": (b"HTTP/1.1 103 Early Hints\r\nLink: ", b"x"),
    "chunk-extension": (CHUNKED + b"1;", b"x"),
    "chunk-size": (CHUNKED, b"0"),
    "trailer-name": (CHUNKED + b"0\r\n", b"x"),
    "trailer-value": (CHUNKED + b"0\r\nX: ", b"x"),
    "trailer-lines": (CHUNKED + b"0\r\n", b"X: y\r\n"),
}
FOREIGN_RESPONSES = {
    "without-length": (FOREIGN + b"\r\n", b"x"),
    "chunked": (FOREIGN + b"Transfer-Encoding: chunked\r\n\r\n", b"2\r\nxx\r\n"),
    "many": (b"", FOREIGN + b"Content-Length: 0\r\n\r\n"),
}


class EndlessUpstream:
    """Makes a fake upstream respond without end to the first request of an id.

    :param host: host of a :class:`Fleet`.
    :param endless_ids: ids that are shared by several upstreams.
    """

    def __init__(self, host, endless_ids, start, unit, period_s=0.0):
        self._upstream = host.upstream
        self._ids = endless_ids
        self._start = start
        self._unit = unit
        self._period_s = period_s
        self.sent_bytes = 0
        self.connection = None
        self._upstream.handler = self._handle

    @property
    def is_closed(self):
        """Whether the connection of the endless response is closed."""
        connection = self.connection
        return connection is not None and connection not in self._upstream.connections

    async def _handle(self, connection, request):
        request_id = request.header(DEFAULT_HEADERS.request_id)
        if request_id not in self._ids:
            await self._upstream.echo(connection, request)
            return
        self._ids.remove(request_id)
        self._upstream.record_run(request)
        self.connection = connection
        transport = connection.transport
        start = self._start % request_id if b"%b" in self._start else self._start
        transport.write(start)
        piece = self._unit
        if not self._period_s:
            piece = self._unit * (PIECE_BYTES // len(self._unit) + 1)
        while not self.is_closed and self.sent_bytes < MAX_SENT_BYTES:
            if transport.get_write_buffer_size() <= PIECE_BYTES:
                transport.write(piece)
                self.sent_bytes += len(piece)
            await asyncio.sleep(self._period_s)


async def assert_is_free(host, endless):
    """Checks that the connection is closed and that every slot runs a request again."""
    await wait_until(lambda: endless.is_closed)
    assert set(host.node.open_work()["executions"].values()) == {0}
    address = host.settings.call_address

    async def call(number):
        async with Client(address) as client:
            status, _, body = await client.call(b"/parts/1", b"free%d" % number)
            return status, body

    host.upstream.delay_s = 0.05
    responses = await asyncio.gather(*(call(number) for number in range(SLOTS)))
    assert not [response for response in responses if response[0] != 200]


@pytest.fixture
def traced():
    """Returns the peak of the memory that was allocated in a test, as a function."""
    tracemalloc.start()
    yield lambda: tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()


@pytest.mark.parametrize("shape", STALLS)
@async_test
async def test_response_that_makes_no_progress_fails_once(tmp_path, traced, shape):
    """Guards against memory that grows until an upstream closes its connection."""
    async with Fleet(tmp_path, services=("entries", "parts")) as fleet:
        entry, host = fleet.hosts
        endless = EndlessUpstream(host, [b"a1"], *STALLS[shape])
        async with Client(entry.settings.call_address) as client:
            client.send(b"/parts/once/1", b"a1", method=b"POST")
            client.send(b"/parts/1", b"a2")
            async with asyncio.timeout(1.5):
                statuses = [(await client.receive())[0] for _ in range(2)]
            assert statuses == [502, 200]
        assert endless.sent_bytes < SOCKET_BUFFER_BYTES
        assert traced() < MAX_TRACED_BYTES
        assert host.upstream.runs.count("a1") == 1
        await assert_is_free(host, endless)


@pytest.mark.parametrize("shape", ["header-value", "interim-responses", "chunk-size"])
@async_test
async def test_endless_response_is_replaced_by_that_of_another_host(tmp_path, shape):
    """Guards against a failure of a request that another host could run."""
    async with Fleet(tmp_path) as fleet:
        ids = [b"a1"]
        endless = [EndlessUpstream(host, ids, *STALLS[shape]) for host in fleet.hosts]
        async with Client(fleet.hosts[0].settings.call_address) as client:
            client.send(b"/parts/1", b"a1", body=b"x")
            client.send(b"/parts/1", b"a2")
            async with asyncio.timeout(1.5):
                responses = [await client.receive() for _ in range(2)]
        assert [response[0] for response in responses] == [200, 200]
        assert responses[0][2] == b"x"
        assert sum(host.upstream.runs.count("a1") for host in fleet.hosts) == 2
        (number,) = [
            number for number, each in enumerate(endless) if each.connection is not None
        ]
        await assert_is_free(fleet.hosts[number], endless[number])


@pytest.mark.parametrize("shape", FOREIGN_RESPONSES)
@async_test
async def test_endless_response_to_another_request_is_skipped_for_a_bounded_time(
    tmp_path, traced, shape
):
    """Guards against a response to another request that holds a slot without end."""
    async with Fleet(tmp_path, services=("entries", "parts")) as fleet:
        entry, host = fleet.hosts
        endless = EndlessUpstream(host, [b"a1"], *FOREIGN_RESPONSES[shape])
        async with Client(entry.settings.call_address) as client:
            client.send(b"/parts/once/1", b"a1", method=b"POST")
            client.send(b"/parts/1", b"a2")
            async with asyncio.timeout(4.0):
                statuses = [(await client.receive())[0] for _ in range(2)]
            assert statuses[0] in (502, 504)
            assert statuses[1] == 200
        assert endless.sent_bytes < MAX_SKIPPED_BYTES + SOCKET_BUFFER_BYTES
        assert traced() < MAX_TRACED_BYTES
        await assert_is_free(host, endless)


@pytest.mark.parametrize(
    "start, unit",
    [
        (HEAD + b"\r\n", b"x"),
        (HEAD + b"Content-Length: 100000000000\r\n\r\n", b"x"),
        (CHUNKED, b"2\r\nxx\r\n"),
    ],
    ids=["without-length", "length", "chunked"],
)
@async_test
async def test_endless_body_ends_visibly_at_the_deadline(tmp_path, start, unit):
    """Guards against a body without end that holds a slot, or that looks complete."""
    async with Fleet(tmp_path, services=("entries", "parts")) as fleet:
        entry, host = fleet.hosts
        endless = EndlessUpstream(host, [b"a1"], start, unit)
        async with Client(entry.settings.call_address) as client:
            client.send(b"/parts/1", b"a1", deadline_ms=400)
            head = await client.reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200")
            last = b""
            async with asyncio.timeout(3.0):
                while data := await client.reader.read(PIECE_BYTES):
                    last = data
            assert not last.endswith(b"\r\n0\r\n\r\n")
        await assert_is_free(host, endless)


@async_test
async def test_endless_body_waits_for_a_client_that_does_not_read(tmp_path, traced):
    """Guards against buffering a body without end for a client that reads nothing."""
    async with Fleet(tmp_path, services=("entries", "parts")) as fleet:
        entry, host = fleet.hosts
        endless = EndlessUpstream(host, [b"a1"], HEAD + b"\r\n", b"x")
        async with Client(entry.settings.call_address) as client:
            client.writer.transport.pause_reading()
            client.send(b"/parts/1", b"a1", deadline_ms=800)
            await wait_until(lambda: endless.is_closed)
        assert endless.sent_bytes < 2 * SOCKET_BUFFER_BYTES + RESPONSE_WINDOW_BYTES
        assert traced() < MAX_TRACED_BYTES
        await assert_is_free(host, endless)


@pytest.mark.parametrize("shape", ["header-value", "body"])
@async_test
async def test_endless_response_is_closed_when_its_client_leaves(tmp_path, shape):
    """Guards against an upstream that sends on for a client that has left."""
    start = HEAD + (b"\r\n" if shape == "body" else b"X: ")
    async with Fleet(tmp_path, services=("entries", "parts")) as fleet:
        entry, host = fleet.hosts
        endless = EndlessUpstream(host, [b"a1"], start, b"x", period_s=0.02)
        async with Client(entry.settings.call_address) as client:
            client.send(b"/parts/1", b"a1")
            await wait_until(lambda: endless.sent_bytes)
        async with asyncio.timeout(0.5):
            await assert_is_free(host, endless)


@async_test
async def test_endless_body_of_a_call_that_ran_once_is_closed_when_its_client_leaves(
    tmp_path,
):
    """Guards against a streamed body that holds a slot although nobody reads it."""
    async with Fleet(tmp_path, services=("entries", "parts")) as fleet:
        entry, host = fleet.hosts
        piece = b"x" * PIECE_BYTES
        endless = EndlessUpstream(host, [b"a1"], HEAD + b"\r\n", piece, period_s=0.02)
        async with Client(entry.settings.call_address) as client:
            client.send(b"/parts/once/1", b"a1", method=b"POST")
            await client.reader.readuntil(b"\r\n\r\n")
        async with asyncio.timeout(1.0):
            await assert_is_free(host, endless)


@pytest.mark.parametrize("shape", ["header-value", "body"])
@async_test
async def test_endless_response_is_closed_when_its_node_ends(tmp_path, shape):
    """Guards against a connection to an upstream that outlasts the calls of a node."""
    start = HEAD + (b"\r\n" if shape == "body" else b"X: ")
    async with Fleet(tmp_path, services=("entries", "parts")) as fleet:
        entry, host = fleet.hosts
        endless = EndlessUpstream(host, [b"a1"], start, b"x", period_s=0.02)
        async with Client(entry.settings.call_address) as client:
            client.send(b"/parts/once/1", b"a1", method=b"POST")
            await wait_until(lambda: endless.sent_bytes)
            host.node.owner.end_calls()
            async with asyncio.timeout(1.0):
                assert (await client.receive())[0] == 502
            await wait_until(lambda: endless.is_closed)
        assert set(host.node.open_work()["executions"].values()) == {0}


@pytest.mark.parametrize("shape", ["header-value", "body"])
@async_test
async def test_slow_endless_response_fails_once_at_the_deadline(tmp_path, shape):
    """Guards against slow bytes without end that keep a request past its deadline."""
    start = HEAD + (b"\r\n" if shape == "body" else b"X: ")
    async with Fleet(tmp_path, services=("entries", "parts")) as fleet:
        entry, host = fleet.hosts
        endless = EndlessUpstream(host, [b"a1"], start, b"x", period_s=0.02)
        async with Client(entry.settings.call_address) as client:
            client.send(b"/parts/once/1", b"a1", method=b"POST", deadline_ms=400)
            client.send(b"/parts/1", b"a2")
            async with asyncio.timeout(1.5):
                statuses = [(await client.receive())[0] for _ in range(2)]
            assert statuses == [504, 200]
        await assert_is_free(host, endless)


@pytest.mark.parametrize("method", [b"POST", b"HEAD"])
@async_test
async def test_bytes_behind_a_response_close_only_their_connection(tmp_path, method):
    """Guards against bytes behind a response that are taken for another response."""
    start = HEAD + b"Content-Length: 3\r\n\r\nabc"
    async with Fleet(tmp_path, services=("entries", "parts")) as fleet:
        entry, host = fleet.hosts
        endless = EndlessUpstream(host, [b"a1"], start, b"HTTP/1.1 200 OK\r\nX: y\r\n")
        async with Client(entry.settings.call_address) as client:
            client.send(b"/parts/once/1", b"a1", method=method)
            head = await client.reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200")
            if method == b"POST":
                assert await client.reader.readexactly(3) == b"abc"
            assert (await client.call(b"/parts/1", b"a2"))[0] == 200
        assert endless.sent_bytes < SOCKET_BUFFER_BYTES
        await assert_is_free(host, endless)


@pytest.mark.parametrize(
    "shape", ["chunk-extension", "chunk-size", "trailer-name", "trailer-value"]
)
@async_test
async def test_streamed_response_that_stalls_is_cut_off(tmp_path, traced, shape):
    """Guards against a streamed body behind which other bytes never end."""
    start, unit = STALLS[shape]
    body = b"x" * 300_000
    start = CHUNKED + b"%x\r\n" % len(body) + body + b"\r\n" + start[len(CHUNKED) :]
    async with Fleet(tmp_path, services=("entries", "parts")) as fleet:
        entry, host = fleet.hosts
        endless = EndlessUpstream(host, [b"a1"], start, unit)
        async with Client(entry.settings.call_address) as client:
            client.send(b"/parts/once/1", b"a1", method=b"POST")
            async with asyncio.timeout(1.5):
                data = await client.reader.read()
            assert data.startswith(b"HTTP/1.1 200")
            assert not data.endswith(b"\r\n0\r\n\r\n")
        assert endless.sent_bytes < SOCKET_BUFFER_BYTES
        assert traced() < MAX_TRACED_BYTES
        await assert_is_free(host, endless)


@pytest.mark.parametrize("framing", ["without-length", "small-chunks", "extensions"])
@async_test
async def test_large_body_of_any_framing_arrives_whole(tmp_path, framing):
    """Guards against a limit on stalled responses that a sound body exceeds."""
    body = b"0123456789" * (800_000 if framing == "without-length" else 15_000)
    if framing == "without-length":
        start, encoded = HEAD + b"\r\n", body
    else:
        size = 1 if framing == "small-chunks" else 5_000
        extension = b";" + b"x" * 10_000 if framing == "extensions" else b""
        parts = [body[at : at + size] for at in range(0, len(body), size)]
        encoded = b"".join(
            b"%x%b\r\n%b\r\n" % (len(part), extension, part) for part in parts
        )
        start, encoded = CHUNKED, encoded + b"0\r\n\r\n"

    async def respond(connection, request):
        request_id = request.header(DEFAULT_HEADERS.request_id)
        connection.transport.write(start % request_id + encoded)
        if framing == "without-length":
            connection.transport.close()

    async with Fleet(tmp_path, services=("entries", "parts")) as fleet:
        entry, host = fleet.hosts
        host.upstream.handler = respond
        async with Client(entry.settings.call_address) as client:
            status, _, received = await client.call(b"/parts/1", b"a1")
            assert status == 200
            assert received == body


@async_test
async def test_window_of_a_streamed_response_does_not_grow(tmp_path):
    """Guards against chunk framing that is counted as body bytes the client has read.

    Each part of a few bytes then raises what is buffered once the client stops reading.
    """
    parts = 300
    async with Fleet(tmp_path, services=("entries", "parts")) as fleet:
        entry, host = fleet.hosts

        async def send_small_parts(connection, request):
            request_id = request.header(DEFAULT_HEADERS.request_id)
            data = HEAD % request_id + b"\r\n" + b"x" * 100_000
            connection.transport.write(data)
            for _ in range(parts):
                await asyncio.sleep(0.001)
                connection.transport.write(b"\0")

        host.upstream.handler = send_small_parts
        async with Client(entry.settings.call_address) as client:
            client.send(b"/parts/1", b"a1")
            received = 0
            while received < parts:
                received += (await client.reader.read(PIECE_BYTES)).count(b"\0")
            await asyncio.sleep(0.05)
            (execution,) = host.node.owner._executions.values()
            assert execution.unread_bytes == 0

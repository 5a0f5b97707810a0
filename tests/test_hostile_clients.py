"""Memory and descriptors of real processes whose clients keep to no limit.

The bound is the memory or the number of descriptors that the settings name. Each test
ends with a request that is answered in each way.
"""

import asyncio
import zlib
from contextlib import asynccontextmanager

import pytest

from .fleet import async_test
from .real_fleet import (
    MIB,
    SERVICES,
    exchange,
    is_served,
    read_response,
    render_request_head,
    start_fleet,
)

pytestmark = [pytest.mark.processes, pytest.mark.memory]

MEMORY_MB = 112
LIMITS = {
    "maxBodyBytes": 4 * MIB,
    "maxHeaderBytes": 16 * 1024,
    "headerTimeoutS": 4,
    "idleTimeoutS": 15,
}
BODY_BYTES = LIMITS["maxBodyBytes"]
ANNOUNCED_BYTES = 99_000_000_000
PIECE_BYTES = 64 * 1024
# How long a crowd may go on; its connections stay open until then.
CROWD_S = 4.0
ODD_LINES = b"a:\r\n" * 2500
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"


async def send_pieces(writer, pieces):
    """Sends pieces until the connection ends."""
    try:
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(0)
    except OSError:
        pass


def body_pieces(size, piece_bytes=PIECE_BYTES):
    """Yields a body of zeros in pieces."""
    for start in range(0, size, piece_bytes):
        yield bytes(min(piece_bytes, size - start))


def endless_chunks():
    """Yields chunks for ever."""
    while True:
        yield b"1000\r\n%b\r\n" % bytes(4096) * 16


def endless_body():
    """Yields parts of a body for ever."""
    while True:
        yield bytes(PIECE_BYTES)


def whole_body(service, number):
    yield render_request_head(
        service, b"w%d" % number, b"Content-Length: %d\r\n\r\n" % BODY_BYTES
    )
    yield from body_pieces(BODY_BYTES)


def body_in_small_pieces(service, number):
    yield render_request_head(
        service, b"p%d" % number, b"Content-Length: %d\r\n\r\n" % BODY_BYTES
    )
    yield from body_pieces(BODY_BYTES, 8 * 1024)


def unfinished_body(service, number):
    yield render_request_head(
        service, b"u%d" % number, b"Content-Length: %d\r\n\r\n" % BODY_BYTES
    )
    yield from body_pieces(BODY_BYTES - 1)


def unfinished_chunks(service, number):
    yield render_request_head(service, b"c%d" % number, CHUNKED)
    for piece in body_pieces(BODY_BYTES - PIECE_BYTES):
        yield b"%x\r\n%b\r\n" % (len(piece), piece)


def announced_above_the_limit(service, number):
    yield render_request_head(
        service, b"a%d" % number, b"Content-Length: %d\r\n\r\n" % ANNOUNCED_BYTES
    )
    yield from endless_body()


def chunks_without_end(service, number):
    yield render_request_head(service, b"e%d" % number, CHUNKED)
    yield from endless_chunks()


def pipelined_odd_heads(service, number):
    for request in range(60):
        yield render_request_head(
            service, b"h%d-%d" % (number, request), ODD_LINES + b"\r\n"
        )


def unfinished_odd_head(service, number):
    yield render_request_head(service, b"o%d" % number, ODD_LINES)


def unfinished_odd_trailers(service, number):
    yield render_request_head(service, b"t%d" % number, CHUNKED)
    yield b"1\r\nx\r\n0\r\n" + ODD_LINES


def one_byte_chunks(service, number):
    yield render_request_head(service, b"b%d" % number, CHUNKED)
    for _ in range(BODY_BYTES // 8192):
        yield b"1\r\nx\r\n" * 8192


# What a client sends, the number of clients, and the seconds that an upstream works.
CROWDS = {
    "whole bodies": (whole_body, 24, 2.0),
    "bodies in small pieces": (body_in_small_pieces, 24, 2.0),
    "bodies that stop one byte short": (unfinished_body, 40, 0.0),
    "chunks that stop short": (unfinished_chunks, 40, 0.0),
    "bodies announced far above the limit": (announced_above_the_limit, 60, 0.0),
    "chunks without end": (chunks_without_end, 60, 0.0),
    "pipelined heads of odd lines": (pipelined_odd_heads, 16, 2.0),
    "heads of odd lines that do not end": (unfinished_odd_head, 600, 0.0),
    "trailers of odd lines that do not end": (unfinished_odd_trailers, 600, 0.0),
    "chunks of one byte": (one_byte_chunks, 30, 0.0),
}


@asynccontextmanager
async def crowd(address, streams):
    """Sends each stream on a connection of its own; all stay open."""

    async def connect(stream):
        reader, writer = await asyncio.open_connection(*address)
        writers.append(writer)
        await send_pieces(writer, stream)
        await asyncio.sleep(60.0)

    writers = []
    tasks = [asyncio.ensure_future(connect(stream)) for stream in streams]
    yield tasks
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    for writer in writers:
        writer.transport.abort()


async def check_afterwards(fleet, memory_mb=MEMORY_MB):
    """Checks the memory of all processes and that requests are answered."""
    for process in fleet.processes:
        assert process.is_alive
        peak_mb = process.peak_bytes / 1e6
        print(f"{process.name} peak {peak_mb:.0f} MB, bound {memory_mb} MB")
    for process in fleet.processes:
        assert process.peak_bytes <= memory_mb * 1e6
    for service in SERVICES:
        async with asyncio.timeout(20.0):
            while not await is_served(fleet, service):
                await asyncio.sleep(0.2)


@pytest.mark.parametrize("service", SERVICES)
@pytest.mark.parametrize("shape", CROWDS)
@async_test
async def test_crowd_stays_within_the_memory(tmp_path, shape, service):
    """Guards against what clients send being held without a bound on its size."""
    stream, count, work_s = CROWDS[shape]
    async with start_fleet(tmp_path, LIMITS, MEMORY_MB) as fleet:
        fleet.upstreams[service].work_s = work_s
        streams = [stream(service, number) for number in range(count)]
        async with crowd(fleet.address, streams):
            await asyncio.sleep(CROWD_S)
        fleet.upstreams[service].work_s = 0.0
        await check_afterwards(fleet)


@pytest.mark.parametrize("service", SERVICES)
@async_test
async def test_clients_that_do_not_read_stay_within_the_memory(tmp_path, service):
    """Guards against responses that are held for clients that never read them."""

    def stream(number):
        for request in range(2000):
            yield (
                b"GET /%b/get/large HTTP/1.1\r\nHost: soak\r\nAttempt-Id: r%d-%d\r\n"
                b"Deadline-Ms: 15000\r\n\r\n" % (service.encode(), number, request)
            )

    async with start_fleet(tmp_path, LIMITS, MEMORY_MB) as fleet:
        async with asyncio.timeout(60.0), silent_readers(fleet.address, stream, 40):
            await asyncio.sleep(CROWD_S)
        await check_afterwards(fleet)


@asynccontextmanager
async def silent_readers(address, stream, count):
    """Sends requests on connections whose responses are not read."""
    transports = []
    loop = asyncio.get_running_loop()
    tasks = []
    for number in range(count):
        transport, protocol = await loop.create_connection(SilentReader, *address)
        transport.pause_reading()
        transports.append(transport)
        tasks.append(asyncio.ensure_future(protocol.send(stream(number))))
    yield
    for task in tasks:
        task.cancel()
    for transport in transports:
        transport.abort()


class SilentReader(asyncio.Protocol):
    """Client that sends requests and reads nothing."""

    def connection_made(self, transport):
        self._transport = transport
        self._is_writable = asyncio.Event()
        self._is_writable.set()

    def pause_writing(self):
        self._is_writable.clear()

    def resume_writing(self):
        self._is_writable.set()

    async def send(self, pieces):
        """Sends pieces as fast as the node reads them."""
        for piece in pieces:
            await self._is_writable.wait()
            self._transport.write(piece)


@pytest.mark.parametrize("service", SERVICES)
@async_test
async def test_upstream_that_does_not_read_stays_within_the_memory(tmp_path, service):
    """Guards against bodies that pile up in front of an upstream."""
    async with start_fleet(tmp_path, LIMITS, MEMORY_MB) as fleet:
        fleet.upstreams[service].reads_bodies = False
        streams = [whole_body(service, number) for number in range(18)]
        async with crowd(fleet.address, streams):
            await asyncio.sleep(CROWD_S)
        fleet.upstreams[service].reads_bodies = True
        await check_afterwards(fleet)


@pytest.mark.parametrize("service", SERVICES)
@pytest.mark.parametrize("is_first", [False, True])
@pytest.mark.parametrize("is_chunked", [False, True])
@async_test
async def test_largest_legal_body_is_served(tmp_path, is_chunked, is_first, service):
    """Guards against one legal body that takes more memory than the host has."""
    limits = {**LIMITS, "maxBodyBytes": 64 * MIB, "headerTimeoutS": 10}
    memory_mb = 300
    body = bytes(60_000_000)
    framing = b"Content-Length: %d\r\n\r\n" % len(body)
    data = framing + body
    if is_chunked:
        part = bytes(1_000_000)
        data = CHUNKED + b"%x\r\n%b\r\n" % (len(part), part) * 60 + b"0\r\n\r\n"
    async with start_fleet(
        tmp_path, limits, memory_mb, sends_requests=not is_first
    ) as fleet:
        status, checksum = await exchange(
            fleet.address, render_request_head(service, b"legal", data)
        )
        print("status", status)
        await check_afterwards(fleet, memory_mb)
        assert (status, checksum) == (200, b"%08x" % zlib.crc32(body))
        assert fleet.upstreams[service].runs.count(b"legal") == 1


@async_test
async def test_silent_connections_leave_descriptors_for_requests(tmp_path):
    """Guards against clients that take every descriptor of the process."""
    max_descriptors = 480
    async with start_fleet(tmp_path, LIMITS, MEMORY_MB, max_descriptors) as fleet:
        kept_reader, kept_writer = await asyncio.open_connection(*fleet.address)
        fleet.upstreams["front"].work_s = CROWD_S
        kept_writer.write(
            render_request_head("front", b"kept", b"Content-Length: 0\r\n\r\n")
        )
        await asyncio.sleep(0.2)
        fleet.upstreams["front"].work_s = 0.0
        async with crowd(fleet.address, [()] * 600):
            await asyncio.sleep(1.0)
            print("descriptors", fleet.entry.descriptors, "bound", max_descriptors)
            assert fleet.entry.descriptors <= max_descriptors
            for service in SERVICES:
                assert await is_served(fleet, service)
            status, _ = await read_response(kept_reader)
            assert status == 200
        kept_writer.close()
        await check_afterwards(fleet)


@pytest.mark.parametrize("target", ["entry", "control"])
@async_test
async def test_unfinished_frames_stay_within_the_memory(tmp_path, target):
    """Guards against frames that are announced and not sent on links."""
    frame = (8 * MIB).to_bytes(4, "big")
    async with start_fleet(tmp_path, LIMITS, MEMORY_MB) as fleet:
        number = {"control": 0, "entry": 2}[target]
        address = fleet.cluster.address(number, "link")
        streams = [(frame, *body_pieces(8 * MIB - PIECE_BYTES)) for _ in range(40)]
        async with crowd(address, streams):
            await asyncio.sleep(CROWD_S)
        await check_afterwards(fleet)


@async_test
async def test_unfinished_configurations_stay_within_the_memory(tmp_path):
    """Guards against many large configurations that are sent at once."""
    memory_mb = 300
    size = 30_000_000
    head = b"PUT /config HTTP/1.1\r\nHost: c\r\nContent-Length: %d\r\n\r\n" % size
    async with start_fleet(tmp_path, LIMITS, memory_mb) as fleet:
        address = fleet.cluster.address(0, "control")
        streams = [(head, *body_pieces(size - 1)) for _ in range(24)]
        async with crowd(address, streams):
            await asyncio.sleep(CROWD_S)
        await check_afterwards(fleet, memory_mb)


@pytest.mark.parametrize("port", ["ready", "control"])
@async_test
async def test_addresses_of_the_platform_stay_within_the_memory(tmp_path, port):
    """Guards against crowds at the addresses for readiness and heartbeats."""
    head = b"PUT /instances/i-9 HTTP/1.1\r\nHost: c\r\nContent-Length: 65536\r\n\r\n"
    async with start_fleet(tmp_path, LIMITS, MEMORY_MB) as fleet:
        address = fleet.cluster.address(2, port)
        streams = [(head, bytes(65535)) for _ in range(200)]
        async with crowd(address, streams):
            await asyncio.sleep(CROWD_S)
        await check_afterwards(fleet)

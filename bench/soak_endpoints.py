"""Stand-in upstreams and callers of the soak."""

import asyncio
import json
import random
import socket

from figpick.wire import HeaderNames, RequestReader

NAMES = HeaderNames(
    b"attempt-id",
    b"deadline-ms",
    b"server-stamp",
    b"expect-instance",
    b"instance-id",
    b"not-run",
    b"caller-service",
)
BEAT_S = 0.5
SLOTS = 20
DEADLINE_MS = 4000
LIMIT_S = 6.0


def free_ports(count):
    """Gives ports that nothing listens on."""
    probes = [socket.socket() for _ in range(count)]
    for probe in probes:
        probe.bind(("127.0.0.1", 0))
    ports = [probe.getsockname()[1] for probe in probes]
    for probe in probes:
        probe.close()
    return ports


async def fetch(method, address, path, value, limit_s):
    """Sends a request with a JSON body.

    :return: tuple of status and body; status 0 without an answer.
    """
    body = json.dumps(value).encode() if value is not None else b""
    head = f"{method} {path} HTTP/1.1\r\nHost: soak\r\nConnection: close\r\n"
    head += f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    return await _exchange(address, head.encode() + body, limit_s)


async def _exchange(address, data, limit_s):
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(data)
            head = await reader.readuntil(b"\r\n\r\n")
            length = 0
            for line in head.lower().split(b"\r\n"):
                if line.startswith(b"content-length:"):
                    length = int(line.partition(b":")[2])
            body = await reader.readexactly(length)
            return int(head.split()[1]), body
    except (OSError, EOFError, TimeoutError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()


class Caller:
    """One client.

    :param address: address of its node.
    :param checks: :class:`~bench.soak_checks.Checks`.
    """

    def __init__(self, address, checks):
        self._address = address
        self._checks = checks

    async def call(self, request_id, service, is_once):
        """Sends a request and checks its answer.

        :return: status, 0 without an answer.
        """
        method, kind = ("POST", "once") if is_once else ("GET", "get")
        head = f"{method} /{service}/{kind}/{request_id} HTTP/1.1\r\nHost: soak\r\n"
        head += f"Attempt-Id: {request_id}\r\nDeadline-Ms: {DEADLINE_MS}\r\n"
        head += "Content-Length: 0\r\n\r\n"
        status, body = await _exchange(self._address, head.encode(), LIMIT_S)
        self._checks.answered(request_id, is_once, status, body == request_id.encode())
        return status


class StandIn(asyncio.Protocol):
    """One upstream; an instance of this class stands for each of its connections.

    :param service: service of the upstream.
    :param address: where it listens.
    :param announced: where its node reaches it.
    :param control: where its node takes heartbeats.
    :param checks: :class:`~bench.soak_checks.Checks`.
    """

    def __init__(self, service, address, announced, control, checks):
        self._service = service
        self._address = address
        self._announced = announced
        self._control = control
        self._checks = checks
        self._instance = ""
        self._sequence = 0
        self._server = None
        self._beats = None
        self._connections = set()
        self._tasks = set()
        # The last of overlapping crashes to pass starts it again.
        self._crashes = 0

    async def start(self):
        """Listens and reports under a new identity."""
        self._instance = f"i-{random.getrandbits(32):08x}"
        self._sequence = 0
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self), *self._address
        )
        self._beats = asyncio.ensure_future(self._report())

    def stop(self):
        """Ends at once."""
        self._beats.cancel()
        self._server.close()
        self.reset()

    def reset(self):
        """Resets every connection."""
        for connection in list(self._connections):
            connection.transport.abort()

    async def crash(self, for_s):
        """Ends at once and starts again under a new identity; crashes may overlap."""
        self._crashes += 1
        self.stop()
        await asyncio.sleep(for_s)
        self._crashes -= 1
        if not self._crashes:
            await self.start()

    def opened(self, connection):
        """Notes a connection."""
        self._connections.add(connection)

    def closed(self, connection):
        """Notes the end of a connection."""
        self._connections.discard(connection)

    def take(self, connection, request):
        """Runs a request, unless it is meant for another instance."""
        expected = request.header(NAMES.instance)
        if expected is not None and expected.decode() != self._instance:
            connection.answer(request, b"421 Misdirected Request", b"", b"")
            return
        task = asyncio.ensure_future(self._run(connection, request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run(self, connection, request):
        request_id = request.header(NAMES.request_id) or b""
        self._checks.ran(request_id.decode(), request.method == b"POST")
        await asyncio.sleep(random.uniform(0.005, 0.15))
        connection.answer(request, b"200 OK", request_id, b"Server-Stamp: s\r\n")

    async def _report(self):
        while True:
            self._sequence += 1
            ip, port = self._announced
            report = {
                "service": self._service,
                "address": f"{ip}:{port}",
                "slots": SLOTS,
                "state": "ready",
                "sequence": self._sequence,
            }
            await fetch(
                "PUT", self._control, f"/instances/{self._instance}", report, 1.0
            )
            await asyncio.sleep(BEAT_S)


class _Connection(asyncio.Protocol):
    """One connection to a stand-in upstream."""

    def __init__(self, upstream):
        self._upstream = upstream
        self._reader = RequestReader(self._take, lambda: 10**6, lambda: 10**7)
        self.transport = None

    def connection_made(self, transport):
        self.transport = transport
        self._upstream.opened(self)

    def connection_lost(self, error):
        self._upstream.closed(self)

    def data_received(self, data):
        self._reader.feed(data, 0.0)

    def _take(self, request):
        self._upstream.take(self, request)

    def answer(self, request, status, body, extra):
        """Writes an answer."""
        request_id = request.header(NAMES.request_id) or b""
        head = b"HTTP/1.1 %b\r\nAttempt-Id: %b\r\n%bContent-Length: %d\r\n\r\n"
        self.transport.write(head % (status, request_id, extra, len(body)) + body)

"""Clients of the soak test that keep their connections open.

Each client stays on one node and uses a connection until the node closes it, also while
the node stops.
"""

import asyncio
import contextlib
import random
import socket
import time
from collections import deque
from dataclasses import dataclass, field

from bench.soak_endless import draw_endless

DEADLINE_MS = 4000
LONG_DEADLINE_MS = 7000
LONG_WORK_MS = (2500, 6000)
# A request without a response is given up this long after its deadline.
GIVE_UP_MARGIN_S = 2.0
CONNECT_TIMEOUT_S = 1.0
RECONNECT_INTERVAL_S = 0.05
SMALL_RECEIVE_BUFFER = 4096
SLOW_READ_BYTES = 16384
SLOW_READ_INTERVAL_S = 0.02
LARGE_BODY_BYTES = 400_000
# Longer bodies are read without being kept.
MAX_KEPT_BODY_BYTES = 1_000_000
STYLES = (
    "steady",
    "steady",
    "pipelined",
    "eager",
    "eager",
    "slow",
    "slow-pipelined",
    "idle",
    "new",
    "slow-eager",
    "long",
    "long",
    "long",
)
# Clients of these styles send on a connection until it ends, whatever the node says. A
# "slow-eager" one sends its next request once a response has begun.
IGNORING_CLOSE = ("eager", "slow-pipelined", "slow-eager")


@dataclass(eq=False)
class Request:
    """One request of a client and what became of it; times are in Unix seconds.

    :param request_id: value of ``Attempt-Id``.
    :param node: number of the node that received the request.
    :param is_behind: whether it was sent before earlier ones on its connection were
        answered, or after a response that closes the connection.
    :param outcome: ``answered``, ``cut`` (the connection ended first), ``reset`` (it
        ended so because the node had not read all that was sent) or ``given up``.
    :param deadline_ms: value of ``Deadline-Ms``.
    :param parent_id: ID of the request whose upstream sent it, empty for clients.
    :param has_stamp: whether the response is of an upstream.
    :param answered_id: value of ``Attempt-Id`` in the response.
    """

    request_id: str
    node: int
    style: str
    method: str
    path: str
    size: int = 20
    deadline_ms: int = DEADLINE_MS
    parent_id: str = ""
    is_behind: bool = False
    sent_at: float = 0.0
    ended_at: float | None = None
    outcome: str = ""
    status: int = 0
    has_stamp: bool = False
    received_bytes: int = 0
    is_body_correct: bool = False
    answered_id: str | None = None
    begun: asyncio.Event = field(default_factory=asyncio.Event, repr=False)
    done: asyncio.Event = field(default_factory=asyncio.Event, repr=False)

    @property
    def is_non_idempotent(self):
        """Whether the request may run at most once."""
        return self.method == "POST"

    @property
    def age_s(self):
        """Seconds until the request ended."""
        return self.ended_at - self.sent_at

    @property
    def give_up_s(self):
        """Seconds after which a request without a response is given up."""
        return self.deadline_ms / 1000 + GIVE_UP_MARGIN_S

    def end(self, outcome):
        """Sets the outcome, unless the request has ended before."""
        if self.ended_at is None:
            self.outcome = outcome
            self.ended_at = time.time()
            self.begun.set()
            self.done.set()


def make_body(request_id, size):
    """Returns the body that upstreams send for a request.

    :param size: length in bytes.
    """
    line = request_id.encode() + b"\n"
    return (line * (size // len(line) + 1))[:size]


class KeptConnection:
    """Connection of a client on which several requests may be outstanding.

    :param address: tuple of IP address and port of the node.
    :param checker: :class:`~bench.soak_responses.ResponseChecker`.
    :param reads_slowly: whether bodies are read slowly with a small buffer.
    """

    def __init__(self, address, checker, reads_slowly=False):
        self._address = address
        self._checker = checker
        self._reads_slowly = reads_slowly
        self._pending = deque()
        self._reader = None
        self._writer = None
        self._read_task = None
        self.is_closing = False
        self.is_open = False

    async def open(self):
        """Connects to the node.

        :raises OSError: when the connection is not established.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        limit = 65536
        if self._reads_slowly:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER)
            limit = SMALL_RECEIVE_BUFFER
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await asyncio.get_running_loop().sock_connect(sock, self._address)
            self._reader, self._writer = await asyncio.open_connection(
                sock=sock, limit=limit
            )
        except (OSError, TimeoutError) as error:
            sock.close()
            raise OSError("not connected") from error
        self.is_open = True
        self._read_task = asyncio.ensure_future(self._read_responses())

    def send(self, request, body=b""):
        """Sends a request without waiting for earlier responses."""
        request.is_behind = bool(self._pending) or self.is_closing
        request.sent_at = time.time()
        self._pending.append(request)
        self._checker.record_request(request)
        head = f"{request.method} {request.path} HTTP/1.1\r\nHost: soak\r\n"
        head += f"Attempt-Id: {request.request_id}\r\n"
        head += f"Deadline-Ms: {request.deadline_ms}\r\n"
        head += f"Content-Length: {len(body)}\r\n\r\n"
        if self.is_open:
            self._writer.write(head.encode() + body)
        else:
            self._end_pending("reset")

    def close(self):
        """Closes the connection; outstanding requests count as given up."""
        self._end_pending("given up")
        if self._writer is not None:
            self._read_task.cancel()
            self._writer.close()

    async def _read_responses(self):
        outcome = "cut"
        try:
            while await self._read_response():
                pass
        except ConnectionResetError:
            outcome = "reset"
        except (OSError, EOFError):
            # The requests that it leaves without a response are recorded below.
            pass
        except (ValueError, LookupError, asyncio.LimitOverrunError) as error:
            ids = [request.request_id for request in self._pending]
            self._checker.record("MIXED", "malformed response", ids=ids, e=repr(error))
        self.is_open = False
        self._end_pending(outcome)
        self._writer.close()

    def _end_pending(self, outcome):
        while self._pending:
            self._pending.popleft().end(outcome)

    async def _read_response(self):
        head = (await self._reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        status_line, *lines = head.rstrip().split("\r\n")
        headers = dict(line.lower().split(": ", 1) for line in lines)
        if not self._pending:
            address = self._address
            self._checker.record(
                "MIXED", "response without a request", address=address, head=head
            )
            return False
        request = self._pending[0]
        request.received_bytes = len(head)
        self._checker.notices.record_told(request.node, headers)
        if headers.get("connection") == "close":
            self.is_closing = True
        request.begun.set()
        if headers.get("transfer-encoding") == "chunked":
            body = await self._read_chunks(request)
        else:
            body = await self._read_body(int(headers["content-length"]), request)
        request.status = int(status_line.split()[1])
        request.has_stamp = "server-stamp" in headers
        request.answered_id = headers.get("attempt-id")
        request.is_body_correct = body == make_body(request.request_id, request.size)
        if self._pending:
            self._pending.popleft().end("answered")
        return True

    async def _read_body(self, length, request):
        parts = []
        while length:
            if self._reads_slowly:
                await asyncio.sleep(SLOW_READ_INTERVAL_S)
            data = await self._reader.read(min(length, SLOW_READ_BYTES))
            if not data:
                raise EOFError
            parts.append(data)
            length -= len(data)
            request.received_bytes += len(data)
        return b"".join(parts)

    async def _read_chunks(self, request):
        parts = []
        kept_bytes = 0
        while length := int(await self._reader.readuntil(b"\r\n"), 16):
            part = await self._read_body(length, request)
            await self._reader.readexactly(2)
            kept_bytes += length
            if kept_bytes <= MAX_KEPT_BODY_BYTES:
                parts.append(part)
        await self._reader.readexactly(2)
        return b"".join(parts)


async def send_once(address, checker, request):
    """Sends a request on a connection of its own and waits until it has ended."""
    connection = KeptConnection(address, checker)
    try:
        await connection.open()
    except OSError:
        request.end("not sent")
        return
    connection.send(request)
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(request.give_up_s):
            await request.done.wait()
    connection.close()


class KeptClient:
    """Client that sends requests to one node in one style.

    :param name: prefix of the request IDs, and seed of the requests.
    :param node: number of the node.
    :param address: tuple of IP address and port of the node.
    :param style: one of :data:`STYLES`.
    :param checker: :class:`~bench.soak_responses.ResponseChecker`.
    :param mean_gap_s: mean time between responses and next requests.
    """

    def __init__(self, name, node, address, style, checker, mean_gap_s):
        self._name = name
        self._node = node
        self._address = address
        self._style = style
        self._checker = checker
        self._mean_gap_s = mean_gap_s
        self._rng = random.Random(name)
        self._count = 0
        self._connection = None

    async def run(self, until):
        """Sends requests until a time, in Unix seconds."""
        while time.time() < until:
            try:
                connection = await self._usable_connection()
            except OSError:
                await asyncio.sleep(RECONNECT_INTERVAL_S)
                continue
            await self._exchange(connection)
            if self._style == "idle":
                await asyncio.sleep(self._rng.uniform(0.2, 2.0))
            elif self._style == "eager":
                if not connection.is_open:
                    await asyncio.sleep(self._rng.uniform(0.0, RECONNECT_INTERVAL_S))
            else:
                await asyncio.sleep(self._rng.expovariate(1 / self._mean_gap_s))
        if self._connection is not None:
            self._connection.close()

    async def _usable_connection(self):
        connection = self._connection
        if connection is not None:
            is_usable = connection.is_open and (
                self._style in IGNORING_CLOSE or not connection.is_closing
            )
            if is_usable and self._style != "new":
                return connection
            connection.close()
        is_slow = self._style.startswith("slow")
        self._connection = KeptConnection(self._address, self._checker, is_slow)
        await self._connection.open()
        return self._connection

    async def _exchange(self, connection):
        counts = {"pipelined": self._rng.randint(2, 5)}
        counts |= {"slow-pipelined": 2, "slow-eager": 2}
        requests = []
        for _ in range(counts.get(self._style, 1)):
            if requests and self._style == "slow-eager":
                await requests[-1].begun.wait()
            requests.append(self._next_request())
            is_post = requests[-1].is_non_idempotent
            body = b"b" * self._rng.choice((0, 100, 5000)) if is_post else b""
            connection.send(requests[-1], body)
        for request in requests:
            try:
                async with asyncio.timeout(request.give_up_s):
                    await request.done.wait()
            except TimeoutError:
                if not request.received_bytes:
                    connection.close()
                await request.done.wait()

    def _next_request(self):
        self._count += 1
        request_id = f"{self._name}.{self._count}"
        service = self._rng.choice(("front", "deep"))
        if self._style == "long":
            return self._next_long_request(request_id, service)
        is_repeatable = self._style.startswith("slow") or self._style == "pipelined"
        is_post = not is_repeatable and self._rng.random() < 0.3
        work_ms = self._rng.randint(5, 150)
        if self._rng.random() < 0.06:
            work_ms = self._rng.randint(500, 2000)
        size = self._rng.choice((20, 2000))
        if self._style.startswith("slow"):
            size = LARGE_BODY_BYTES
        kind, method = ("once", "POST") if is_post else ("get", "GET")
        path = f"/{service}/{kind}/{request_id}?work={work_ms}&size={size}"
        is_alone = not self._style.startswith("slow") and self._style != "pipelined"
        path += draw_endless(self._rng, has_bodies=is_alone)
        return Request(request_id, self._node, self._style, method, path, size)

    def _next_long_request(self, request_id, service):
        work_ms = self._rng.randint(*LONG_WORK_MS)
        path = f"/{service}/slow/{request_id}?work={work_ms}&size=20"
        return Request(
            request_id, self._node, self._style, "GET", path, 20, LONG_DEADLINE_MS
        )

"""Clients of the soak test that keep their connections open.

Each client stays on one node and uses a connection until the node closes it, also while
the node stops.
"""

import asyncio
import random
import socket
import time
from collections import deque

DEADLINE_MS = 4000
# A request without a response is given up after its deadline and a margin.
GIVE_UP_S = 6.0
RECONNECT_INTERVAL_S = 0.05
SMALL_RECEIVE_BUFFER = 4096
SLOW_READ_BYTES = 16384
SLOW_READ_INTERVAL_S = 0.02
LARGE_BODY_BYTES = 400_000
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
)


class RequestRecord:
    """One request of a client and what became of it; times are in Unix seconds.

    :param request_id: value of ``Attempt-Id``.
    :param node: number of the node that received the request.
    :param method: HTTP method.
    :param path: path with query.
    """

    def __init__(self, request_id, node, method, path):
        self.request_id = request_id
        self.node = node
        self.method = method
        self.path = path
        self.style = ""
        # Whether the request was sent before earlier ones on its connection were
        # answered, or after a response that closes the connection.
        self.is_behind = False
        self.sent_at = 0.0
        self.ended_at = None
        # ``answered``, ``cut`` (the connection ended first) or ``given-up``.
        self.outcome = ""
        self.status = 0
        self.has_stamp = False
        self.received_bytes = 0
        self.expected_body = b""
        self.is_body_correct = False
        self.answered_id = None
        self.done = asyncio.Event()

    def __repr__(self):
        return f"<RequestRecord {self.request_id} {self.outcome}>"

    @property
    def is_non_idempotent(self):
        """Whether the request may run at most once."""
        return self.method == "POST"

    def end(self, outcome):
        """Sets the outcome, unless the request has ended before."""
        if self.ended_at is None:
            self.outcome = outcome
            self.ended_at = time.time()
            self.done.set()


class KeptConnection:
    """Connection of a client on which several requests may be outstanding.

    :param address: tuple of IP address and port of the node.
    :param reads_slowly: whether bodies are read slowly with a small buffer.
    :param checker: :class:`~bench.soak_answers.AnswerChecker`.
    """

    def __init__(self, address, reads_slowly, checker):
        self._address = address
        self._reads_slowly = reads_slowly
        self._checker = checker
        self._pending = deque()
        self._reader = None
        self._writer = None
        self._read_task = None
        self.is_closing = False
        self.is_open = False

    def __repr__(self):
        return f"<KeptConnection {len(self._pending)} outstanding>"

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
            async with asyncio.timeout(1.0):
                await asyncio.get_running_loop().sock_connect(sock, self._address)
            self._reader, self._writer = await asyncio.open_connection(
                sock=sock, limit=limit
            )
        except (OSError, TimeoutError) as error:
            sock.close()
            raise OSError("not connected") from error
        self.is_open = True
        self._read_task = asyncio.ensure_future(self._read_responses())

    def send(self, record, body=b""):
        """Sends a request without waiting for earlier responses."""
        record.is_behind = bool(self._pending) or self.is_closing
        record.sent_at = time.time()
        self._pending.append(record)
        self._checker.record_request(record)
        head = f"{record.method} {record.path} HTTP/1.1\r\nHost: soak\r\n"
        head += f"Attempt-Id: {record.request_id}\r\nDeadline-Ms: {DEADLINE_MS}\r\n"
        head += f"Content-Length: {len(body)}\r\n\r\n"
        if self.is_open:
            self._writer.write(head.encode() + body)
        else:
            self._end_pending()

    def close(self):
        """Closes the connection; outstanding requests count as given up."""
        for record in self._pending:
            record.end("given-up")
        if self._writer is not None:
            self._writer.close()

    async def _read_responses(self):
        try:
            while await self._read_response():
                pass
        except (OSError, EOFError, ValueError, asyncio.LimitOverrunError) as error:
            if not isinstance(error, OSError | EOFError):
                self._checker.record_malformed_response(self._pending, repr(error))
        self.is_open = False
        self._end_pending()
        self._writer.close()

    def _end_pending(self):
        while self._pending:
            self._pending.popleft().end("cut")

    async def _read_response(self):
        head = await self._reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        if not self._pending:
            self._checker.record_unasked_response(self._address, lines[0])
            return False
        record = self._pending[0]
        record.received_bytes = len(head)
        record.has_stamp = "server-stamp" in headers
        record.answered_id = headers.get("attempt-id")
        if headers.get("connection", "").lower() == "close":
            self.is_closing = True
        # Styles that do not wait send their next request now, before the body is read.
        body = await self._read_body(int(headers["content-length"]), record)
        record.status = int(lines[0].split()[1])
        record.is_body_correct = body == record.expected_body
        self._pending.popleft()
        record.end("answered")
        return True

    async def _read_body(self, length, record):
        parts = []
        while length:
            if self._reads_slowly:
                await asyncio.sleep(SLOW_READ_INTERVAL_S)
            data = await self._reader.read(min(length, SLOW_READ_BYTES))
            if not data:
                raise EOFError
            parts.append(data)
            length -= len(data)
            record.received_bytes += len(data)
        return b"".join(parts)


class KeptClient:
    """Client that sends requests to one node in one style until it is stopped.

    :param name: prefix of the request IDs.
    :param node: number of the node.
    :param address: tuple of IP address and port of the node.
    :param style: one of :data:`STYLES`.
    :param checker: :class:`~bench.soak_answers.AnswerChecker`.
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
            records = self._send_next(connection)
            await self._wait(connection, records)
            await self._pause()
        if self._connection is not None:
            self._connection.close()

    async def _usable_connection(self):
        connection = self._connection
        if connection is not None:
            # Eager clients use a connection until it ends, whatever the node says.
            ignores_close = self._style in ("eager", "slow-pipelined")
            if connection.is_open and (ignores_close or not connection.is_closing):
                if self._style != "new":
                    return connection
            connection.close()
        self._connection = KeptConnection(
            self._address, self._style.startswith("slow"), self._checker
        )
        await self._connection.open()
        return self._connection

    def _send_next(self, connection):
        count = 1
        if self._style == "pipelined":
            count = self._rng.randint(2, 5)
        elif self._style == "slow-pipelined":
            count = 2
        is_pipelined = count > 1
        records = []
        for _ in range(count):
            record, body = self._next_request(is_pipelined)
            connection.send(record, body)
            records.append(record)
        return records

    def _next_request(self, is_pipelined):
        self._count += 1
        request_id = f"{self._name}.{self._count}"
        service = self._rng.choice(("front", "deep"))
        is_large = self._style.startswith("slow")
        is_non_idempotent = not (is_pipelined or is_large) and self._rng.random() < 0.3
        work_ms = self._rng.randint(5, 150)
        if self._rng.random() < 0.06:
            work_ms = self._rng.randint(500, 2000)
        size = LARGE_BODY_BYTES if is_large else self._rng.choice((20, 2000))
        kind = "once" if is_non_idempotent else "get"
        path = f"/{service}/{kind}/{request_id}?work={work_ms}&size={size}"
        method = "POST" if is_non_idempotent else "GET"
        record = RequestRecord(request_id, self._node, method, path)
        record.style = self._style
        record.expected_body = make_body(request_id, size)
        body = b"b" * self._rng.choice((0, 100, 5000)) if is_non_idempotent else b""
        return record, body

    async def _wait(self, connection, records):
        for record in records:
            remaining_s = record.sent_at + GIVE_UP_S - time.time()
            try:
                async with asyncio.timeout(max(remaining_s, 0.0)):
                    await record.done.wait()
            except TimeoutError:
                if not record.received_bytes:
                    connection.close()
                await record.done.wait()

    async def _pause(self):
        if self._style == "eager":
            return
        if self._style == "idle":
            await asyncio.sleep(self._rng.uniform(0.2, 2.0))
            return
        await asyncio.sleep(self._rng.expovariate(1 / self._mean_gap_s))


def make_body(request_id, size):
    """Returns the body that upstreams send for a request.

    :param size: length in bytes.
    """
    line = request_id.encode() + b"\n"
    return (line * (size // len(line) + 1))[:size]

"""Connections of clients: requests in, answers out in the order of the requests."""

import asyncio
from collections import deque

from ..base._logs import logger
from ..configuration import Limits
from ..wire import RequestReader, render_simple

# Requests that one client may have open on a connection before it is read on.
MAX_PIPELINED = 64
# Bytes that a client has not read before a streamed answer waits.
WRITE_HIGH_BYTES = 256 * 1024
# A client that reads nothing for this long is cut off.
UNREAD_LIMIT_S = 15.0
CHECK_PERIOD_S = 1.0

log = logger("entry")


class Reply:
    """The place of one answer on a connection.

    :param connection: :class:`ClientConnection`.
    :param keeps_alive: whether the client keeps the connection open after it.
    """

    __slots__ = (
        "connection",
        "keeps_alive",
        "call",
        "is_head",
        "head",
        "pieces",
        "is_complete",
        "is_chunked",
        "is_started",
    )

    def __init__(self, connection, keeps_alive, is_head):
        self.connection = connection
        self.keeps_alive = keeps_alive
        self.call = None
        self.is_head = is_head
        self.head = None
        self.pieces = []
        self.is_complete = False
        self.is_chunked = False
        self.is_started = False

    def answer(self, status, head, length, body, is_last):
        """Gives the head and the first part of an answer.

        :param head: status line and headers without framing.
        :param length: length of the whole body, -1 when it is not known.
        :param is_last: whether the body is whole.
        """
        self.is_started = True
        if length < 0 and is_last:
            length = len(body)
        # RFC 9110: answers with these statuses have no body and no length.
        has_body = status not in (204, 304) and not self.is_head
        self.is_chunked = length < 0 and has_body
        framing = b""
        if self.is_chunked:
            framing = b"Transfer-Encoding: chunked\r\n"
        elif has_body:
            framing = b"Content-Length: %d\r\n" % length
        self.head = head + framing
        if has_body:
            self._add(body, is_last)
        self.is_complete = is_last
        self.connection.flush()

    def part(self, body, is_last):
        """Gives a further part of the body."""
        self._add(body, is_last)
        self.is_complete = is_last
        self.connection.flush()

    def abort(self):
        """Cuts the connection, so that the answer does not look complete."""
        self.connection.cut(self)

    def _add(self, body, is_last):
        if not self.is_chunked:
            if body:
                self.pieces.append(body)
            return
        if body:
            self.pieces.append(b"%x\r\n%b\r\n" % (len(body), body))
        if is_last:
            self.pieces.append(b"0\r\n\r\n")


class ClientConnection(asyncio.Protocol):
    """One connection of a client.

    :param entry: :class:`EntryServer`.
    """

    def __init__(self, entry):
        self._entry = entry
        self._transport = None
        self._replies = deque()
        self._reader = RequestReader(
            self._on_request, entry.max_header_bytes, entry.max_body_bytes
        )
        self._is_closing = False
        self._is_paused = False
        self._is_blocked = False
        self.blocked_at = None
        self.idle_since = 0.0

    def connection_made(self, transport):
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_HIGH_BYTES)
        self.idle_since = self._entry.now()
        self._entry.connections.add(self)

    def data_received(self, data):
        if not self._is_closing:
            self._reader.feed(data, self._entry.now())
            if len(self._replies) > MAX_PIPELINED and not self._is_paused:
                self._is_paused = True
                self._transport.pause_reading()

    def pause_writing(self):
        self._is_blocked = True
        self.blocked_at = self._entry.now()

    def resume_writing(self):
        self._is_blocked = False
        self.blocked_at = None
        self.flush()

    def connection_lost(self, error):
        self._is_closing = True
        self._entry.connections.discard(self)
        for reply in self._replies:
            if reply.call is not None:
                self._entry.forwarder.abandon(reply.call)
        self._replies.clear()

    @property
    def is_idle(self):
        """Whether no request has begun or waits for its answer."""
        return not self._replies and not self._reader.in_request

    def closes_after(self, reply):
        """Whether the connection ends after an answer.

        While the node stops this is the last answer that is due: requests behind an
        answer that closes the connection would be lost, though they may run.
        """
        is_last = reply is self._replies[-1] and not self._reader.in_request
        return not reply.keeps_alive or (self._entry.is_stopping and is_last)

    def cut(self, reply):
        """Ends the connection in the middle of an answer."""
        if reply in self._replies:
            self.flush()
            self.close()

    @property
    def is_closing(self):
        """Whether no further request is taken."""
        return self._is_closing

    def finish(self):
        """Closes the connection once what was written has left."""
        self._is_closing = True
        self._transport.close()

    def close(self):
        """Closes the connection at once."""
        self._is_closing = True
        self._transport.abort()

    def flush(self):
        """Writes what is ready, in the order of the requests."""
        replies = self._replies
        while replies and not self._is_blocked and not self._transport.is_closing():
            reply = replies[0]
            if reply.head is not None:
                reply.keeps_alive = not self.closes_after(reply)
                closing = b"" if reply.keeps_alive else b"Connection: close\r\n"
                reply.pieces.insert(0, reply.head + closing + b"\r\n")
                reply.head = None
            if reply.pieces:
                data = b"".join(reply.pieces)
                reply.pieces = []
                self._transport.write(data)
                if reply.call is not None and not reply.is_complete:
                    self._entry.forwarder.read_by_client(reply.call, len(data))
            if not reply.is_complete:
                return
            replies.popleft()
            if not reply.keeps_alive:
                self._end()
                return
        if not replies:
            self.idle_since = self._entry.now()
        if self._is_paused and len(replies) < MAX_PIPELINED // 2:
            self._is_paused = False
            self._transport.resume_reading()

    def check(self, now, limits):
        """Closes the connection when its client is too slow.

        :param now: monotonic seconds.
        :param limits: :class:`~figpick.configuration.Limits`.
        """
        if self.blocked_at is not None:
            if now - self.blocked_at > UNREAD_LIMIT_S:
                self.close()
            return
        if self.is_idle:
            if now - self.idle_since > limits.idle_timeout_s:
                self.close()
            return
        started_at = self._reader.started_at
        if started_at is not None and now - started_at > limits.header_timeout_s:
            self.close()

    def _on_request(self, request):
        if self._is_closing:
            return
        is_head = request.method == b"HEAD"
        reply = Reply(self, request.keeps_alive, is_head)
        self._replies.append(reply)
        if request.refusal is not None:
            head, body = render_simple(request.refusal, "the request is malformed")
            reply.answer(request.refusal, head, len(body), body, True)
            return
        reply.call = self._entry.forwarder.start(request, reply)

    def _end(self):
        # Requests behind an answer that closes the connection count as not read.
        self._is_closing = True
        for reply in self._replies:
            if reply.call is not None:
                self._entry.forwarder.abandon(reply.call)
        self._replies.clear()
        self._transport.close()


class EntryServer:
    """Takes the connections of clients and of the own upstream.

    :param forwarder: :class:`~figpick.nodes._forwarding.Forwarder`.
    :param clock: :class:`~figpick.base._clock.Clock`.
    """

    def __init__(self, forwarder, clock):
        self.forwarder = forwarder
        self._clock = clock
        self._server = None
        self.connections = set()
        self.is_stopping = False

    def __repr__(self):
        return f"<Entry {len(self.connections)} connections>"

    def now(self):
        """Monotonic seconds."""
        return self._clock.monotonic()

    def max_header_bytes(self):
        """Limit for the head of a request."""
        return self._limits().header_bytes

    def max_body_bytes(self):
        """Limit for the body of a request."""
        return self._limits().body_bytes

    async def start(self, address):
        """Starts to listen.

        :param address: tuple of IP address and port.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ClientConnection(self), *address, backlog=1024
        )

    async def enforce_timeouts(self):
        """Closes connections of slow and idle clients until cancelled."""
        while True:
            await asyncio.sleep(CHECK_PERIOD_S)
            now = self.now()
            limits = self._limits()
            for connection in list(self.connections):
                connection.check(now, limits)

    def stop_keep_alive(self):
        """Ends each connection after its next answer."""
        self.is_stopping = True

    @property
    def is_drained(self):
        """Whether no connection is open on which a request may begin or waits."""
        return all(connection.is_closing for connection in self.connections)

    def close_idle(self):
        """Stops to listen and closes the connections without a request."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            if connection.is_idle:
                connection.finish()

    def close(self):
        """Stops to listen and closes all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            # Those that are closing may still have bytes of an answer to write.
            if not connection.is_closing:
                connection.close()

    def _limits(self):
        configuration = self.forwarder.configuration
        return configuration.limits if configuration else Limits()

"""Connections to the upstream on the host of a node."""

import asyncio

from ..wire import BrokenResponseError, ResponseReader

CONNECT_TIMEOUT_S = 1.0
# The upstream may close a connection that has been idle for longer just as the next
# request is sent. Requests that must not run twice use connections with less idle time.
MAX_IDLE_S = 4.0
MAX_IDLE_NON_IDEMPOTENT_S = 0.5
# Subtracted from the idle timeout that the upstream states.
IDLE_MARGIN_S = 2.0


class UpstreamConnection(asyncio.Protocol):
    """One connection to the upstream, used by one request at a time.

    :param pool: :class:`UpstreamPool` to which the connection belongs.
    """

    def __init__(self, pool):
        self._pool = pool
        self._transport = None
        self._exchange = None
        self._reader = None
        self._is_closed = False
        self._max_idle_s = MAX_IDLE_S
        self._is_writing_paused = False
        self.idle_since = 0.0
        self.is_reused = False

    def connection_made(self, transport):
        self._transport = transport

    def pause_writing(self):
        self._is_writing_paused = True

    def resume_writing(self):
        self._is_writing_paused = False
        if self._exchange is not None:
            self._exchange.on_writable()

    @property
    def is_writing_paused(self):
        """Whether the upstream has not read what was sent to it before."""
        return self._is_writing_paused

    @property
    def reader(self):
        """The :class:`~figpick.wire.ResponseReader` of the present request."""
        return self._reader

    @property
    def is_closed(self):
        """Whether the connection is closed."""
        return self._is_closed

    def is_fresh(self, now, max_idle_s):
        """Returns whether the connection has been idle for less than a limit.

        :param now: monotonic seconds.
        :param max_idle_s: limit in seconds; the limit of the connection applies if it
            is lower.
        """
        return now - self.idle_since < min(max_idle_s, self._max_idle_s)

    def start(self, exchange, data, request_id, is_head):
        """Sends a request.

        :param exchange: object whose ``on_response(reader)`` is called for each part of
            the response that arrives, ``on_writable()`` when the upstream reads again,
            and ``on_connection_lost(reason)`` if the connection is lost.
        :param data: request head and the body parts received so far, as bytes.
        :param request_id: id that the response must carry, or ``None``.
        :param is_head: whether the response has no body.
        """
        self._exchange = exchange
        self._reader = ResponseReader(request_id, self._pool.names, is_head)
        self._transport.write(data)

    def write(self, data):
        """Sends a further part of the body."""
        if not self._is_closed:
            self._transport.write(data)

    def pause(self):
        """Pauses reading until the client has read the forwarded data."""
        if not self._is_closed:
            self._transport.pause_reading()

    def resume(self):
        """Resumes reading."""
        if not self._is_closed:
            self._transport.resume_reading()

    def close(self):
        """Closes the connection, which makes the upstream drop a running request."""
        self._exchange = None
        if not self._is_closed:
            self._is_closed = True
            self._transport.abort()
        self._pool.forget(self)

    def release(self, now, may_reuse):
        """Ends the exchange and returns the connection to the pool or closes it.

        :param now: monotonic seconds.
        :param may_reuse: whether the connection may carry further requests.
        """
        reader = self._reader
        self._exchange = None
        if may_reuse and reader.keeps_alive and not self._is_closed:
            stated = _stated_idle_s(reader)
            if stated is not None:
                self._max_idle_s = min(MAX_IDLE_S, stated - IDLE_MARGIN_S)
            self.idle_since = now
            self.is_reused = True
            self._pool.put_back(self)
        else:
            self.close()

    def data_received(self, data):
        exchange = self._exchange
        if exchange is None:
            # Unexpected bytes must not be taken for the response to the next request.
            self.close()
            return
        try:
            self._reader.feed(data)
        except BrokenResponseError as error:
            self._fail(str(error))
            return
        if self._reader.has_head:
            exchange.on_response(self._reader)

    def eof_received(self):
        exchange = self._exchange
        if exchange is not None and self._reader.feed_eof():
            self._reader.keeps_alive = False
            exchange.on_response(self._reader)
        return False

    def connection_lost(self, error):
        self._is_closed = True
        self._fail("reset" if error else "closed")

    def _fail(self, reason):
        exchange, self._exchange = self._exchange, None
        self.close()
        if exchange is not None:
            exchange.on_connection_lost(reason)


class UpstreamPool:
    """Connections to one upstream.

    :param address: tuple of IP address and port.
    :param names: :class:`~figpick.wire.HeaderNames`.
    """

    def __init__(self, address, names):
        self._address = address
        self.names = names
        self._idle = []
        self._open = set()

    def __repr__(self):
        return f"<UpstreamPool {len(self._open)} open>"

    @property
    def host(self):
        """The address as the value of a ``Host`` header."""
        ip, port = self._address
        return f"{ip}:{port}"

    def use_address(self, address):
        """Connects to another address from now on.

        :param address: tuple of IP address and port.
        """
        self._address = address
        self.close_idle()

    def take_idle(self, now, must_run_once):
        """Removes and returns an idle connection, or ``None`` if there is none.

        :param now: monotonic seconds.
        :param must_run_once: whether the request must not run twice.
        """
        max_idle_s = MAX_IDLE_NON_IDEMPOTENT_S if must_run_once else MAX_IDLE_S
        while self._idle:
            connection = self._idle[-1]
            if connection.is_closed:
                self._idle.pop()
                continue
            if connection.is_fresh(now, max_idle_s):
                return self._idle.pop()
            if must_run_once and connection.is_fresh(now, MAX_IDLE_S):
                return None
            self._idle.pop()
            connection.close()
        return None

    async def connect(self):
        """Opens a connection.

        :raises OSError: if the upstream refuses the connection.
        :raises TimeoutError: if the connection is not established in time.
        """
        loop = asyncio.get_running_loop()
        connection = UpstreamConnection(self)
        self._open.add(connection)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.create_connection(lambda: connection, *self._address)
        except BaseException:
            self._open.discard(connection)
            raise
        return connection

    def put_back(self, connection):
        """Adds an idle connection to the pool."""
        self._idle.append(connection)

    def forget(self, connection):
        """Removes a closed connection from the pool."""
        self._open.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)

    def close_idle(self):
        """Closes the idle connections of an upstream that has stopped."""
        for connection in list(self._idle):
            connection.close()


def _stated_idle_s(reader):
    value = reader.header(b"keep-alive")
    if value is None:
        return None
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.isdigit():
            return float(number)
    return None

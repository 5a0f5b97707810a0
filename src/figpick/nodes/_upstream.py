"""Connections to the upstream beside a node."""

import asyncio

from ..wire import BrokenResponseError, ResponseReader

CONNECT_TIMEOUT_S = 1.0
# A connection that was idle for longer may be closed by the upstream just as the
# next request is sent. Requests that must not run twice use fresher ones.
MAX_IDLE_S = 4.0
MAX_IDLE_ONCE_S = 0.5
IDLE_MARGIN_S = 2.0


class UpstreamConnection(asyncio.Protocol):
    """One connection; it carries one request at a time.

    :param pool: :class:`UpstreamPool` that it returns to.
    """

    def __init__(self, pool):
        self._pool = pool
        self._transport = None
        self._exchange = None
        self._reader = None
        self._is_closed = False
        self._max_idle_s = MAX_IDLE_S
        self.idle_since = 0.0
        self.is_reused = False

    def connection_made(self, transport):
        self._transport = transport

    @property
    def is_closed(self):
        """Whether it can no longer be used."""
        return self._is_closed

    def is_fresh(self, now, max_idle_s):
        """Whether it was idle for a short time only."""
        return now - self.idle_since < min(max_idle_s, self._max_idle_s)

    def start(self, exchange, data, request_id, is_head):
        """Sends a request.

        :param exchange: gets ``on_answer(reader)`` for each piece of the answer and
            ``on_lost(reason)`` when no more will come.
        :param data: bytes of the request.
        """
        self._exchange = exchange
        self._reader = ResponseReader(request_id, self._pool.names, is_head)
        self._transport.write(data)

    def write(self, data):
        """Sends a further part of the body."""
        if not self._is_closed:
            self._transport.write(data)

    def pause(self):
        """Stops reading until the answer is passed on."""
        if not self._is_closed:
            self._transport.pause_reading()

    def resume(self):
        """Reads on."""
        if not self._is_closed:
            self._transport.resume_reading()

    def close(self):
        """Closes the connection; the upstream drops the request that it runs."""
        self._exchange = None
        if not self._is_closed:
            self._is_closed = True
            self._transport.abort()
        self._pool.forget(self)

    def release(self, now, may_reuse):
        """Ends the exchange; the connection becomes idle or is closed.

        :param now: monotonic seconds.
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
            # Bytes that no request waits for belong to none.
            self.close()
            return
        try:
            self._reader.feed(data)
        except BrokenResponseError as error:
            self._fail(str(error))
            return
        if self._reader.has_head:
            exchange.on_answer(self._reader)

    def eof_received(self):
        exchange = self._exchange
        if exchange is not None and self._reader.feed_eof():
            self._reader.keeps_alive = False
            exchange.on_answer(self._reader)
        return False

    def connection_lost(self, error):
        self._is_closed = True
        self._fail("reset" if error else "closed")

    def _fail(self, reason):
        exchange, self._exchange = self._exchange, None
        self.close()
        if exchange is not None:
            exchange.on_lost(reason)


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

    def take_idle(self, now, runs_once):
        """Takes an idle connection, ``None`` when there is none.

        :param now: monotonic seconds.
        :param runs_once: whether the request must not run twice.
        """
        max_idle_s = MAX_IDLE_ONCE_S if runs_once else MAX_IDLE_S
        while self._idle:
            connection = self._idle[-1]
            if connection.is_closed:
                self._idle.pop()
                continue
            if connection.is_fresh(now, max_idle_s):
                return self._idle.pop()
            if runs_once and connection.is_fresh(now, MAX_IDLE_S):
                return None
            self._idle.pop()
            connection.close()
        return None

    async def connect(self):
        """Opens a connection.

        :raises OSError: when the upstream refuses it.
        :raises TimeoutError: when it does not answer.
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
        """Takes a connection that is idle."""
        self._idle.append(connection)

    def forget(self, connection):
        """Drops a closed connection."""
        self._open.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)

    def close_idle(self):
        """Closes the idle connections, after the upstream has ended."""
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

"""Pools of client connections.

A connection serves one request at a time and returns to its pool only after the
whole answer was read, so a late answer cannot reach another request.
"""

import socket

from tornado.http1connection import HTTP1ConnectionParameters
from tornado.iostream import IOStream, StreamClosedError

from ..base._settings import split_address

CONNECT_TIMEOUT_S = 1.0
# Devices between two hosts commonly forget connections that stay idle longer.
MAX_IDLE_S = 30.0
MAX_BODY_BYTES = 1 << 40
CHUNK_BYTES = 64 * 1024
MAX_BUFFER_BYTES = 256 * 1024

CONNECTION_PARAMETERS = HTTP1ConnectionParameters(
    chunk_size=CHUNK_BYTES, max_body_size=MAX_BODY_BYTES
)


class Connection:
    """One open connection.

    :param stream: connected ``IOStream``.
    :param last_response_at: monotonic seconds of the last whole answer, or of the
        connect.
    """

    __slots__ = ("stream", "last_response_at", "is_new")

    def __init__(self, stream, last_response_at):
        self.stream = stream
        self.last_response_at = last_response_at
        self.is_new = True

    def close(self):
        """Closes the connection at once."""
        self.stream.close()

    def is_quiet(self):
        """Whether the connection is open and has received nothing.

        Bytes that arrive between two requests would be read as the answer to the
        next one.
        """
        stream = self.stream
        if stream.closed() or stream._read_buffer_size:
            return False
        try:
            stream.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False


class ConnectionPool:
    """Connections to one address.

    :param address: ``ip:port``.
    :param read_bytes: size of the buffer that each read allocates.
    """

    def __init__(self, address, read_bytes=CHUNK_BYTES):
        self.address = address
        self._read_bytes = read_bytes
        self._target = split_address(address)
        self._idle = []

    def __repr__(self):
        return f"<ConnectionPool {self.address} idle {len(self._idle)}>"

    @property
    def idle_count(self):
        """Number of idle connections."""
        return len(self._idle)

    def take_idle(self, now, max_idle_s=MAX_IDLE_S):
        """Takes the idle connection that answered last.

        :param now: monotonic seconds.
        :param max_idle_s: most seconds since its last answer.
        :return: :class:`Connection`, or ``None`` when there is none.
        """
        while self._idle:
            connection = self._idle[-1]
            if now - connection.last_response_at > max_idle_s:
                if max_idle_s >= MAX_IDLE_S:
                    self.close_idle()
                return None
            self._idle.pop()
            if connection.is_quiet():
                connection.is_new = False
                return connection
            connection.close()
        return None

    async def connect(self, now):
        """Opens a connection.

        :param now: monotonic seconds.
        :return: :class:`Connection`.
        :raises StreamClosedError: when the address refuses or does not answer
            within one second.
        """
        stream = IOStream(
            socket.socket(socket.AF_INET, socket.SOCK_STREAM),
            max_buffer_size=MAX_BUFFER_BYTES,
            read_chunk_size=self._read_bytes,
        )
        loop = stream.io_loop
        timer = loop.call_later(CONNECT_TIMEOUT_S, stream.close)
        try:
            await stream.connect(self._target)
        except OSError as error:
            raise StreamClosedError(real_error=error) from error
        finally:
            loop.remove_timeout(timer)
        keep_nodelay(stream)
        return Connection(stream, now)

    def drop_closed(self):
        """Drops the idle connections that the other side has closed.

        :return: how many there were.
        """
        open_ = [item for item in self._idle if not item.stream.closed()]
        dropped = len(self._idle) - len(open_)
        self._idle[:] = open_
        return dropped

    def put_back(self, connection, now):
        """Returns a connection whose whole answer was read.

        :param now: monotonic seconds.
        """
        if connection.stream.closed():
            return
        connection.last_response_at = now
        self._idle.append(connection)

    def close_idle_since(self, last_response_at):
        """Closes the idle connections that last answered before a moment.

        :param last_response_at: monotonic seconds.
        :return: number of connections that stay idle.
        """
        kept = []
        for connection in self._idle:
            if (
                connection.last_response_at < last_response_at
                or connection.stream.closed()
            ):
                connection.close()
            else:
                kept.append(connection)
        self._idle = kept
        return len(kept)

    def close_idle(self):
        """Closes every idle connection."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()


def keep_nodelay(stream):
    """Sends small writes at once for the whole life of a connection.

    The HTTP connection would otherwise switch this off and on for each message, at
    the cost of two system calls.

    :param stream: ``IOStream``.
    """
    stream.set_nodelay(True)
    stream.set_nodelay = _ignore


def _ignore(value):
    pass

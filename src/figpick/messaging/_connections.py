"""Pools of client connections.

A connection carries one request at a time and returns to its pool only after the
whole response was read, so a late response cannot reach another request.
"""

import socket

from tornado.http1connection import HTTP1ConnectionParameters
from tornado.iostream import IOStream, StreamClosedError

from ..base._settings import split_address

CONNECT_TIMEOUT_S = 1.0
# Network devices commonly drop connections that stay idle longer.
MAX_IDLE_S = 30.0
MAX_BODY_BYTES = 1 << 40
CHUNK_BYTES = 64 * 1024
MAX_BUFFER_BYTES = 256 * 1024

CONNECTION_PARAMETERS = HTTP1ConnectionParameters(
    chunk_size=CHUNK_BYTES, max_body_size=MAX_BODY_BYTES
)


class Connection:
    """An open connection of a pool.

    :param stream: connected ``IOStream``.
    :param last_response_at: monotonic seconds of the last complete response, or of
        the connection attempt before the first response.
    """

    __slots__ = ("stream", "last_response_at", "is_new")

    def __init__(self, stream, last_response_at):
        self.stream = stream
        self.last_response_at = last_response_at
        self.is_new = True

    def close(self):
        """Closes the connection immediately."""
        self.stream.close()

    def is_reusable(self):
        """Returns whether the connection is open and has no unread data.

        Bytes that arrive between two requests would be read as the response to the
        next request.
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
    """Pool of connections to one address.

    :param address: ``ip:port``.
    :param read_chunk_bytes: size of the buffer that each read allocates.
    """

    def __init__(self, address, read_chunk_bytes=CHUNK_BYTES):
        self.address = address
        self._read_chunk_bytes = read_chunk_bytes
        self._endpoint = split_address(address)
        self._idle = []

    def __repr__(self):
        return f"<ConnectionPool {self.address} idle {len(self._idle)}>"

    @property
    def idle_count(self):
        """Number of idle connections."""
        return len(self._idle)

    def take_idle(self, now, max_idle_s=MAX_IDLE_S):
        """Removes and returns the most recently used idle connection.

        :param now: monotonic seconds.
        :param max_idle_s: maximum seconds since its last response.
        :return: :class:`Connection`, or ``None`` if none is usable.
        """
        while self._idle:
            connection = self._idle[-1]
            if now - connection.last_response_at > max_idle_s:
                if max_idle_s >= MAX_IDLE_S:
                    self.close_idle()
                return None
            self._idle.pop()
            if connection.is_reusable():
                connection.is_new = False
                return connection
            connection.close()
        return None

    async def connect(self, now):
        """Opens a connection.

        :param now: monotonic seconds.
        :return: :class:`Connection`.
        :raises StreamClosedError: when the address refuses the connection or does
            not accept it within one second.
        """
        stream = IOStream(
            socket.socket(socket.AF_INET, socket.SOCK_STREAM),
            max_buffer_size=MAX_BUFFER_BYTES,
            read_chunk_size=self._read_chunk_bytes,
        )
        loop = stream.io_loop
        timer = loop.call_later(CONNECT_TIMEOUT_S, stream.close)
        try:
            await stream.connect(self._endpoint)
        except OSError as error:
            raise StreamClosedError(real_error=error) from error
        finally:
            loop.remove_timeout(timer)
        keep_nodelay(stream)
        return Connection(stream, now)

    def drop_closed(self):
        """Removes the idle connections that the peer has closed.

        :return: number of removed connections.
        """
        open_ = [item for item in self._idle if not item.stream.closed()]
        dropped = len(self._idle) - len(open_)
        self._idle[:] = open_
        return dropped

    def put_back(self, connection, now):
        """Returns a connection to the pool after its response was read completely.

        :param now: monotonic seconds.
        """
        if connection.stream.closed():
            return
        connection.last_response_at = now
        self._idle.append(connection)

    def close_idle_before(self, cutoff):
        """Closes the idle connections whose last response came before ``cutoff``.

        :param cutoff: monotonic seconds.
        :return: number of idle connections that remain open.
        """
        kept = []
        for connection in self._idle:
            if connection.last_response_at < cutoff or connection.stream.closed():
                connection.close()
            else:
                kept.append(connection)
        self._idle = kept
        return len(kept)

    def close_idle(self):
        """Closes all idle connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()


def keep_nodelay(stream):
    """Sets ``TCP_NODELAY`` permanently on a connection.

    The HTTP connection would otherwise disable and enable it for each message, which
    costs two system calls.

    :param stream: ``IOStream``.
    """
    stream.set_nodelay(True)
    stream.set_nodelay = _ignore_nodelay


def _ignore_nodelay(value):
    pass

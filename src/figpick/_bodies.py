"""The body of a request on its way to an upstream."""

from tornado.concurrent import Future

from ._errors import BodyTooLargeError

# Bodies up to this size are read before the call is sent and can be sent again.
REPLAY_BYTES = 64 * 1024
BUFFER_BYTES = 256 * 1024


class RequestBody:
    """Buffers a body until an attempt sends it, and replays a small one.

    :param limit_bytes: largest body that the service accepts.
    """

    def __init__(self, limit_bytes):
        self._limit_bytes = limit_bytes
        self._chunks = []
        self._size = 0
        self._complete = False
        self._writer = None
        self._waiter = None

    @property
    def complete(self):
        """Whether the caller has sent the whole body."""
        return self._complete

    @property
    def replayable(self):
        """Whether the whole body can be sent again."""
        return self._complete and self._chunks is not None

    @property
    def head(self):
        """First bytes of the body that are still buffered."""
        return b"".join(self._chunks or ())[:REPLAY_BYTES]

    def feed(self, chunk):
        """Takes a chunk from the caller.

        :return: future that resolves when more may be read, or ``None``.
        :raises BodyTooLargeError: when the body exceeds its limit.
        """
        self._size += len(chunk)
        if self._size > self._limit_bytes:
            raise BodyTooLargeError(f"the body is over {self._limit_bytes} bytes")
        if self._writer is not None:
            if self._size > REPLAY_BYTES:
                self._chunks = None
            else:
                self._chunks.append(chunk)
            return self._writer.write(chunk)
        self._chunks.append(chunk)
        if self._size >= BUFFER_BYTES:
            self._waiter = Future()
        return self._waiter

    def finish(self):
        """Notes that the caller has sent the whole body."""
        self._complete = True
        if self._writer is not None:
            self._writer.finish()

    def send(self, http, start_line, headers):
        """Writes the head of a request and its body.

        :param http: client connection; later chunks go there too.
        """
        data = b"".join(self._chunks)
        http.write_headers(start_line, headers, data or None)
        if self._complete:
            http.finish()
        else:
            if self._size > REPLAY_BYTES:
                self._chunks = None
            self._writer = http
        if self._waiter is not None:
            self._waiter.set_result(None)
            self._waiter = None

    def detach(self):
        """Stops writing to the connection of an attempt that has ended."""
        self._writer = None
        if self._chunks is None:
            self._chunks = []

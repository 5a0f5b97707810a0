"""The body of a request on its way to an upstream."""

from tornado.concurrent import Future, future_set_result_unless_cancelled

from ..base._errors import BodyTooLargeError

# Bodies up to this size are read before the call is sent and can be sent again.
REPLAY_BYTES = 64 * 1024
# Reading stops here; one more chunk of 64 KiB can arrive before it does.
BUFFER_BYTES = 192 * 1024
# Methods whose body the HTTP client sends in chunks when its length is not known.
BODY_METHODS = frozenset(("POST", "PUT", "PATCH"))


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
        self._sent = None
        self._waiter = None

    @property
    def size(self):
        """Bytes that the caller has sent."""
        return self._size

    @property
    def complete(self):
        """Whether the caller has sent the whole body."""
        return self._complete

    @property
    def is_replayable(self):
        """Whether the whole body can be sent again."""
        return self._complete and self._chunks is not None

    @property
    def first_bytes(self):
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
            return self._forward(chunk)
        if self._chunks is None:
            # The attempt that streamed the body has ended; nobody needs the rest.
            return None
        self._chunks.append(chunk)
        if self._size >= BUFFER_BYTES and self._waiter is None:
            self._waiter = Future()
        return self._waiter

    def finish(self):
        """Notes that the caller has sent the whole body."""
        self._complete = True
        if self._writer is not None and not self._writer.stream.closed():
            self._writer.finish()
            self._sent()

    def send(self, http, start_line, headers, sent):
        """Writes the head of a request and its body.

        :param http: client connection; later chunks go there too.
        :param sent: function that is called when the whole body was written.
        """
        data = b"".join(self._chunks)
        framed = data or start_line.method in BODY_METHODS
        if self._complete and framed and "Content-Length" not in headers:
            headers["Content-Length"] = str(len(data))
        http.write_headers(start_line, headers, data or None)
        if self._complete:
            http.finish()
        else:
            if self._size > REPLAY_BYTES:
                self._chunks = None
            self._writer = http
            self._sent = sent
        self._resume()

    def detach(self, http):
        """Stops writing to the connection of an attempt that has ended.

        :param http: client connection that was given to :meth:`send`.
        """
        if self._writer is http:
            self._writer = None
            if self._size > REPLAY_BYTES:
                self._chunks = None
            self._resume()

    def discard(self):
        """Drops what is buffered, because the call has ended."""
        self._writer = None
        self._chunks = None
        self._resume()

    def _forward(self, chunk):
        if self._size > REPLAY_BYTES:
            self._chunks = None
        else:
            self._chunks.append(chunk)
        if self._writer.stream.closed():
            return None
        written = self._writer.write(chunk)
        if written.done():
            return None
        # The future of a write never resolves when its connection is closed first.
        self._waiter = Future()
        written.add_done_callback(self._written)
        return self._waiter

    def _written(self, future):
        self._resume()

    def _resume(self):
        if self._waiter is not None:
            future_set_result_unless_cancelled(self._waiter, None)
            self._waiter = None

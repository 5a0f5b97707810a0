"""Buffers the body of a request and streams it to an upstream."""

from tornado.concurrent import Future, future_set_result_unless_cancelled

from ..base._errors import BodyTooLargeError

# A body up to this size is read before the call is sent, so that a retry can send it
# again.
MAX_REPLAY_BYTES = 64 * 1024
# Reading from the caller is paused at this size. One more chunk of 64 KiB can arrive
# before the pause takes effect.
READ_PAUSE_BYTES = 192 * 1024
# Methods for which the HTTP client sends a body of unknown length in chunks.
CHUNKED_BODY_METHODS = frozenset(("POST", "PUT", "PATCH"))


class RequestBody:
    """Buffers a body until an attempt sends it, and keeps a small one for retries.

    :param limit_bytes: largest body that the service accepts.
    """

    def __init__(self, limit_bytes):
        self._limit_bytes = limit_bytes
        self._chunks = []
        self._size = 0
        self._is_complete = False
        self._writer = None
        self._on_sent = None
        self._waiter = None

    @property
    def size(self):
        """Number of bytes received from the caller."""
        return self._size

    @property
    def is_complete(self):
        """Whether the complete body was received from the caller."""
        return self._is_complete

    @property
    def is_replayable(self):
        """Whether the complete body can be sent again by a retry."""
        return self._is_complete and self._chunks is not None

    @property
    def first_bytes(self):
        """The first bytes of the body, empty when they are no longer buffered."""
        return b"".join(self._chunks or ())[:MAX_REPLAY_BYTES]

    def feed(self, chunk):
        """Buffers or forwards a chunk from the caller.

        :return: future that resolves when more may be read, or ``None``.
        :raises BodyTooLargeError: when the body exceeds its limit.
        """
        self._size += len(chunk)
        if self._size > self._limit_bytes:
            raise BodyTooLargeError(f"the body is over {self._limit_bytes} bytes")
        if self._writer is not None:
            return self._forward(chunk)
        if self._chunks is None:
            # The attempt that streamed the body has ended, so the rest is not needed.
            return None
        self._chunks.append(chunk)
        if self._size >= READ_PAUSE_BYTES and self._waiter is None:
            self._waiter = Future()
        return self._waiter

    def finish(self):
        """Marks the body as complete and ends it on the connection of an attempt."""
        self._is_complete = True
        if self._writer is not None and not self._writer.stream.closed():
            self._writer.finish()
            self._on_sent()

    def send(self, http, start_line, headers, on_sent):
        """Writes the request line, the headers and the body received so far.

        :param http: client connection, to which later chunks are written as well.
        :param on_sent: function that is called when :meth:`finish` has ended the body
            on this connection.
        """
        data = b"".join(self._chunks)
        needs_length = data or start_line.method in CHUNKED_BODY_METHODS
        if self._is_complete and needs_length and "Content-Length" not in headers:
            headers["Content-Length"] = str(len(data))
        http.write_headers(start_line, headers, data or None)
        if self._is_complete:
            http.finish()
        else:
            if self._size > MAX_REPLAY_BYTES:
                self._chunks = None
            self._writer = http
            self._on_sent = on_sent
        self._resume()

    def detach(self, http):
        """Stops writing to the connection of an attempt that has ended.

        :param http: client connection that was passed to :meth:`send`.
        """
        if self._writer is http:
            self._writer = None
            if self._size > MAX_REPLAY_BYTES:
                self._chunks = None
            self._resume()

    def discard(self):
        """Drops the buffered chunks because the call has ended."""
        self._writer = None
        self._chunks = None
        self._resume()

    def _forward(self, chunk):
        if self._size > MAX_REPLAY_BYTES:
            self._chunks = None
        else:
            self._chunks.append(chunk)
        if self._writer.stream.closed():
            return None
        written = self._writer.write(chunk)
        if written.done():
            return None
        # The future of a write never resolves when its connection is closed first, so
        # the caller waits for a separate future that _resume() resolves.
        self._waiter = Future()
        written.add_done_callback(self._write_done)
        return self._waiter

    def _write_done(self, future):
        self._resume()

    def _resume(self):
        if self._waiter is not None:
            future_set_result_unless_cancelled(self._waiter, None)
            self._waiter = None

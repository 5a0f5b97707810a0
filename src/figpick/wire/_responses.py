"""Reads the response of an upstream to one request.

An upstream may send a second, late response to an earlier request, a response without
a length, a truncated one, or bytes that are not HTTP at all.
"""

import httptools

from ..base._errors import FigpickError

MAX_HEAD_BYTES = 64 * 1024
# Memory of a header beside its text: a short line needs many times its size.
HEADER_OVERHEAD_BYTES = 128
# RFC 9110, section 15: statuses begin at 100, those of final responses at 200. Statuses
# from 600 on are passed on unchanged and handled as failures.
MIN_STATUS = 100
MIN_FINAL_STATUS = 200
# Limits the bytes in which no head, body or response of another request makes progress:
# interim responses, a head, chunk header or trailer that is not complete.
MAX_STALLED_BYTES = 64 * 1024
# Limits the responses to other requests that are skipped before the awaited one.
MAX_SKIPPED_BYTES = 16 * 1024 * 1024


class BrokenResponseError(FigpickError):
    """A response of an upstream that cannot be forwarded to the caller."""


class ResponseReader:
    """Parses the response to one request.

    :param request_id: request id that the response must echo, or ``None``.
    :param names: :class:`~figpick.wire.HeaderNames`.
    :param is_head: whether the request method was ``HEAD``.
    """

    def __init__(self, request_id, names, is_head=False):
        self._request_id = request_id
        self._names = names
        self._is_head = is_head
        # A request without an id accepts any response.
        self._is_skipping = False
        self.had_foreign_response = False
        self._stalled_bytes = 0
        self._skipped_bytes = 0
        self._has_progressed = False
        # Why the received bytes are no response, ``None`` while they may be one.
        self._fault = None
        self._reset()

    def _reset(self):
        self._parser = httptools.HttpResponseParser(self)
        self.status = 0
        self.headers = []
        self.chunks = []
        self.body_bytes = 0
        self.has_head = False
        self.is_complete = False
        self.keeps_alive = False
        self._is_unframed = True
        self._head_bytes = 0

    def header(self, name):
        """Returns the value of a header, or ``None`` if it is absent.

        :param name: lower-case name.
        """
        for header_name, value in self.headers:
            if header_name.lower() == name:
                return value
        return None

    def feed(self, data):
        """Parses bytes received from the upstream.

        :raises BrokenResponseError: when they are not an HTTP response, arrive after
            the end of the response, or exceed a limit.
        """
        while data:
            data = self._feed_one(data)

    def feed_eof(self):
        """Handles the end of the stream, after the upstream closed its side cleanly.

        :return: whether the response is complete.
        """
        if self.has_head and not self.is_complete and self._is_unframed:
            self.is_complete = not self._is_skipping
        return self.is_complete

    def take_chunks(self):
        """Removes and returns the part of the body received so far."""
        chunks = b"".join(self.chunks)
        self.chunks = []
        return chunks

    def _feed_one(self, data):
        if self.is_complete:
            raise BrokenResponseError("bytes after the end of the response")
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise BrokenResponseError(
                "protocol upgrade that was not requested"
            ) from error
        except httptools.HttpParserError as error:
            # The parser also raises for bytes after a complete response that
            # closes the connection.
            if not (self.is_complete and not self._is_skipping):
                raise BrokenResponseError(f"not an HTTP response: {error}") from error
        if self._fault is not None:
            raise BrokenResponseError(self._fault)
        self._check_limits(len(data))
        return b""

    def _check_limits(self, size):
        """Raises an error if the upstream sends without end and without a response.

        :param size: number of bytes that were parsed since the last check.
        """
        if self._head_bytes > MAX_HEAD_BYTES:
            raise BrokenResponseError("the head of the response is too long")
        self._stalled_bytes = 0 if self._has_progressed else self._stalled_bytes + size
        self._has_progressed = False
        if self._stalled_bytes > MAX_STALLED_BYTES and not self.is_complete:
            raise BrokenResponseError("too many bytes without a part of the response")
        if self.had_foreign_response and not self.has_head:
            self._skipped_bytes += size
            if self._skipped_bytes > MAX_SKIPPED_BYTES:
                raise BrokenResponseError("responses to other requests are too long")

    def on_message_begin(self):
        if self.is_complete:
            self.keeps_alive = False
            self.had_foreign_response = True
            return
        self.status = 0
        self.headers = []
        self.has_head = False
        self._is_skipping = False

    def on_header(self, name, value):
        if self.is_complete:
            return
        self._head_bytes += len(name) + len(value) + HEADER_OVERHEAD_BYTES
        # The parser reports trailers as well; they must not pass for headers. Further
        # headers of a head that is too long arrive until all received bytes are parsed.
        if not self.has_head and self._head_bytes <= MAX_HEAD_BYTES:
            self.headers.append((name, value))

    def on_headers_complete(self):
        if self.is_complete:
            return
        self.status = self._parser.get_status_code()
        if self.status < MIN_STATUS:
            self._fault = f"the status {self.status:03d} is not one of HTTP"
        if self.status < MIN_FINAL_STATUS:
            return
        echoed = self.header(self._names.request_id)
        self._is_skipping = (
            self._request_id is not None
            and echoed is not None
            and echoed != self._request_id
        )
        self._has_progressed = True
        if self._is_skipping:
            self.had_foreign_response = True
            return
        self.has_head = True
        self._is_unframed = (
            self.header(b"content-length") is None
            and self.header(b"transfer-encoding") is None
        )
        self.keeps_alive = (
            self._parser.should_keep_alive() and not self.had_foreign_response
        )
        if self._is_head or self.status in (204, 304):
            self.is_complete = True

    def on_body(self, body):
        self._has_progressed = True
        if self._is_skipping:
            return
        if self.status < MIN_FINAL_STATUS:
            self._fault = "an interim response has a body"
            return
        if self.is_complete:
            # A body behind a response that has none.
            self.keeps_alive = False
            return
        self.chunks.append(body)
        self.body_bytes += len(body)

    def on_message_complete(self):
        if self._is_skipping:
            self._is_skipping = False
            self.headers = []
            return
        if self.status >= MIN_FINAL_STATUS:
            self.is_complete = True

"""Reads the requests of clients from one connection.

llhttp, the parser that httptools wraps, rejects requests with two lengths, with both a
length and chunked encoding, with invalid chunk sizes or with bare line feeds. This
protects against request smuggling, where a request is hidden in the body of another.
"""

from itertools import chain

import httptools

CONTENT_LENGTH = b"content-length"
# Allowance for what the size of a head leaves out, such as the method and blanks.
MAX_UNCOUNTED_BYTES = 1024
# A header line has at least a colon and a line end beside its name and value.
MIN_LINE_BYTES = 3
# Parts of a body are joined up to this size: the parser returns each chunk on its own,
# and an object for each byte or two takes many times their size.
MIN_BODY_PART_BYTES = 4 * 1024
# Headers that are kept as pairs of bytes. Of further ones only the text is kept, since
# the objects of a short line take many times its size.
MAX_LISTED_HEADERS = 64
# Memory beside the text: of a request, of a header in the list, of a part of a body.
REQUEST_OVERHEAD_BYTES = 1024
HEADER_OVERHEAD_BYTES = 176
PART_OVERHEAD_BYTES = 64


class ClientRequest:
    """A request of a client, filled in while it is received.

    :param now: monotonic time in seconds at which its first byte was received.
    """

    __slots__ = (
        "method",
        "target",
        "_listed_headers",
        "_further_lines",
        "_header_bytes",
        "_length_value",
        "body",
        "body_bytes",
        "announced_bytes",
        "keeps_alive",
        "started_at",
        "is_complete",
        "error_status",
        "error_reason",
    )

    def __init__(self, now):
        self.method = b""
        self.target = b""
        self._listed_headers = []
        self._further_lines = bytearray()
        self._header_bytes = 0
        self._length_value = None
        self.body = []
        self.body_bytes = 0
        # Length of the body that the head states, 0 if it states none.
        self.announced_bytes = 0
        self.keeps_alive = True
        self.started_at = now
        self.is_complete = False
        self.error_status = None
        self.error_reason = None

    @property
    def headers(self):
        """The headers, as an iterable of name and value pairs."""
        if not self._further_lines:
            return self._listed_headers
        return chain(self._listed_headers, self._iterate_further())

    @property
    def head_bytes(self):
        """Memory that the head takes, in bytes."""
        return REQUEST_OVERHEAD_BYTES + len(self.target) + self._header_bytes

    @property
    def held_bytes(self):
        """Memory that the request takes, in bytes."""
        parts_bytes = len(self.body) * PART_OVERHEAD_BYTES
        return self.head_bytes + self.body_bytes + parts_bytes

    def add_header(self, name, value, size):
        """Adds a header.

        :param size: length of the name and the value.
        """
        if len(name) == len(CONTENT_LENGTH) and name.lower() == CONTENT_LENGTH:
            # The parser has checked that it is a number, once the head is complete.
            self._length_value = value
        listed = self._listed_headers
        if len(listed) < MAX_LISTED_HEADERS:
            listed.append((name, value))
            self._header_bytes += size + HEADER_OVERHEAD_BYTES
        else:
            self._further_lines += b"%b:%b\r\n" % (name, value)
            self._header_bytes += size + MIN_LINE_BYTES

    def complete_head(self):
        """Sets what the head says of the body."""
        if self._length_value is not None:
            self.announced_bytes = int(self._length_value)

    def discard_headers(self):
        """Frees the headers of a request that was passed on or refused."""
        self._listed_headers = []
        self._further_lines = bytearray()

    def header(self, name):
        """Returns the value of a header, or ``None`` if it is absent.

        :param name: lower-case name.
        """
        for header_name, value in self._listed_headers:
            if header_name.lower() == name:
                return value
        if self._further_lines:
            for header_name, value in self._iterate_further():
                if header_name.lower() == name:
                    return value
        return None

    def _iterate_further(self):
        lines, start = self._further_lines, 0
        while start < len(lines):
            end = lines.index(b"\r\n", start)
            name, _, value = bytes(lines[start:end]).partition(b":")
            yield name, value
            start = end + 2


class RequestReader:
    """Parses a stream of requests.

    :param on_request: called with each :class:`ClientRequest` once it is complete,
        or once it must be rejected with the HTTP status in ``error_status``.
    :param max_header_bytes: function that returns the size limit of a head in bytes.
    :param max_body_bytes: function that returns the size limit of a body in bytes.
    """

    def __init__(self, on_request, max_header_bytes, max_body_bytes):
        self._on_request = on_request
        self._max_header_bytes = max_header_bytes
        self._max_body_bytes = max_body_bytes
        self._parser = httptools.HttpRequestParser(self)
        self._request = None
        self._head_bytes = 0
        self._head_limit_bytes = 0
        # Bytes since the last complete head, byte of a body or complete request.
        self._stalled_bytes = 0
        self._has_progressed = False
        self._now = 0.0
        self._failed = False

    @property
    def has_partial_request(self):
        """Whether a request has been received in part."""
        return self._request is not None

    @property
    def started_at(self):
        """Monotonic seconds at which the partial request began, or ``None``."""
        return self._request.started_at if self._request is not None else None

    @property
    def partial_request(self):
        """The :class:`ClientRequest` that has been received in part, or ``None``."""
        return self._request

    @property
    def partial_bytes(self):
        """Memory that the partial request takes, in bytes."""
        if self._request is None:
            return 0
        # What has made no progress is held by the parser.
        return self._request.held_bytes + self._stalled_bytes

    @property
    def unread_body_bytes(self):
        """Bytes that are missing of a body whose length is known."""
        request = self._request
        if request is None or not request.method:
            return 0
        return max(0, request.announced_bytes - request.body_bytes)

    def feed(self, data, now):
        """Parses bytes received from the client.

        :param now: monotonic time in seconds.
        """
        self._now = now
        while data and not self._failed:
            try:
                self._parser.feed_data(data)
                self._check_progress(len(data))
                return
            except httptools.HttpParserUpgrade as upgrade:
                # The offer is ignored (RFC 9110, section 7.8). The parser stops behind
                # the head of the request that makes it.
                data = data[upgrade.args[0] :]
            except httptools.HttpParserCallbackError as error:
                # The error of a function that the parser called.
                raise error.__context__ or error from None
            except httptools.HttpParserError:
                self.reject(400)

    def on_message_begin(self):
        self._request = ClientRequest(self._now)
        self._head_bytes = 0
        self._head_limit_bytes = self._max_header_bytes()

    def on_url(self, url):
        if self._failed:
            return
        request = self._request
        request.target += url
        self._head_bytes += len(url)
        if self._head_bytes > self._head_limit_bytes:
            self.reject(431)

    def on_header(self, name, value):
        if self._failed:
            return
        size = len(name) + len(value)
        # The parser reports trailers as well; they must not pass for headers.
        request = self._request
        if not request.method:
            request.add_header(name, value, size)
        self._head_bytes += size + MIN_LINE_BYTES
        if self._head_bytes > self._head_limit_bytes:
            self.reject(431)

    def on_headers_complete(self):
        if self._failed:
            return
        self._has_progressed = True
        request = self._request
        request.method = self._parser.get_method()
        request.keeps_alive = self._parser.should_keep_alive()
        if self._parser.get_http_version() != "1.1" or not request.target.startswith(
            b"/"
        ):
            self.reject(400)
        elif self._parser.should_upgrade() and _has_body(request):
            # The parser would take the body for requests.
            self.reject(400)
        else:
            request.complete_head()
            if request.announced_bytes > self._max_body_bytes():
                self.reject(413)

    def on_body(self, body):
        if self._failed:
            return
        request = self._request
        self._has_progressed = True
        parts = request.body
        if parts and len(parts[-1]) < MIN_BODY_PART_BYTES:
            if isinstance(parts[-1], bytes):
                parts[-1] = bytearray(parts[-1])
            parts[-1] += body
        else:
            parts.append(body)
        request.body_bytes += len(body)
        if request.body_bytes > self._max_body_bytes():
            self.reject(413)

    def on_message_complete(self):
        if self._failed:
            return
        self._has_progressed = True
        request = self._request
        self._request = None
        request.is_complete = True
        self._on_request(request)

    def reject(self, status, reason=None):
        """Rejects the request that is being received, and ignores further bytes.

        :param status: HTTP status of the response.
        :param reason: text for the client, ``None`` for that of the status.
        """
        if self._failed:
            return
        self._failed = True
        request = self._request or ClientRequest(self._now)
        self._request = None
        request.body = []
        request.body_bytes = 0
        request.error_status = status
        request.error_reason = reason
        request.keeps_alive = False
        self._on_request(request)

    def _check_progress(self, size):
        """Rejects a head, chunk header or trailer, or empty lines, without end.

        The parser reports a header only once it is complete.
        """
        if self._has_progressed:
            self._has_progressed = False
            self._stalled_bytes = 0
            return
        self._stalled_bytes += size
        if self._stalled_bytes > self._max_header_bytes() + MAX_UNCOUNTED_BYTES:
            is_in_head = self._request is not None and not self._request.method
            self.reject(431 if is_in_head else 400)


def _has_body(request):
    length = request.header(CONTENT_LENGTH)
    is_chunked = request.header(b"transfer-encoding") is not None
    return is_chunked or length not in (None, b"0")

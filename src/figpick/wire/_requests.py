"""Reads the requests of clients from one connection.

llhttp, the parser that httptools wraps, rejects requests with two lengths, with both a
length and chunked encoding, with invalid chunk sizes or with bare line feeds. This
protects against request smuggling, where a request is hidden in the body of another.
"""

import httptools

MAX_TARGET_BYTES = 8 * 1024
# Allowance for what the size of a head leaves out, such as the method and blanks.
MAX_UNCOUNTED_BYTES = 1024
# Parts of a body are joined up to this size: the parser returns each chunk on its own,
# and an object for each byte or two takes many times their size.
MIN_BODY_PART_BYTES = 4 * 1024


class ClientRequest:
    """A request of a client, filled in while it is received.

    :param now: monotonic time in seconds at which its first byte was received.
    """

    __slots__ = (
        "method",
        "target",
        "headers",
        "body",
        "body_bytes",
        "keeps_alive",
        "started_at",
        "is_complete",
        "error_status",
    )

    def __init__(self, now):
        self.method = b""
        self.target = b""
        self.headers = []
        self.body = []
        self.body_bytes = 0
        self.keeps_alive = True
        self.started_at = now
        self.is_complete = False
        self.error_status = None

    def header(self, name):
        """Returns the value of a header, or ``None`` if it is absent.

        :param name: lower-case name.
        """
        for header_name, value in self.headers:
            if header_name.lower() == name:
                return value
        return None


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

    def on_url(self, url):
        if self._failed:
            return
        request = self._request
        request.target += url
        self._count_head_bytes(len(url))
        if len(request.target) > MAX_TARGET_BYTES:
            self.reject(431)

    def on_header(self, name, value):
        if self._failed:
            return
        # The parser reports trailers as well; they must not pass for headers.
        if not self._request.method:
            self._request.headers.append((name, value))
        self._count_head_bytes(len(name) + len(value) + 4)

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

    def on_body(self, body):
        if self._failed:
            return
        request = self._request
        self._has_progressed = True
        parts = request.body
        if parts and len(parts[-1]) < MIN_BODY_PART_BYTES:
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

    def reject(self, status):
        """Rejects the request that is being received, and ignores further bytes.

        :param status: HTTP status of the response.
        """
        if self._failed:
            return
        self._failed = True
        request = self._request or ClientRequest(self._now)
        self._request = None
        request.error_status = status
        request.keeps_alive = False
        self._on_request(request)

    def _check_progress(self, size):
        """Rejects a head, chunk header or trailer, or empty lines, without end.

        The parser reports a header only once it is complete.
        """
        self._stalled_bytes = 0 if self._has_progressed else self._stalled_bytes + size
        self._has_progressed = False
        if self._stalled_bytes > self._max_header_bytes() + MAX_UNCOUNTED_BYTES:
            is_in_head = self._request is not None and not self._request.method
            self.reject(431 if is_in_head else 400)

    def _count_head_bytes(self, size):
        self._head_bytes += size
        if self._head_bytes > self._max_header_bytes():
            self.reject(431)


def _has_body(request):
    length = request.header(b"content-length")
    is_chunked = request.header(b"transfer-encoding") is not None
    return is_chunked or length not in (None, b"0")

"""Relays the response of a call to the caller."""

from typing import NamedTuple

from tornado.httputil import ResponseStartLine

from ._headers import content_length, end_to_end_headers

# A response up to this size is buffered until it is complete. When its connection is
# lost before that, it can be requested again even if the caller or the upstream does
# not support range requests.
MAX_BUFFERED_BYTES = 64 * 1024
HTTP_OK = 200
HTTP_PARTIAL_CONTENT = 206


class Resumption(NamedTuple):
    """The point at which an interrupted response is resumed.

    :param offset: number of body bytes that were forwarded.
    :param etag: strong entity tag of the response.
    """

    offset: int
    etag: str


class ResponseRelay:
    """Relays one response to the caller, from one attempt or several in succession.

    :param node: :class:`~figpick.roles._node.Node`.
    :param caller: connection to the caller.
    :param is_resumable: whether the request is an idempotent GET without a range.
    :param max_stored_bytes: size up to which the response body is kept for storage.
    :param finish: function that ends the response to the caller.
    """

    def __init__(self, node, caller, is_resumable, max_stored_bytes, finish):
        self._node = node
        self._caller = caller
        self._is_resumable = is_resumable
        self._finish_response = finish
        self._attempt = None
        self._start_line = None
        self._headers = None
        self._etag = None
        self._length = None
        self._forwarded_bytes = 0
        self._buffer = None
        self._stored_body = bytearray()
        self._max_stored_bytes = max_stored_bytes
        self.has_started = False
        self.is_complete = False
        self.status = 0

    @property
    def size(self):
        """Number of body bytes that were forwarded or are buffered."""
        return self._forwarded_bytes + sum(len(chunk) for chunk in self._buffer or ())

    @property
    def is_restartable(self):
        """Whether another attempt can produce the rest of the response."""
        return not self.has_started or self.resumption is not None

    @property
    def resumption(self):
        """:class:`Resumption` of a started response, ``None`` if not resumable."""
        if not self.has_started or not self._is_resumable or self._etag is None:
            return None
        return Resumption(self._forwarded_bytes, self._etag)

    @property
    def storable_response(self):
        """Dict with the complete response, or ``None`` when it was not kept."""
        if not self.is_complete or not self._max_stored_bytes:
            return None
        if len(self._stored_body) > self._max_stored_bytes:
            return None
        return {
            "status": self.status,
            "headers": list(self._headers.get_all()),
            "body": self._stored_body.decode("latin-1"),
        }

    def handle_head(self, attempt, start_line, headers):
        """Handles the status line and the headers of a response.

        :param attempt: :class:`~figpick.calls._attempts.Attempt`.
        :return: whether the response of this attempt is relayed.
        :raises HeadTooLargeError: when the headers exceed their limit.
        """
        previous = self._attempt
        if previous is not None and previous is not attempt:
            if previous.is_active and not previous.is_suspected:
                return False
            previous.abort()
        if self.has_started:
            return self._resume(attempt, start_line, headers)
        self._attempt = attempt
        self._start_line = start_line
        self._headers = end_to_end_headers(headers)
        self.status = start_line.code
        self._length = content_length(headers)
        self._etag = self._strong_etag(headers)
        is_buffered = self._length is not None and self._length <= MAX_BUFFERED_BYTES
        self._buffer = [] if is_buffered else None
        self._stored_body.clear()
        return True

    def handle_chunk(self, attempt, chunk):
        """Handles a chunk of the body.

        :return: future that resolves when more may be read, or ``None``.
        """
        if attempt is not self._attempt:
            return None
        if len(self._stored_body) <= self._max_stored_bytes:
            self._stored_body += chunk[: self._max_stored_bytes + 1]
        if self._buffer is not None:
            self._buffer.append(chunk)
            return None
        self._forwarded_bytes += len(chunk)
        if self.has_started:
            return self._pending_write(self._caller.write(chunk))
        return self._pending_write(self._start(chunk))

    def handle_end(self, attempt):
        """Handles the end of the body.

        :return: whether the complete response was relayed.
        """
        if attempt is not self._attempt:
            return False
        if not self.has_started:
            body = b"".join(self._buffer) if self._buffer else None
            self._start(body)
        elif self._length is not None and self._forwarded_bytes != self._length:
            return False
        self.is_complete = True
        self._finish_response()
        return True

    def _start(self, chunk):
        self.has_started = True
        line = self._start_line
        if self._node.is_draining:
            self._headers["Connection"] = "close"
        start_line = ResponseStartLine("HTTP/1.1", line.code, line.reason)
        return self._caller.write_headers(start_line, self._headers, chunk)

    def _pending_write(self, written):
        return None if written.done() else written

    def _strong_etag(self, headers):
        etag = headers.get("Etag", "")
        if self.status == HTTP_OK and etag.startswith('"'):
            return etag
        return None

    def _resume(self, attempt, start_line, headers):
        if start_line.code != HTTP_PARTIAL_CONTENT or headers.get("Etag") != self._etag:
            return False
        first, last, total = parse_content_range(headers.get("Content-Range", ""))
        if first != self._forwarded_bytes or last != total - 1:
            return False
        if self._length not in (None, total):
            return False
        self._length = total
        self._attempt = attempt
        return True


def parse_content_range(value):
    """Parses ``bytes first-last/total``.

    :return: tuple of three integers, each -1 when the value is not of this form.
    """
    unit, _, rest = value.partition(" ")
    span, _, total = rest.partition("/")
    first, _, last = span.partition("-")
    numbers = (first, last, total)
    if unit != "bytes" or not all(n.isascii() and n.isdigit() for n in numbers):
        return -1, -1, -1
    return int(first), int(last), int(total)

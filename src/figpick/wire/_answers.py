"""Reads the answer of an upstream to one request.

Upstreams may send a late second answer to an earlier request, an answer without a
length, one that is cut short, or bytes that are no answer at all.
"""

import httptools

from ..base._errors import FigpickError

MAX_HEAD_BYTES = 64 * 1024


class BrokenResponseError(FigpickError):
    """An answer that cannot be passed on as the upstream's."""


class ResponseReader:
    """Parses the answer to one request.

    :param request_id: id that the answer must echo, or ``None``.
    :param names: :class:`~figpick.wire.HeaderNames`.
    :param is_head: whether the request was a ``HEAD``.
    """

    def __init__(self, request_id, names, is_head=False):
        self._request_id = request_id
        self._names = names
        self._is_head = is_head
        # Requests without an id take any answer.
        self._skips = False
        self.had_foreign = False
        self._reset()

    def _reset(self):
        self._parser = httptools.HttpResponseParser(self)
        self.status = 0
        self.headers = []
        self.chunks = []
        self.body_bytes = 0
        self.has_head = False
        self.complete = False
        self.keeps_alive = False
        self._unframed = True
        self._head_bytes = 0
        self._rest = b""

    def header(self, name):
        """Gives the value of a header, ``None`` without it."""
        for each, value in self.headers:
            if each.lower() == name:
                return value
        return None

    def feed(self, data):
        """Takes bytes of the upstream.

        :raises BrokenResponseError: when they are not an answer, or more than one.
        """
        while data:
            data = self._feed_one(data)

    def feed_eof(self):
        """Notes that the upstream closed its side in an orderly way.

        :return: whether the answer is complete.
        """
        if self.has_head and not self.complete and self._unframed:
            self.complete = not self._skips
        return self.complete

    def take_chunks(self):
        """Takes the body that has come so far."""
        chunks = b"".join(self.chunks)
        self.chunks = []
        return chunks

    def _feed_one(self, data):
        if self.complete:
            raise BrokenResponseError("bytes after the end of the answer")
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise BrokenResponseError("an upgrade that was not asked for") from error
        except httptools.HttpParserError as error:
            # The parser also raises for bytes behind a complete answer that
            # closes the connection.
            if not (self.complete and not self._skips):
                raise BrokenResponseError(f"not an answer: {error}") from error
        if self._head_bytes > MAX_HEAD_BYTES:
            raise BrokenResponseError("the head of the answer is too long")
        return b""

    def on_message_begin(self):
        if self.complete:
            self.keeps_alive = False
            self.had_foreign = True
            return
        self.status = 0
        self.headers = []
        self.has_head = False
        self._skips = False

    def on_header(self, name, value):
        if self.complete:
            return
        self.headers.append((name, value))
        self._head_bytes += len(name) + len(value) + 4

    def on_headers_complete(self):
        if self.complete:
            return
        self.status = self._parser.get_status_code()
        if self.status < 200:
            return
        echoed = self.header(self._names.request_id)
        self._skips = (
            self._request_id is not None
            and echoed is not None
            and echoed != self._request_id
        )
        if self._skips:
            self.had_foreign = True
            return
        self.has_head = True
        self._unframed = (
            self.header(b"content-length") is None
            and self.header(b"transfer-encoding") is None
        )
        self.keeps_alive = self._parser.should_keep_alive() and not self.had_foreign
        if self._is_head or self.status in (204, 304):
            self.complete = True

    def on_body(self, body):
        if self._skips or self.complete:
            return
        self.chunks.append(body)
        self.body_bytes += len(body)

    def on_message_complete(self):
        if self._skips:
            self._skips = False
            self.headers = []
            return
        if self.status >= 200:
            self.complete = True

"""The answer of a call as it is passed on to the caller."""

from typing import NamedTuple

from tornado.httputil import ResponseStartLine

from ._headers import content_length, forwarded_headers

# An answer up to this size is passed on when it is whole, so that it can be fetched
# again after a break even by callers and upstreams that know no ranges.
HOLD_BYTES = 64 * 1024
HTTP_OK = 200
HTTP_PARTIAL = 206


class Resumption(NamedTuple):
    """Where an interrupted answer goes on.

    :param offset: bytes that were passed on.
    :param etag: strong entity tag of the answer.
    """

    offset: int
    etag: str


class AnswerRelay:
    """Passes one answer on to the caller, from one attempt or several in turn.

    :param node: :class:`~figpick.roles._node.Node`.
    :param caller: connection to the caller.
    :param resumable: whether the request is an idempotent GET for the whole body.
    :param keep_bytes: size up to which the body of the answer is also kept.
    :param finish: function that ends the answer to the caller.
    """

    def __init__(self, node, caller, resumable, keep_bytes, finish):
        self._node = node
        self._caller = caller
        self._resumable = resumable
        self._finish = finish
        self._owner = None
        self._start_line = None
        self._headers = None
        self._etag = None
        self._length = None
        self._passed = 0
        self._held = None
        self._kept = bytearray()
        self._keep_bytes = keep_bytes
        self.started = False
        self.complete = False
        self.status = 0

    @property
    def size(self):
        """Bytes of the body that were passed on or are held."""
        return self._passed + sum(len(chunk) for chunk in self._held or ())

    @property
    def restartable(self):
        """Whether another attempt can produce the rest of the answer."""
        return not self.started or self.resumption is not None

    @property
    def resumption(self):
        """The :class:`Resumption` of a started answer, ``None`` without one."""
        if not self.started or not self._resumable or self._etag is None:
            return None
        return Resumption(self._passed, self._etag)

    @property
    def short_answer(self):
        """Dict with the whole answer, or ``None`` when it was not kept."""
        if not self.complete or not self._keep_bytes:
            return None
        if len(self._kept) > self._keep_bytes:
            return None
        return {
            "status": self.status,
            "headers": list(self._headers.get_all()),
            "body": self._kept.decode("latin-1"),
        }

    def begin(self, attempt, start_line, headers):
        """Takes the head of an answer.

        :param attempt: :class:`~figpick.calls._attempts.Attempt`.
        :return: whether the answer of this attempt is passed on.
        :raises HeadTooLargeError: when the headers exceed their limit.
        """
        owner = self._owner
        if owner is not None and owner is not attempt:
            if owner.active and not owner.suspected:
                return False
            owner.abandon()
        if self.started:
            return self._continue(attempt, start_line, headers)
        self._owner = attempt
        self._start_line = start_line
        self._headers = forwarded_headers(headers)
        self.status = start_line.code
        self._length = content_length(headers)
        self._etag = self._strong_etag(headers)
        held = self._length is not None and self._length <= HOLD_BYTES
        self._held = [] if held else None
        self._kept.clear()
        return True

    def pass_on(self, attempt, chunk):
        """Takes a part of the body.

        :return: future to await before more is read, or ``None``.
        """
        if attempt is not self._owner:
            return None
        if len(self._kept) <= self._keep_bytes:
            self._kept += chunk[: self._keep_bytes + 1]
        if self._held is not None:
            self._held.append(chunk)
            return None
        self._passed += len(chunk)
        if self.started:
            return self._pending(self._caller.write(chunk))
        return self._pending(self._start(chunk))

    def end(self, attempt):
        """Takes the end of the body.

        :return: whether the whole answer was passed on.
        """
        if attempt is not self._owner:
            return False
        if not self.started:
            held = b"".join(self._held) if self._held else None
            self._start(held)
        elif self._length is not None and self._passed != self._length:
            return False
        self.complete = True
        self._finish()
        return True

    def _start(self, chunk):
        self.started = True
        line = self._start_line
        if self._node.draining:
            self._headers["Connection"] = "close"
        start_line = ResponseStartLine("HTTP/1.1", line.code, line.reason)
        return self._caller.write_headers(start_line, self._headers, chunk)

    def _pending(self, written):
        return None if written.done() else written

    def _strong_etag(self, headers):
        etag = headers.get("Etag", "")
        if self.status == HTTP_OK and etag.startswith('"'):
            return etag
        return None

    def _continue(self, attempt, start_line, headers):
        if start_line.code != HTTP_PARTIAL or headers.get("Etag") != self._etag:
            return False
        first, last, total = parse_content_range(headers.get("Content-Range", ""))
        if first != self._passed or last != total - 1:
            return False
        if self._length not in (None, total):
            return False
        self._length = total
        self._owner = attempt
        return True


def parse_content_range(value):
    """Reads ``bytes first-last/total``.

    :return: tuple of three integers, each -1 when the value is not of this form.
    """
    unit, _, rest = value.partition(" ")
    span, _, total = rest.partition("/")
    first, _, last = span.partition("-")
    numbers = (first, last, total)
    if unit != "bytes" or not all(n.isascii() and n.isdigit() for n in numbers):
        return -1, -1, -1
    return int(first), int(last), int(total)

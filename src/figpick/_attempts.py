"""One attempt of a call: sends the request and relays the answer."""

from typing import NamedTuple

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders, HTTPMessageDelegate, RequestStartLine
from tornado.iostream import StreamClosedError

from . import _context
from ._connections import PARAMETERS

HOP_HEADERS = frozenset(
    (
        "Connection",
        "Keep-Alive",
        "Proxy-Authenticate",
        "Proxy-Authorization",
        "Proxy-Connection",
        "Te",
        "Trailer",
        "Transfer-Encoding",
        "Upgrade",
    )
)
OWN_PREFIX = "Figpick-"


class AttemptResult(NamedTuple):
    """How an attempt ended.

    :param complete: whether the whole answer was relayed.
    :param started: whether any part of the answer reached the caller.
    :param status: HTTP status of the answer, 0 without one.
    """

    complete: bool
    started: bool
    status: int


def forwarded_headers(headers):
    """Copies the headers that travel end to end.

    :param headers: headers from a caller or an upstream.
    :return: ``HTTPHeaders`` without hop headers and without ``Figpick-*``.
    """
    copied = HTTPHeaders()
    named = headers.get("Connection")
    dropped = _named_headers(named) if named else ()
    for name, value in headers.get_all():
        if name in HOP_HEADERS or name.startswith(OWN_PREFIX) or name in dropped:
            continue
        copied.add(name, value)
    return copied


def _named_headers(value):
    return {name.strip().title() for name in value.split(",")}


class Attempt(HTTPMessageDelegate):
    """Sends a call on one connection and relays the answer to the caller.

    :param plan: :class:`~figpick._plans.CallPlan`.
    :param connection: :class:`~figpick._connections.Connection`.
    :param caller: connection to the caller.
    :param keep_bytes: size up to which the body of the answer is also kept.
    """

    def __init__(self, plan, connection, caller, keep_bytes=0):
        self._plan = plan
        self._connection = connection
        self._caller = caller
        self._start_line = None
        self._headers = None
        self._complete = False
        self._kept = bytearray()
        self._keep_bytes = keep_bytes
        self.started = False
        self.status = 0

    @property
    def short_answer(self):
        """Dict with the whole answer, or ``None`` when it was not kept."""
        if not self._complete or not self._keep_bytes:
            return None
        if len(self._kept) > self._keep_bytes:
            return None
        return {
            "status": self.status,
            "headers": list(self._headers.get_all()),
            "body": self._kept.decode("latin-1"),
        }

    async def run(self, headers, body, key):
        """Sends the request and relays the answer.

        :param headers: end-to-end headers of the request.
        :param body: :class:`~figpick._bodies.RequestBody`.
        :param key: shared key that signs the context.
        :return: :class:`AttemptResult`.
        """
        plan = self._plan
        headers[_context.HEADER] = _context.encode(plan.context, key)
        stream = self._connection.stream
        http = HTTP1Connection(stream, True, PARAMETERS)
        start_line = RequestStartLine(plan.method, plan.target, "HTTP/1.1")
        body.send(http, start_line, headers)
        try:
            await http.read_response(self)
        except StreamClosedError:
            self._complete = False
        if not self._complete:
            body.detach()
            self._connection.close()
        return AttemptResult(self._complete, self.started, self.status)

    def headers_received(self, start_line, headers):
        if 100 <= start_line.code < 200:
            return
        self.status = start_line.code
        self._start_line = start_line
        self._headers = forwarded_headers(headers)

    def data_received(self, chunk):
        if len(self._kept) <= self._keep_bytes:
            self._kept += chunk[: self._keep_bytes + 1]
        if not self.started:
            return self._start(chunk)
        return self._pending(self._caller.write(chunk))

    def finish(self):
        if self._connection.stream.error is not None:
            # A body that ends with its connection looks whole after a reset.
            return
        if not self.started:
            self._start(None)
        self._caller.finish()
        self._complete = True

    def on_connection_close(self):
        self._complete = False

    def _start(self, chunk):
        self.started = True
        written = self._caller.write_headers(self._start_line, self._headers, chunk)
        return self._pending(written)

    def _pending(self, written):
        return None if written.done() else written

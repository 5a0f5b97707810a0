"""One attempt of a call: sends the request and relays the answer."""

from typing import NamedTuple

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders, HTTPMessageDelegate, RequestStartLine
from tornado.iostream import StreamClosedError

from ..base._errors import CallError
from ..messaging._connections import PARAMETERS
from . import _context
from ._headers import closes, content_length


class AttemptResult(NamedTuple):
    """How an attempt ended.

    :param complete: whether the whole answer was relayed.
    :param broken: whether the upstream closed or reset the connection.
    :param status: HTTP status of the answer, 0 without one.
    """

    complete: bool
    broken: bool
    status: int


class Attempt(HTTPMessageDelegate):
    """Sends a call on one connection and relays the answer to the caller.

    :param plan: :class:`~figpick.calls._plans.CallPlan`.
    :param upstream: :class:`~figpick.routing._upstreams.Upstream`.
    :param connection: :class:`~figpick.messaging._connections.Connection`.
    :param relay: :class:`~figpick.calls._relays.AnswerRelay`.
    :param silence: :class:`~figpick.routing._silence.SilenceWatch`.
    :param dispatch: told by ``suspect(attempt)`` and ``give_up(attempt)`` that the
        connection may be silent.
    """

    def __init__(self, plan, upstream, connection, relay, silence, dispatch):
        self._plan = plan
        self._upstream = upstream
        self._connection = connection
        self._relay = relay
        self._silence = silence
        self._dispatch = dispatch
        self._flight = None
        self._body = None
        self._abandoned = False
        self._relays = False
        self._closes = False
        self._until_close = False
        self._ended = False
        self._complete = False
        self._status = 0

    @property
    def active(self):
        """Whether the attempt can still relay its answer."""
        return not self._abandoned and not self._ended

    @property
    def suspected(self):
        """Whether its connection is suspected of being silent."""
        return self._flight is not None and self._flight.suspected

    @property
    def reusable(self):
        """Whether the connection can serve another request."""
        return self._complete and not self._closes

    async def run(self, headers, body, key):
        """Sends the request and relays the answer.

        :param headers: end-to-end headers of the request.
        :param body: :class:`~figpick.calls._bodies.RequestBody`.
        :param key: shared key that signs the context.
        :return: :class:`AttemptResult`.
        """
        plan = self._plan
        headers[_context.CONTEXT_HEADER] = _context.encode(plan.context, key)
        resumption = self._relay.resumption
        if resumption is not None:
            headers = HTTPHeaders(headers)
            headers["Range"] = f"bytes={resumption.offset}-"
            headers["If-Range"] = resumption.etag
        http = HTTP1Connection(self._connection.stream, True, PARAMETERS)
        self._body = body
        self._flight = self._silence.start(plan, self._upstream, self._connection, self)
        self._flight.waiting = body.complete
        start_line = RequestStartLine(plan.method, plan.target, "HTTP/1.1")
        try:
            body.send(http, start_line, headers, self._sent)
            await http.read_response(self)
        except StreamClosedError:
            pass
        finally:
            self._ended = True
            self._silence.end(self._upstream, self._flight)
            body.detach(http)
        if self._until_close and not self._complete:
            await self._finish_closed()
        broken = not self._complete and not self._abandoned
        return AttemptResult(self._complete, broken, self._status)

    def abandon(self):
        """Closes the connection, because its answer is no longer wanted."""
        self._abandoned = True
        self._connection.close()

    def on_suspect(self):
        self._dispatch.suspect(self)

    def on_give_up(self):
        self._dispatch.give_up(self)

    def headers_received(self, start_line, headers):
        if 100 <= start_line.code < 200:
            self._silence.note_progress(self._flight, self._flight.waiting)
            return
        self._silence.note_head(self._upstream, self._flight)
        self._flight.waiting = True
        try:
            self._relays = self._relay.begin(self, start_line, headers)
        except CallError:
            self._relays = False
        if not self._relays:
            self.abandon()
            return
        self._status = start_line.code
        self._closes = closes(start_line, headers)
        self._until_close = (
            content_length(headers) is None
            and "Transfer-Encoding" not in headers
            and self._plan.method != "HEAD"
            and start_line.code not in (204, 304)
        )

    def data_received(self, chunk):
        if self._abandoned:
            return None
        pending = self._relay.pass_on(self, chunk)
        self._silence.note_progress(self._flight, pending is None)
        if pending is not None:
            pending.add_done_callback(self._passed)
        return pending

    def finish(self):
        if self._abandoned or self._connection.stream.error is not None:
            # A body that ends with its connection looks whole after a reset.
            return
        if self._until_close:
            return
        self._complete = self._relay.end(self)
        if not self._body.complete:
            # The upstream answered without the rest of the request.
            self._closes = True
            self._connection.close()

    def on_connection_close(self):
        pass

    def _sent(self):
        self._silence.note_progress(self._flight)

    def _passed(self, future):
        if not self._ended:
            self._silence.note_progress(self._flight)

    async def _finish_closed(self):
        """Ends an answer that is delimited by the close of its connection.

        The end of such a body looks the same when the upstream crashed, so the
        answer counts as whole only while the upstream accepts connections.
        """
        if self._abandoned or self._connection.stream.error is not None:
            return
        try:
            probe = await self._upstream.pool.connect(self._connection.answered_at)
        except StreamClosedError:
            return
        probe.close()
        if not self._abandoned:
            self._complete = self._relay.end(self)
            self._closes = True

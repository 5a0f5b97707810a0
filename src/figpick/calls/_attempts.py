"""One attempt of a call: sends the request and relays the response."""

import asyncio
from typing import NamedTuple

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders, HTTPMessageDelegate, RequestStartLine
from tornado.iostream import StreamClosedError

from ..base._errors import CallError
from ..messaging._connections import CONNECTION_PARAMETERS
from . import _context
from ._headers import closes_connection, content_length

MIN_STATUS = 100


class AttemptResult(NamedTuple):
    """The result of an attempt.

    :param is_complete: whether the complete response was relayed.
    :param connection_lost: whether the upstream closed or reset the connection before
        the response was complete.
    :param status: HTTP status of the response, 0 without one.
    """

    is_complete: bool
    connection_lost: bool
    status: int


class Attempt(HTTPMessageDelegate):
    """Sends a call on one connection and relays the response to the caller.

    :param plan: :class:`~figpick.calls._plans.CallPlan`.
    :param upstream: :class:`~figpick.routing._upstream_set.Upstream`.
    :param connection: :class:`~figpick.messaging._connections.Connection`.
    :param relay: :class:`~figpick.calls._relays.ResponseRelay`.
    :param silence_detector:
        :class:`~figpick.routing._silent_connections.SilenceDetector`.
    :param dispatch: :class:`~figpick.calls._dispatch.Dispatch`, notified when the
        connection may be silent.
    """

    def __init__(self, plan, upstream, connection, relay, silence_detector, dispatch):
        self._plan = plan
        self._upstream = upstream
        self._connection = connection
        self._relay = relay
        self._silence_detector = silence_detector
        self._dispatch = dispatch
        self._progress = None
        self._body = None
        self._is_aborted = False
        self._is_cancelled = False
        self._is_relayed = False
        self._closes_connection = False
        self._is_close_delimited = False
        self._has_ended = False
        self._is_complete = False
        self._status = 0

    @property
    def is_active(self):
        """Whether the attempt can still relay its response."""
        return not self._is_aborted and not self._has_ended

    @property
    def is_suspected(self):
        """Whether the connection is suspected of being silent."""
        return self._progress is not None and self._progress.is_suspected

    @property
    def is_reusable(self):
        """Whether the connection can serve another request."""
        return self._is_complete and not self._closes_connection

    async def run(self, headers, body, key):
        """Sends the request and relays the response.

        :param headers: end-to-end headers of the request.
        :param body: :class:`~figpick.calls._bodies.RequestBody`.
        :param key: shared key with which the context is signed.
        :return: :class:`AttemptResult`.
        """
        plan = self._plan
        headers[_context.CONTEXT_HEADER] = _context.encode(plan.context, key)
        resumption = self._relay.resumption
        if resumption is not None:
            headers = HTTPHeaders(headers)
            headers["Range"] = f"bytes={resumption.offset}-"
            headers["If-Range"] = resumption.etag
        http = HTTP1Connection(self._connection.stream, True, CONNECTION_PARAMETERS)
        self._body = body
        self._progress = self._silence_detector.track(
            plan, self._upstream, self._connection, self
        )
        self._progress.awaits_upstream = body.is_complete
        start_line = RequestStartLine(plan.method, plan.target, "HTTP/1.1")
        try:
            body.send(http, start_line, headers, self._request_sent)
            await http.read_response(self)
        except StreamClosedError:
            pass
        finally:
            self._has_ended = True
            self._silence_detector.untrack(self._upstream, self._progress)
            body.detach(http)
        if self._is_cancelled:
            raise asyncio.CancelledError
        if self._is_close_delimited and not self._is_complete:
            await self._finish_close_delimited()
        connection_lost = not self._is_complete and not self._is_aborted
        return AttemptResult(self._is_complete, connection_lost, self._status)

    def abort(self):
        """Closes the connection because the response is no longer needed."""
        self._is_aborted = True
        self._connection.close()

    def on_suspect(self):
        self._dispatch.start_backup(self)

    def on_give_up(self):
        self._dispatch.abort_silent(self)

    def headers_received(self, start_line, headers):
        if 100 <= start_line.code < 200:
            self._silence_detector.record_progress(
                self._progress, self._progress.awaits_upstream
            )
            return
        if start_line.code < MIN_STATUS:
            # RFC 9110, section 15: it is not a status, so this is not a response.
            self.abort()
            return
        self._silence_detector.record_response_head(self._upstream, self._progress)
        self._progress.awaits_upstream = True
        try:
            self._is_relayed = self._relay.handle_head(self, start_line, headers)
        except CallError:
            self._is_relayed = False
        if not self._is_relayed:
            self.abort()
            return
        self._status = start_line.code
        self._closes_connection = closes_connection(start_line, headers)
        self._is_close_delimited = (
            content_length(headers) is None
            and "Transfer-Encoding" not in headers
            and self._plan.method != "HEAD"
            and start_line.code not in (204, 304)
        )

    def data_received(self, chunk):
        if self._is_aborted:
            return None
        pending = self._relay.handle_chunk(self, chunk)
        self._silence_detector.record_progress(self._progress, pending is None)
        if pending is None:
            return None
        pending.add_done_callback(self._chunk_forwarded)
        return self._wait_for_caller(pending)

    def finish(self):
        if self._is_aborted or self._connection.stream.error is not None:
            # A body that is delimited by the close of its connection looks complete
            # after a reset.
            return
        if self._is_close_delimited:
            return
        self._is_complete = self._relay.handle_end(self)
        if not self._body.is_complete:
            # The upstream responded before it received the rest of the request.
            self._closes_connection = True
            self._connection.close()

    def on_connection_close(self):
        pass

    async def _wait_for_caller(self, pending):
        try:
            await pending
        except asyncio.CancelledError:
            # The HTTP connection would log the error and go on without it.
            self._is_cancelled = True
            self.abort()

    def _request_sent(self):
        self._silence_detector.record_progress(self._progress)

    def _chunk_forwarded(self, future):
        if not self._has_ended:
            self._silence_detector.record_progress(self._progress)

    async def _finish_close_delimited(self):
        """Ends a response that is delimited by the close of its connection.

        A crash of the upstream ends such a body in the same way, so the response
        counts as complete only while the upstream accepts connections.
        """
        if self._is_aborted or self._connection.stream.error is not None:
            return
        try:
            probe = await self._upstream.pool.connect(self._connection.last_response_at)
        except StreamClosedError:
            return
        probe.close()
        if not self._is_aborted:
            self._is_complete = self._relay.handle_end(self)
            self._closes_connection = True

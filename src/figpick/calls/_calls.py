"""Accepts calls over HTTP and responds to them."""

import asyncio
import fcntl
import socket
import struct
import termios

import msgspec
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    ResponseStartLine,
    responses,
)
from tornado.iostream import StreamClosedError

from ..base._errors import (
    OUTCOME_NOT_RUN,
    OUTCOME_UNKNOWN,
    BrokenResponseError,
    CallError,
    DeadlineError,
    DocumentMissingError,
    DrainingError,
    ExecutionCancelledError,
    MalformedRequestError,
)
from ..base._logs import logger
from ..claims._claim_records import MAX_STORED_RESPONSE_BYTES
from ..messaging._connections import keep_nodelay
from ._bodies import CHUNKED_BODY_METHODS, MAX_REPLAY_BYTES, RequestBody
from ._dispatch import Dispatch
from ._headers import content_length, end_to_end_headers
from ._plans import KEY_HEADER, CallPlan, ClockReading
from ._relays import ResponseRelay

# After an early response, the rest of the request body is read for this long. Closing
# a connection with unread bytes resets it, and the caller may not get the response.
LINGER_S = 1.0
# SO_LINGER value with which close() resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# Number of bytes in the send queue of a socket.
QUEUED = struct.Struct("i")

log = logger("calls")


class CallListener(HTTPServer):
    """The HTTP server on the call address."""

    def initialize(self, *arguments, **options):
        super().initialize(*arguments, **options)
        # The default timeout of one hour needs a timer for each request. TCP
        # keep-alive probes close the connections of callers that disappeared.
        self.conn_params.header_timeout = None

    def handle_stream(self, stream, address):
        keep_nodelay(stream)
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        super().handle_stream(stream, address)


class CallServer(HTTPServerConnectionDelegate):
    """Creates a :class:`Call` for each request on the call address.

    :param node: :class:`~figpick.roles._node.Node`.
    """

    def __init__(self, node):
        self._node = node
        self._calls = {}

    @property
    def is_idle(self):
        """Whether callers have received a complete response to every request."""
        return not any(
            call.has_begun or call.has_unacknowledged_bytes
            for call in self._calls.values()
        )

    def start_request(self, server_conn, request_conn):
        # The server starts the next request of a connection only when the response to
        # the previous one was sent.
        call = self._calls[server_conn] = Call(self._node, request_conn)
        return call

    def on_close(self, server_conn):
        self._calls.pop(server_conn, None)

    def end_calls(self):
        """Ends the calls in flight, since the node stops."""
        for call in list(self._calls.values()):
            call.end_by_stop()


class Call(HTTPMessageDelegate):
    """One call, from its request headers to its response.

    :param node: :class:`~figpick.roles._node.Node`.
    :param caller: connection to the caller.
    """

    def __init__(self, node, caller):
        self._node = node
        self._caller = caller
        self._plan = None
        self._headers = None
        self._recording_start = None
        self._body = None
        self._relay = None
        self._dispatch = None
        self._task = None
        self._deadline_timer = None
        self._linger_timer = None
        self._pending_error = None
        self._is_request_done = False
        self._has_ended = False
        self._is_lingering = False
        self._request_line = None
        self._has_key = False
        self._may_have_run_before = False

    def headers_received(self, start_line, headers):
        self._request_line = start_line
        self._has_key = KEY_HEADER in headers
        handler = self._node.local_handler(start_line, self._caller)
        if handler is not None:
            self._body = RequestBody(MAX_REPLAY_BYTES)
            self._plan = handler
            return None
        try:
            self._headers = end_to_end_headers(headers)
            self._plan = self._node.plan(start_line, headers)
        except CallError as error:
            # A connection with an unread body cannot serve another request, and a
            # caller that waits for '100 Continue' does not send the body.
            is_malformed = isinstance(error, MalformedRequestError)
            self._is_request_done = is_malformed or "Expect" in headers
            self._send_error(error)
            return None
        except DocumentMissingError as error:
            return self._fetch_document(error.service, start_line, headers)
        self._accept(headers)
        return None

    async def _fetch_document(self, service, start_line, headers):
        await self._node.fetcher.fetch(service, self._node.clock.monotonic())
        fetching = self.headers_received(start_line, headers)
        if fetching is not None:
            await fetching

    def data_received(self, chunk):
        if self._has_ended:
            return None
        try:
            return self._body.feed(chunk)
        except CallError as error:
            self._fail(error)
            return None

    def finish(self):
        self._is_request_done = True
        if self._is_lingering:
            self._finish_response()
        if self._has_ended:
            return
        self._body.finish()
        if callable(self._plan):
            self._respond_locally()
        elif self._task is None:
            self._start()

    def on_connection_close(self):
        self.cancel()

    @property
    def has_begun(self):
        """Whether the headers of the request were received."""
        return self._request_line is not None

    @property
    def has_unacknowledged_bytes(self):
        """Whether the host of the caller has yet to receive bytes of a response.

        Closing the connection could discard them: a caller that sends another request
        meanwhile gets a reset.
        """
        stream = self._caller.stream
        if stream.closed():
            return False
        try:
            queued = fcntl.ioctl(stream.socket, termios.TIOCOUTQ, bytes(QUEUED.size))
        except OSError as error:
            log.debug("The send queue of a connection is not known: {}.", error)
            return False
        return QUEUED.unpack(queued)[0] > 0

    @property
    def status(self):
        """HTTP status of the complete response from an upstream, 0 without one."""
        relay = self._relay
        return relay.status if relay is not None and relay.is_complete else 0

    def cancel(self):
        """Cancels the call because its caller has closed the connection."""
        if self._linger_timer is not None:
            self._linger_timer.cancel()
        plan = self._plan
        if self._has_sent and plan.key and not plan.route.idempotent:
            # The response is stored for a retry. Cancelling would only lose it.
            return
        if self._task is None and self._deadline_timer is not None:
            # The request was not received in full.
            self._deadline_timer.cancel()
        if self._task is not None and not self._has_ended:
            self._node.counters.cancelled += 1
            self._has_ended = True
            self._task.cancel()

    def cancel_by_parent(self):
        """Cancels the call because the execution that made it was cancelled."""
        self._node.counters.cancelled += 1
        self._fail(
            ExecutionCancelledError("the execution that made this call was cancelled")
        )

    def end_by_stop(self):
        """Ends the call because the node stops before its response."""
        if self._has_sent:
            self._fail(BrokenResponseError("the node stopped before the upstream"))
        elif isinstance(self._plan, CallPlan):
            self._fail(DrainingError("the node is shutting down", retry_after_s=1))

    def _accept(self, headers):
        plan = self._plan
        loop = asyncio.get_running_loop()
        delay_s = plan.deadline - self._node.clock.monotonic()
        self._deadline_timer = loop.call_later(delay_s, self._expire)
        limit = plan.service.limits.body_bytes
        is_chunked = "Transfer-Encoding" in headers
        if is_chunked and plan.method not in CHUNKED_BODY_METHODS:
            # The HTTP client sends the body of such a method only with a length, so the
            # body is read before the call is sent.
            self._body = RequestBody(min(limit, MAX_REPLAY_BYTES))
            return
        self._body = RequestBody(limit)
        if is_chunked or (content_length(headers) or 0) > MAX_REPLAY_BYTES:
            self._start()

    def _start(self):
        loop = asyncio.get_running_loop()
        node, plan = self._node, self._plan
        self._caller.set_close_callback(self.cancel)
        is_resumable = plan.method == "GET" and "Range" not in self._headers
        is_resumable = is_resumable and plan.route.idempotent
        max_stored_bytes = 0 if plan.route.idempotent else MAX_STORED_RESPONSE_BYTES
        self._relay = ResponseRelay(
            node, self._caller, is_resumable, max_stored_bytes, self._finish_response
        )
        if node.should_record(plan):
            self._recording_start = ClockReading(
                node.clock.monotonic(), node.clock.wall()
            )
        self._task = loop.create_task(self._run())

    def _expire(self):
        self._fail(DeadlineError("the deadline has passed"))

    def _fail(self, error):
        if self._has_ended or self._pending_error is not None:
            return
        self._pending_error = error
        if self._task is None:
            self._abort(error)
        else:
            self._task.cancel()

    async def _run(self):
        node, plan = self._node, self._plan
        node.begin_call(self, plan)
        try:
            await self._execute()
            self._has_ended = True
        except CallError as error:
            await self._abort_claimed(error)
        except asyncio.CancelledError:
            if self._pending_error is not None:
                await self._abort_claimed(self._pending_error)
        except Exception:
            log.exception("Call to {} failed.", plan.service.name)
            self._abort(CallError("internal error"))
        finally:
            self._has_ended = True
            self._deadline_timer.cancel()
            self._body.discard()
            self._record_end()
            node.end_call(self, plan)

    def _record_end(self):
        node, plan, relay = self._node, self._plan, self._relay
        if not plan.route.idempotent:
            node.finish_claim(plan, self._has_sent, relay.storable_response)
        status = self.status
        name = self._dispatch.upstream_name if self._dispatch is not None else ""
        node.retries.record_call_end(plan, self._body, self._has_sent, status, name)
        if self._recording_start is not None:
            sizes = (self._body.size, relay.size)
            caller = self._caller.context.remote_ip
            node.record(plan, caller, self._recording_start, sizes, status)

    async def _execute(self):
        node, plan = self._node, self._plan
        if plan.parent is not None and node.is_cancelled(plan.parent.execution_id):
            raise ExecutionCancelledError(
                "the execution that made this call was cancelled"
            )
        self._may_have_run_before = node.retries.may_have_run_before(plan, self._body)
        node.admit(plan, self._body, node.clock.monotonic())
        excluded_names = await node.retries.admit(plan, self._body)
        if not plan.route.idempotent:
            stored_response = await node.claim(plan)
            if stored_response is not None:
                self._write_stored_response(stored_response)
                return
        self._dispatch = Dispatch(
            node, plan, self._headers, self._body, self._relay, excluded_names
        )
        await self._dispatch.run()

    @property
    def _has_sent(self):
        return self._dispatch is not None and self._dispatch.has_sent

    async def _abort_claimed(self, error):
        plan = self._plan
        may_be_claimed = plan.key and not plan.route.idempotent and not self._has_sent
        if may_be_claimed and error.outcome == OUTCOME_NOT_RUN:
            error.outcome = await self._node.find_claimed_outcome(plan)
            self._may_have_run_before = False
        self._abort(error)

    def _outcome(self, error):
        if error.outcome != OUTCOME_NOT_RUN:
            return error.outcome
        # Once a byte was sent, no later error of this call may state not-run.
        # An earlier attempt of the same request may have sent bytes as well.
        # Without a plan, it is unknown whether a request with a key ran before.
        has_no_plan = self._task is None and self._has_key
        may_have_run = self._has_sent or self._may_have_run_before or has_no_plan
        return OUTCOME_UNKNOWN if may_have_run else OUTCOME_NOT_RUN

    def _abort(self, error):
        self._has_ended = True
        if self._deadline_timer is not None:
            self._deadline_timer.cancel()
        if self._body is not None:
            self._body.discard()
        if self._relay is not None and self._relay.is_complete:
            return
        if self._relay is not None and self._relay.has_started:
            self._truncate_response()
        else:
            self._send_error(error)

    def _truncate_response(self):
        """Closes the caller's connection, so that the truncation is detected."""
        self._node.counters.truncated += 1
        stream = self._caller.stream
        if self._request_line.version == "HTTP/1.0" and not stream.closed():
            # A close is the regular end of the body of such a response. A reset marks
            # the response as truncated.
            option = socket.SO_LINGER
            stream.socket.setsockopt(socket.SOL_SOCKET, option, RESET_ON_CLOSE)
        self._caller.close()

    def _send_error(self, error):
        self._has_ended = True
        self._node.counters.record_refusal(error.reason)
        outcome = self._outcome(error)
        body = {"error": str(error), "reason": error.reason, "outcome": outcome}
        headers = HTTPHeaders()
        headers["Figpick-Outcome"] = outcome
        headers["Figpick-Reason"] = error.reason
        if error.retry_after_s is not None:
            headers["Retry-After"] = str(error.retry_after_s)
        if self._node.is_draining:
            headers["Connection"] = "close"
        self._write_json(error.status, headers, body)

    def _write_stored_response(self, stored_response):
        """Responds to a retry with the stored response of the execution."""
        self._has_ended = True
        headers = HTTPHeaders()
        for name, value in stored_response["headers"]:
            headers.add(name, value)
        data = stored_response["body"].encode("latin-1")
        self._write_response(stored_response["status"], headers, data)

    def _respond_locally(self):
        self._has_ended = True
        status, body = self._plan(self._body.first_bytes)
        self._write_json(status, HTTPHeaders(), body)

    def _write_json(self, status, headers, body):
        headers["Content-Type"] = "application/json"
        self._write_response(status, headers, msgspec.json.encode(body))

    def _write_response(self, status, headers, data):
        headers["Content-Length"] = str(len(data))
        start_line = ResponseStartLine("HTTP/1.1", status, responses.get(status, ""))
        try:
            # The response to HEAD has the length of a body, but no body.
            head_only = self._request_line.method == "HEAD"
            self._caller.write_headers(start_line, headers, None if head_only else data)
            self._finish_response()
        except StreamClosedError:
            pass

    def _finish_response(self):
        """Ends the response once the request was read, or after ``LINGER_S``."""
        if self._is_request_done:
            if self._linger_timer is not None:
                self._linger_timer.cancel()
            self._is_lingering = False
            self._caller.finish()
        elif not self._is_lingering:
            self._is_lingering = True
            loop = asyncio.get_running_loop()
            self._linger_timer = loop.call_later(LINGER_S, self._stop_lingering)

    def _stop_lingering(self):
        self._is_request_done = True
        self._finish_response()

"""The request path: takes calls and answers them."""

import asyncio
import socket
import struct

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
    CallError,
    DeadlineError,
    DocumentMissingError,
    ExecutionCancelledError,
    MalformedRequestError,
)
from ..base._logs import logger
from ..claims._claim_records import MAX_ANSWER_BYTES
from ..messaging._connections import keep_nodelay
from ._bodies import BODY_METHODS, REPLAY_BYTES, RequestBody
from ._dispatch import Dispatch
from ._headers import content_length, forwarded_headers
from ._plans import KEY_HEADER, ClockReading
from ._relays import AnswerRelay

# The rest of a refused body is read for this long. Closing with unread bytes resets
# the connection, and the caller may lose the answer.
LINGER_S = 1.0
RESET_ON_CLOSE = struct.pack("ii", 1, 0)

log = logger("calls")


class CallListener(HTTPServer):
    """The HTTP server on the call address."""

    def initialize(self, *arguments, **options):
        super().initialize(*arguments, **options)
        # The time-out of an hour costs a timer for each request. Keep-alive probes of
        # TCP end the connections of callers that disappeared.
        self.conn_params.header_timeout = None

    def handle_stream(self, stream, address):
        keep_nodelay(stream)
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        super().handle_stream(stream, address)


class CallServer(HTTPServerConnectionDelegate):
    """Gives each request on the call address to a :class:`Call`.

    :param node: :class:`~figpick.roles._node.Node`.
    """

    def __init__(self, node):
        self._node = node

    def start_request(self, server_conn, request_conn):
        return Call(self._node, request_conn)

    def on_close(self, server_conn):
        pass


class Call(HTTPMessageDelegate):
    """One call from its head to its answer.

    :param node: :class:`~figpick.roles._node.Node`.
    :param caller: connection to the caller.
    """

    def __init__(self, node, caller):
        self._node = node
        self._caller = caller
        self._plan = None
        self._headers = None
        self._recorded_from = None
        self._body = None
        self._relay = None
        self._dispatch = None
        self._task = None
        self._timer = None
        self._linger = None
        self._failure = None
        self._received = False
        self._ended = False
        self._finishing = False
        self._head = None
        self._keyed = False
        self._repeated = False

    def headers_received(self, start_line, headers):
        self._head = start_line
        self._keyed = KEY_HEADER in headers
        local = self._node.local_handler(start_line, self._caller)
        if local is not None:
            self._body = RequestBody(REPLAY_BYTES)
            self._plan = local
            return None
        try:
            self._headers = forwarded_headers(headers)
            self._plan = self._node.plan(start_line, headers)
        except CallError as error:
            # Without its body read, the connection cannot serve another request,
            # and a caller that awaits the go-ahead for its body sends none.
            malformed = isinstance(error, MalformedRequestError)
            self._received = malformed or "Expect" in headers
            self._refuse(error)
            return None
        except DocumentMissingError as error:
            return self._fetch_document(error.service, start_line, headers)
        self._accept(headers)
        return None

    async def _fetch_document(self, service, start_line, headers):
        await self._node.fetcher.fetch(service, self._node.clock.monotonic())
        self.headers_received(start_line, headers)

    def data_received(self, chunk):
        if self._ended:
            return None
        try:
            return self._body.feed(chunk)
        except CallError as error:
            self._fail(error)
            return None

    def finish(self):
        self._received = True
        if self._finishing:
            self._finish_caller()
        if self._ended:
            return
        self._body.finish()
        if callable(self._plan):
            self._answer_locally()
        elif self._task is None:
            self._begin()

    def on_connection_close(self):
        self.cancel()

    @property
    def status(self):
        """HTTP status of the whole answer from an upstream, 0 without one."""
        return self._status

    def cancel(self):
        """Stops the call, because nobody waits for its answer."""
        if self._linger is not None:
            self._linger.cancel()
        plan = self._plan
        if self._sent and plan.key and not plan.route.idempotent:
            # The answer is stored for a resend; stopping would only lose it.
            return
        if self._task is not None and not self._ended:
            self._node.counters.cancelled += 1
            self._ended = True
            self._task.cancel()

    def abandon(self):
        """Stops the call, because the execution that made it was cancelled."""
        self._node.counters.cancelled += 1
        self._fail(
            ExecutionCancelledError("the execution that made this call was cancelled")
        )

    def _accept(self, headers):
        plan = self._plan
        limit = plan.service.limits.body_bytes
        chunked = "Transfer-Encoding" in headers
        if chunked and plan.method not in BODY_METHODS:
            # The HTTP client frames such a body by its length only.
            self._body = RequestBody(min(limit, REPLAY_BYTES))
            return
        self._body = RequestBody(limit)
        if chunked or (content_length(headers) or 0) > REPLAY_BYTES:
            self._begin()

    def _begin(self):
        loop = asyncio.get_running_loop()
        node, plan = self._node, self._plan
        self._caller.set_close_callback(self.cancel)
        resumable = plan.method == "GET" and "Range" not in self._headers
        resumable = resumable and plan.route.idempotent
        keep_bytes = 0 if plan.route.idempotent else MAX_ANSWER_BYTES
        self._relay = AnswerRelay(
            node, self._caller, resumable, keep_bytes, self._finish_caller
        )
        delay_s = plan.deadline - node.clock.monotonic()
        self._timer = loop.call_later(delay_s, self._expire)
        if node.records(plan):
            self._recorded_from = ClockReading(
                node.clock.monotonic(), node.clock.wall()
            )
        self._task = loop.create_task(self._run())

    def _expire(self):
        self._fail(DeadlineError("the deadline has passed"))

    def _fail(self, error):
        if self._ended or self._failure is not None:
            return
        self._failure = error
        if self._task is None:
            self._abort(error)
        else:
            self._task.cancel()

    async def _run(self):
        node, plan = self._node, self._plan
        node.begin(self, plan)
        try:
            await self._carry_out()
            self._ended = True
        except CallError as error:
            await self._abort_claimed(error)
        except asyncio.CancelledError:
            if self._failure is not None:
                await self._abort_claimed(self._failure)
        except Exception:
            log.exception("Call to {} failed.", plan.service.name)
            self._abort(CallError("internal error"))
        finally:
            self._ended = True
            self._timer.cancel()
            self._body.discard()
            self._close()
            node.end(self, plan)

    def _close(self):
        node, plan, relay = self._node, self._plan, self._relay
        if not plan.route.idempotent:
            node.finish_claim(plan, self._sent, relay.short_answer)
        status = relay.status if relay.complete else 0
        name = self._dispatch.upstream_name if self._dispatch is not None else ""
        node.retries.close(plan, self._body, self._sent, status, name)
        if self._recorded_from is not None:
            sizes = (self._body.size, relay.size)
            caller = self._caller.context.remote_ip
            node.record(plan, caller, self._recorded_from, sizes, status)

    async def _carry_out(self):
        node, plan = self._node, self._plan
        if plan.parent is not None and node.is_cancelled(plan.parent.execution_id):
            raise ExecutionCancelledError(
                "the execution that made this call was cancelled"
            )
        self._repeated = node.retries.repeats(plan, self._body)
        node.admit(plan, self._body, node.clock.monotonic())
        excluded = await node.retries.admit(plan, self._body)
        if not plan.route.idempotent:
            stored = await node.claim(plan)
            if stored is not None:
                self._write_stored(stored)
                return
        self._dispatch = Dispatch(
            node, plan, self._headers, self._body, self._relay, excluded
        )
        await self._dispatch.run()

    @property
    def _sent(self):
        return self._dispatch is not None and self._dispatch.sent

    async def _abort_claimed(self, error):
        plan = self._plan
        asks = plan.key and not plan.route.idempotent and not self._sent
        if asks and error.outcome == OUTCOME_NOT_RUN:
            error.outcome = await self._node.claimed_outcome(plan)
            self._repeated = False
        self._abort(error)

    def _outcome(self, error):
        if error.outcome != OUTCOME_NOT_RUN:
            return error.outcome
        # Once a byte was sent, no later refusal of this call may say not-run.
        # An earlier attempt of the same request may have sent some as well.
        # Without a plan nobody knows whether a keyed request ran before.
        unplanned = self._task is None and self._keyed
        doubtful = self._sent or self._repeated or unplanned
        return OUTCOME_UNKNOWN if doubtful else OUTCOME_NOT_RUN

    def _abort(self, error):
        self._ended = True
        if self._body is not None:
            self._body.discard()
        if self._relay is not None and self._relay.complete:
            return
        if self._relay is not None and self._relay.started:
            self._cut()
        else:
            self._refuse(error)

    def _cut(self):
        """Closes the caller's connection, so that a part never looks whole."""
        self._node.counters.cut += 1
        stream = self._caller.stream
        if self._head.version == "HTTP/1.0" and not stream.closed():
            # The close ends the body of such an answer; a reset tells them apart.
            linger = socket.SO_LINGER
            stream.socket.setsockopt(socket.SOL_SOCKET, linger, RESET_ON_CLOSE)
        self._caller.close()

    def _refuse(self, error):
        self._ended = True
        self._node.counters.refuse(error.reason)
        outcome = self._outcome(error)
        body = {"error": str(error), "reason": error.reason, "outcome": outcome}
        headers = HTTPHeaders()
        headers["Figpick-Outcome"] = outcome
        headers["Figpick-Reason"] = error.reason
        if error.retry_after_s is not None:
            headers["Retry-After"] = str(error.retry_after_s)
        if self._node.draining:
            headers["Connection"] = "close"
        self._write(error.status, headers, body)

    def _write_stored(self, stored):
        """Answers a resend with the answer of the execution."""
        self._ended = True
        headers = HTTPHeaders()
        for name, value in stored["headers"]:
            headers.add(name, value)
        data = stored["body"].encode("latin-1")
        self._write_body(stored["status"], headers, data)

    def _answer_locally(self):
        self._ended = True
        status, body = self._plan(self._body.first_bytes)
        self._write(status, HTTPHeaders(), body)

    def _write(self, status, headers, body):
        headers["Content-Type"] = "application/json"
        self._write_body(status, headers, msgspec.json.encode(body))

    def _write_body(self, status, headers, data):
        headers["Content-Length"] = str(len(data))
        start_line = ResponseStartLine("HTTP/1.1", status, responses.get(status, ""))
        try:
            # The answer to HEAD has the length of a body, but no body.
            head_only = self._head.method == "HEAD"
            self._caller.write_headers(start_line, headers, None if head_only else data)
            self._finish_caller()
        except StreamClosedError:
            pass

    def _finish_caller(self):
        """Ends the answer once the request was read, or soon after."""
        if self._received:
            if self._linger is not None:
                self._linger.cancel()
            self._finishing = False
            self._caller.finish()
        elif not self._finishing:
            self._finishing = True
            loop = asyncio.get_running_loop()
            self._linger = loop.call_later(LINGER_S, self._stop_lingering)

    def _stop_lingering(self):
        self._received = True
        self._finish_caller()

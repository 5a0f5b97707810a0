"""The request path: takes calls and sends them to upstreams."""

import asyncio

import msgspec
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    ResponseStartLine,
    responses,
)
from tornado.iostream import StreamClosedError

from ._attempts import Attempt, AttemptResult, forwarded_headers
from ._bodies import REPLAY_BYTES, RequestBody
from ._claim_records import MAX_ANSWER_BYTES
from ._errors import (
    OUTCOME_NOT_RUN,
    OUTCOME_UNKNOWN,
    BrokenAnswerError,
    CallError,
    DeadlineError,
    DocumentMissingError,
    NoUpstreamError,
)
from ._logs import logger
from ._plans import KEY_HEADER
from ._upstreams import Result

MAX_CONNECT_ATTEMPTS = 3
# An upstream may close an older idle connection just as a request is sent on it.
MAX_IDLE_ONCE_S = 0.25

log = logger("calls")


class CallServer(HTTPServerConnectionDelegate):
    """Gives each request on the call address to a :class:`Call`.

    :param node: :class:`~figpick._node.Node`.
    """

    def __init__(self, node):
        self._node = node

    def start_request(self, server_conn, request_conn):
        return Call(self._node, request_conn)

    def on_close(self, server_conn):
        pass


class Call(HTTPMessageDelegate):
    """One call from its head to its answer.

    :param node: :class:`~figpick._node.Node`.
    :param caller: connection to the caller.
    """

    def __init__(self, node, caller):
        self._node = node
        self._caller = caller
        self._plan = None
        self._headers = None
        self._body = None
        self._task = None
        self._timer = None
        self._ended = False
        self._expired = False
        self._sent = False
        self._answered = False
        self._status = 0
        self._attempts = 0
        self._upstream_name = ""
        self._short_answer = None

    def headers_received(self, start_line, headers):
        self._headers = headers
        local = self._node.local_handler(start_line, self._caller)
        if local is not None:
            self._body = RequestBody(REPLAY_BYTES)
            self._plan = local
            return None
        try:
            self._plan = self._node.plan(start_line, headers)
        except CallError as error:
            self._refuse(error)
            return None
        except DocumentMissingError as error:
            return self._fetch_document(error.service, start_line, headers)
        self._body = RequestBody(self._plan.service.limits.body_bytes)
        if "Transfer-Encoding" in headers or self._length() > REPLAY_BYTES:
            self._begin()
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
            self._abort(error)
            return None

    def finish(self):
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
        if self._task is not None and not self._ended:
            self._node.counters.cancelled += 1
            self._task.cancel()

    def _length(self):
        return int(self._headers.get("Content-Length", 0))

    def _begin(self):
        loop = asyncio.get_running_loop()
        self._caller.set_close_callback(self.cancel)
        self._timer = loop.call_at(self._plan.deadline, self._expire)
        self._task = loop.create_task(self._run())

    def _expire(self):
        if not self._ended:
            self._expired = True
            self._task.cancel()

    async def _run(self):
        node, plan = self._node, self._plan
        node.begin(self, plan)
        try:
            await self._attempt_all()
        except CallError as error:
            await self._fail(error)
        except asyncio.CancelledError:
            if self._expired:
                await self._fail(DeadlineError("the deadline has passed"))
        except Exception:
            log.exception("Call to {} failed.", plan.service.name)
            self._abort(CallError("internal error"))
        finally:
            self._ended = True
            self._timer.cancel()
            if not plan.route.idempotent:
                node.finish_claim(plan, self._sent, self._short_answer)
            name = self._upstream_name
            node.close_retries(plan, self._body, self._sent, self._status, name)
            node.end(self, plan)

    async def _attempt_all(self):
        node, plan = self._node, self._plan
        node.admit(plan, self._body, node.clock.monotonic())
        headers = forwarded_headers(self._headers)
        excluded = await node.admit_resend(plan, self._body)
        if not plan.route.idempotent:
            stored = await node.claim(plan)
            if stored is not None:
                self._write_stored(stored)
                return
        failures = 0
        while True:
            upstreams = node.upstreams(plan.service.name)
            upstream = await upstreams.acquire(plan, node.clock.monotonic(), excluded)
            result = await self._attempt(upstreams, upstream, headers)
            if result is None:
                failures += 1
                excluded.add(upstream.name)
                if failures >= MAX_CONNECT_ATTEMPTS:
                    message = f"no upstream of {plan.service.name} accepts connections"
                    raise NoUpstreamError(message, retry_after_s=1)
                continue
            if result.complete:
                return
            if result.started:
                self._cut()
                return
            await self._await_retry(upstream, excluded)

    async def _attempt(self, upstreams, upstream, headers):
        """Makes one attempt.

        :return: :class:`AttemptResult`, or ``None`` when nothing was sent.
        """
        node, plan = self._node, self._plan
        started_at = node.clock.monotonic()
        result = AttemptResult(False, False, 0)
        connection = None
        refused, cancelled = False, True
        try:
            connection = await self._connect(upstream)
            if connection is None:
                refused, cancelled = True, False
                return None
            self._sent = True
            self._attempts += 1
            self._upstream_name = upstream.name
            keep_bytes = 0 if plan.route.idempotent else MAX_ANSWER_BYTES
            attempt = Attempt(plan, connection, self._caller, keep_bytes)
            result = await attempt.run(headers, self._body, node.key)
            cancelled = False
            self._short_answer = attempt.short_answer
            self._answered = result.started
            self._status = result.status if result.complete else 0
            if not result.complete:
                node.report_break(plan, self._body, upstream, node.clock.monotonic())
            return result
        finally:
            now = node.clock.monotonic()
            if connection is not None:
                if result.complete:
                    upstream.pool.put_back(connection, now)
                else:
                    connection.close()
            ended = Result(
                result.complete, result.status, now - started_at, refused, cancelled
            )
            upstreams.release(upstream, ended, now, plan)

    async def _connect(self, upstream):
        now = self._node.clock.monotonic()
        if self._plan.route.idempotent:
            connection = upstream.pool.take_idle(now)
        else:
            connection = upstream.pool.take_idle(now, MAX_IDLE_ONCE_S)
        if connection is not None:
            return connection
        try:
            return await upstream.pool.connect(now)
        except StreamClosedError:
            return None

    async def _await_retry(self, upstream, excluded):
        plan = self._plan
        message = f"{upstream.name} gave no answer"
        if not plan.route.idempotent or not self._body.replayable:
            raise BrokenAnswerError(message)
        await self._node.allow_retry(plan, self._attempts)
        excluded.add(upstream.name)

    async def _fail(self, error):
        plan = self._plan
        if (
            plan.key
            and not plan.route.idempotent
            and not self._sent
            and error.outcome == OUTCOME_NOT_RUN
        ):
            error.outcome = await self._node.claimed_outcome(plan)
        self._abort(error)

    def _outcome(self, error):
        if error.outcome != OUTCOME_NOT_RUN:
            return error.outcome
        # Once a byte was sent, no later refusal of this call may say not-run.
        # Without a plan nobody knows whether a keyed request ran before.
        headers = self._headers or HTTPHeaders()
        unplanned = self._task is None and KEY_HEADER in headers
        return OUTCOME_UNKNOWN if self._sent or unplanned else OUTCOME_NOT_RUN

    def _abort(self, error):
        self._ended = True
        if self._answered:
            self._cut()
        else:
            self._refuse(error)

    def _cut(self):
        """Closes the caller's connection, so that a part never looks whole."""
        self._node.counters.cut += 1
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
        status, body = self._plan(self._body.head)
        self._write(status, HTTPHeaders(), body)

    def _write(self, status, headers, body):
        data = msgspec.json.encode(body)
        headers["Content-Type"] = "application/json"
        self._write_body(status, headers, data)

    def _write_body(self, status, headers, data):
        headers["Content-Length"] = str(len(data))
        start_line = ResponseStartLine("HTTP/1.1", status, responses.get(status, ""))
        try:
            self._caller.write_headers(start_line, headers, data)
            self._caller.finish()
        except StreamClosedError:
            pass

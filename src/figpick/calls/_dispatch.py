"""Makes the attempts of one call until one of them relays the whole answer."""

import asyncio

from tornado.iostream import StreamClosedError

from ..base._errors import BrokenResponseError, CallError, NoUpstreamError
from ..routing._upstream import Result
from . import _context
from ._attempts import Attempt

MAX_CONNECT_ATTEMPTS = 3
# A kept connection may have become silent unnoticed. A call that cannot be sent again
# uses one only if it answered within this time.
MAX_IDLE_ONCE_S = 0.25


class Dispatch:
    """The attempts of one call.

    :param node: :class:`~figpick.roles._node.Node`.
    :param plan: :class:`~figpick.calls._plans.CallPlan`.
    :param headers: end-to-end headers of the request.
    :param body: :class:`~figpick.calls._bodies.RequestBody`.
    :param relay: :class:`~figpick.calls._relays.AnswerRelay`.
    :param excluded: names of upstreams that must not be used.
    """

    def __init__(self, node, plan, headers, body, relay, excluded):
        self._node = node
        self._plan = plan
        self._headers = headers
        self._body = body
        self._relay = relay
        self._refusing = set(excluded)
        self._broken = set()
        self._rescue = None
        self._rescuer = None
        self._active = set()
        self._silent = False
        self._attempts = 0
        self.sent = False
        self.upstream_name = ""

    async def run(self):
        """Makes attempts until the whole answer was relayed.

        :raises CallError: when no answer can be relayed.
        """
        try:
            while not await self._attempt(False):
                if self._rescue is not None and await self._rescued():
                    return
                await self._await_retry()
        finally:
            if self._rescue is not None:
                self._rescue.cancel()

    def suspect(self, attempt):
        """Tries an idempotent call again, because its connection may be silent.

        :param attempt: :class:`~figpick.calls._attempts.Attempt`.
        """
        running = self._rescue is not None and not self._rescue.done()
        if self._can_repeat() and not running:
            self._rescue = asyncio.ensure_future(self._run_rescue())
            self._rescue.add_done_callback(_note_error)

    def give_up(self, attempt):
        """Ends an attempt whose connection is silent.

        :param attempt: :class:`~figpick.calls._attempts.Attempt`.
        """
        rescuing = self._rescue is not None and not self._rescue.done()
        if self._relay.started or (rescuing and self._rescuer not in self._active):
            return
        if len(self._active) == 1:
            self._silent = True
        attempt.abandon()

    def _can_repeat(self):
        idempotent = self._plan.route.idempotent
        return idempotent and self._body.is_replayable and self._relay.restartable

    async def _run_rescue(self):
        await self._node.allow_retry(self._plan, self._attempts, False)
        self._node.counters.rescues += 1
        complete = await self._attempt(True)
        if complete:
            for attempt in self._active:
                attempt.abandon()
        return complete

    async def _rescued(self):
        try:
            return await self._rescue
        except CallError:
            return False
        finally:
            self._rescue = None

    async def _await_retry(self):
        if self._silent:
            raise BrokenResponseError("the connection to the upstream is silent")
        if not self._can_repeat():
            raise BrokenResponseError("the upstream gave no whole answer")
        await self._node.allow_retry(self._plan, self._attempts, True)

    async def _attempt(self, rescues):
        """Makes one attempt, at the first upstream that accepts a connection.

        :param rescues: whether it replaces one on a silent connection.
        :return: whether the whole answer was relayed.
        """
        node, plan = self._node, self._next_plan()
        upstreams = node.upstreams(plan.service.name)
        for _ in range(MAX_CONNECT_ATTEMPTS):
            upstream = await self._acquire(upstreams, plan)
            started_at = node.clock.monotonic()
            ended = Result(False, 0, 0.0, cancelled=True)
            slot = None
            try:
                slot = await node.suspicion.enter(plan, self._body, upstream)
                # A break of an old connection may belong to the crash before.
                new_connection = rescues or slot is not None
                connection = await self._connect(upstream, new_connection)
                if connection is None:
                    ended = Result(False, 0, 0.0, refused=True)
                else:
                    result = await self._send(plan, upstream, connection, rescues, slot)
                    cancelled = not result.complete and not result.broken
                    ended = Result(
                        result.complete, result.status, 0.0, False, cancelled
                    )
                    return result.complete
                self._refusing.add(upstream.name)
            finally:
                node.suspicion.leave(slot, upstream, ended.complete)
                now = node.clock.monotonic()
                ended = ended._replace(latency_s=now - started_at)
                upstreams.release(upstream, ended, now, plan)
        message = f"no upstream of {plan.service.name} accepts connections"
        raise NoUpstreamError(message, retry_after_s=1)

    async def _acquire(self, upstreams, plan):
        now = self._node.clock.monotonic()
        if self._broken:
            try:
                excluded = self._refusing | self._broken
                return await upstreams.acquire(plan, now, excluded)
            except NoUpstreamError:
                now = self._node.clock.monotonic()
        return await upstreams.acquire(plan, now, self._refusing)

    async def _connect(self, upstream, new_connection):
        now = self._node.clock.monotonic()
        connection = None
        if not new_connection and self._plan.route.idempotent:
            connection = upstream.pool.take_idle(now)
        elif not new_connection:
            connection = upstream.pool.take_idle(now, MAX_IDLE_ONCE_S)
        if connection is not None:
            return connection
        try:
            return await upstream.pool.connect(now)
        except StreamClosedError:
            return None

    async def _send(self, plan, upstream, connection, rescues, slot):
        node = self._node
        self.sent = True
        self._attempts += 1
        self.upstream_name = upstream.name
        attempt = Attempt(plan, upstream, connection, self._relay, node.silence, self)
        if rescues:
            self._rescuer = attempt
        result = None
        self._active.add(attempt)
        try:
            result = await attempt.run(self._headers, self._body, node.key)
        finally:
            self._active.discard(attempt)
            if attempt.reusable:
                upstream.pool.put_back(connection, node.clock.monotonic())
            else:
                connection.close()
            if result is None or not result.complete:
                node.cancellations.send(upstream.member, plan.context.execution_id)
        if result.broken:
            self._broken.add(upstream.name)
            await node.suspicion.report_break(plan, self._body, upstream, slot)
        return result

    def _next_plan(self):
        # Each execution has its own id, so that the cancellation of one attempt
        # leaves the calls made under another one alone.
        plan = self._plan
        if self._attempts == 0:
            return plan
        context = plan.context._replace(execution_id=_context.new_id())
        return plan._replace(context=context)


def _note_error(task):
    # Marks the error as seen; the waiting call reports it, if it still runs.
    if not task.cancelled():
        task.exception()

"""Makes attempts of one call until one of them relays the complete response."""

import asyncio

from tornado.iostream import StreamClosedError

from ..base._errors import (
    BrokenResponseError,
    CallError,
    NoUpstreamError,
    QuarantinedError,
)
from ..routing._upstream import UpstreamResult
from . import _context
from ._attempts import Attempt

MAX_CONNECT_ATTEMPTS = 3
# An idle connection may have become silent unnoticed. A call that must not be retried
# uses one only if it delivered a response within this time.
MAX_IDLE_NON_IDEMPOTENT_S = 0.25


class Dispatch:
    """Makes the attempts of one call, including backup attempts.

    A backup attempt is started when the connection of another attempt may be silent.

    :param node: :class:`~figpick.roles._node.Node`.
    :param plan: :class:`~figpick.calls._plans.CallPlan`.
    :param headers: end-to-end headers of the request.
    :param body: :class:`~figpick.calls._bodies.RequestBody`.
    :param relay: :class:`~figpick.calls._relays.ResponseRelay`.
    :param excluded_names: names of upstreams that must not be used.
    """

    def __init__(self, node, plan, headers, body, relay, excluded_names):
        self._node = node
        self._plan = plan
        self._headers = headers
        self._body = body
        self._relay = relay
        self._excluded_names = set(excluded_names)
        self._failed_names = set()
        self._backup_task = None
        self._backup_attempt = None
        self._active_attempts = set()
        self._is_connection_silent = False
        self._attempt_count = 0
        self.has_sent = False
        self.upstream_name = ""

    async def run(self):
        """Makes attempts until the complete response was relayed.

        :raises CallError: when no response can be relayed.
        """
        try:
            while not await self._make_attempt(False):
                if self._backup_task is not None and await self._await_backup():
                    return
                await self._await_retry()
        finally:
            if self._backup_task is not None:
                self._backup_task.cancel()

    def start_backup(self, attempt):
        """Starts a backup attempt of an idempotent call on another connection.

        :param attempt: :class:`~figpick.calls._attempts.Attempt` whose connection may
            be silent.
        """
        has_backup = self._backup_task is not None and not self._backup_task.done()
        if self._can_retry() and not has_backup:
            self._backup_task = asyncio.ensure_future(self._run_backup())
            self._backup_task.add_done_callback(_retrieve_error)

    def abort_silent(self, attempt):
        """Aborts an attempt whose connection is silent.

        :param attempt: :class:`~figpick.calls._attempts.Attempt`.
        """
        has_backup = self._backup_task is not None and not self._backup_task.done()
        if self._relay.has_started or (
            has_backup and self._backup_attempt not in self._active_attempts
        ):
            return
        if len(self._active_attempts) == 1:
            self._is_connection_silent = True
        attempt.abort()

    def _can_retry(self):
        idempotent = self._plan.route.idempotent
        return idempotent and self._body.is_replayable and self._relay.is_restartable

    async def _run_backup(self):
        await self._node.authorize_retry(self._plan, self._attempt_count, False)
        self._node.counters.backup_attempts += 1
        is_complete = await self._make_attempt(True)
        if is_complete:
            for attempt in self._active_attempts:
                attempt.abort()
        return is_complete

    async def _await_backup(self):
        try:
            return await self._backup_task
        except CallError:
            return False
        finally:
            self._backup_task = None

    async def _await_retry(self):
        if self._is_connection_silent:
            raise BrokenResponseError("the connection to the upstream is silent")
        if not self._can_retry():
            raise BrokenResponseError("the upstream gave no whole answer")
        await self._node.authorize_retry(self._plan, self._attempt_count, True)

    async def _make_attempt(self, is_backup):
        """Makes one attempt at the first upstream that accepts a connection.

        :param is_backup: whether it is a backup attempt.
        :return: whether the complete response was relayed.
        """
        node, plan = self._node, self._next_plan()
        upstreams = node.upstream_set(plan.service.name)
        for _ in range(MAX_CONNECT_ATTEMPTS):
            upstream = await self._acquire(upstreams, plan)
            started_at = node.clock.monotonic()
            upstream_result = UpstreamResult(False, 0, 0.0, cancelled=True)
            slot = None
            try:
                slot = await node.quarantine_coordinator.acquire_slot(
                    plan, self._body, upstream
                )
                # The loss of an old connection may be due to an earlier crash.
                needs_new_connection = is_backup or slot is not None
                connection = await self._connect(upstream, needs_new_connection)
                if connection is None:
                    upstream_result = UpstreamResult(False, 0, 0.0, refused=True)
                else:
                    self._reject_quarantined(plan, connection)
                    result = await self._send(
                        plan, upstream, connection, is_backup, slot
                    )
                    is_cancelled = not result.is_complete and not result.connection_lost
                    upstream_result = UpstreamResult(
                        result.is_complete, result.status, 0.0, False, is_cancelled
                    )
                    return result.is_complete
                self._excluded_names.add(upstream.name)
            finally:
                node.quarantine_coordinator.release_slot(
                    slot, upstream, upstream_result.is_complete
                )
                now = node.clock.monotonic()
                upstream_result = upstream_result._replace(latency_s=now - started_at)
                upstreams.release(upstream, upstream_result, now, plan)
        message = f"no upstream of {plan.service.name} accepts connections"
        raise NoUpstreamError(message, retry_after_s=1)

    async def _acquire(self, upstreams, plan):
        now = self._node.clock.monotonic()
        if self._failed_names:
            try:
                excluded_names = self._excluded_names | self._failed_names
                return await upstreams.acquire(plan, now, excluded_names)
            except NoUpstreamError:
                now = self._node.clock.monotonic()
        return await upstreams.acquire(plan, now, self._excluded_names)

    async def _connect(self, upstream, needs_new_connection):
        now = self._node.clock.monotonic()
        connection = None
        if not needs_new_connection and self._plan.route.idempotent:
            connection = upstream.pool.take_idle(now)
        elif not needs_new_connection:
            connection = upstream.pool.take_idle(now, MAX_IDLE_NON_IDEMPOTENT_S)
        if connection is not None:
            return connection
        try:
            return await upstream.pool.connect(now)
        except StreamClosedError:
            return None

    def _reject_quarantined(self, plan, connection):
        # The request may have been quarantined while it waited for the connection.
        now = self._node.clock.monotonic()
        try:
            self._node.quarantine_coordinator.reject_quarantined(plan, self._body, now)
        except QuarantinedError:
            connection.close()
            raise

    async def _send(self, plan, upstream, connection, is_backup, slot):
        node = self._node
        self.has_sent = True
        self._attempt_count += 1
        self.upstream_name = upstream.name
        attempt = Attempt(
            plan, upstream, connection, self._relay, node.silence_detector, self
        )
        if is_backup:
            self._backup_attempt = attempt
        result = None
        self._active_attempts.add(attempt)
        try:
            result = await attempt.run(self._headers, self._body, node.key)
        finally:
            self._active_attempts.discard(attempt)
            if attempt.is_reusable:
                upstream.pool.put_back(connection, node.clock.monotonic())
            else:
                connection.close()
            if result is None or not result.is_complete:
                node.cancellations.send(upstream.member, plan.context.execution_id)
        if result.connection_lost:
            self._failed_names.add(upstream.name)
            await node.quarantine_coordinator.report_broken_connection(
                plan, self._body, upstream, slot
            )
        return result

    def _next_plan(self):
        # Each execution has its own id, so that the cancellation of one attempt does
        # not cancel the calls made by another one.
        plan = self._plan
        if self._attempt_count == 0:
            return plan
        context = plan.context._replace(execution_id=_context.new_id())
        return plan._replace(context=context)


def _retrieve_error(task):
    # Retrieves the error so that asyncio does not log it. The call reports it when it
    # awaits the task.
    if not task.cancelled():
        task.exception()

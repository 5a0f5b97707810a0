"""The owner: runs calls at the upstream on the host of its node.

Every call to the upstream passes through the owner, so it alone decides which call
runs, waits or is returned to its caller. A returned call is guaranteed not to have
run.
"""

import asyncio
from collections import deque

from ..admission import AdmissionQueue, Refusal
from ..base._logs import logger
from ..directory import UpstreamView
from ..placing import FailureShare, Load
from ..wire import is_field_value, is_head
from ._call_logging import log_invalid_head
from ._executions import (
    QUEUE_MARGIN_S,
    Execution,
    RunningRequests,
    fingerprint,
    memory_bytes,
    render_head,
)
from ._identity_check import IdentityCheck
from ._messages import (
    BODY_CREDIT,
    BODY_WINDOW_BYTES,
    NOT_RUN,
    REASON_INVALID_HEAD,
    REASON_LEAVING,
    REASON_NO_CONNECTION,
    REASON_NO_MEMORY,
    REASON_QUARANTINED,
    REASON_QUEUE_TIMEOUT,
    REASON_STOPPED,
    REASON_TIMEOUT,
    REASON_WRONG_INSTANCE,
    RESPONSE_CUT_OFF,
)
from ._owner_links import OwnerLinks
from ._owner_notices import OwnerNotices
from ._owner_queue import OwnerQueue
from ._refused_requests import RefusedRequests
from ._responses import ResponseRelay
from ._upstream import UpstreamPool
from ._upstream_notices import UpstreamNotices

# The upstream stops at its deadline and sends a timeout response, which arrives
# within this time.
TIMEOUT_RESPONSE_MARGIN_S = 0.3
# If the upstream refuses a connection, calls whose connections were lost within this
# time before the refusal are assumed to have been running when the upstream crashed.
CRASH_WINDOW_S = 1.0
# Recorded calls whose connections were lost; an upstream has fewer slots than this.
MAX_BROKEN_CALLS = 1024

log = logger("owner")


class Owner(OwnerLinks, OwnerNotices, OwnerQueue, ResponseRelay):
    """Runs calls at one upstream.

    :param settings: :class:`~figpick.nodes.NodeSettings`.
    :param clock: :class:`~figpick.base._clock.Clock`.
    :param quarantine: :class:`~figpick.admission.CrashQuarantine`.
    :param on_changed: called after the state of the upstream has changed.
    :param on_crash: called with an identifier of the incarnation that crashed and
        the fingerprints of the requests that were running.
    :param account: :class:`~figpick.base._memory.MemoryAccount` of the node.
    """

    def __init__(self, settings, clock, quarantine, on_changed, on_crash, account):
        self._names = settings.headers
        self._clock = clock
        self._quarantine = quarantine
        self._on_changed = on_changed
        self._on_crash = on_crash
        self._account = account
        self._queue = AdmissionQueue()
        self._pool = UpstreamPool(settings.upstream_address, settings.headers)
        self._identity_check = IdentityCheck(self._pool, settings.headers)
        self.view = UpstreamView()
        self.notices = UpstreamNotices(settings.headers)
        self._sent_requests = 0
        self._links = set()
        self._executions = {}
        self._finished = {}
        self._last_forgotten = {}
        # Keys and sizes of the responses in ``_finished``.
        self._kept_responses = deque()
        self._kept_bytes = 0
        self.running_requests = RunningRequests()
        self._broken_calls = deque(maxlen=MAX_BROKEN_CALLS)
        self._refused_requests = RefusedRequests()
        self._streaming_times_s = {}
        self._failures = FailureShare()
        self._failures_reported_at = 0.0
        self._is_failing = False
        self._slow_timer = None
        self._tasks = set()
        self._expiry_timer = None
        self._start_timer = None
        self._is_stopping = False
        self._stop = None

    def __repr__(self):
        return f"<Owner {self.view} {self._queue}>"

    @property
    def queue(self):
        """The :class:`~figpick.admission.AdmissionQueue`, which others only read."""
        return self._queue

    @property
    def sent_requests(self):
        """Number of requests that were sent to the upstream."""
        return self._sent_requests

    @property
    def call_count(self):
        """Number of calls that are queued or running."""
        return len(self._executions)

    def execution_counts(self):
        """Returns the number of calls by state, as a dict."""
        counts = {"queued": 0, "connecting": 0, "running": 0, "streaming": 0}
        for execution in self._executions.values():
            counts[execution.state] += 1
        return counts

    def oldest_execution_age_s(self, now):
        """Returns the seconds since the oldest call arrived, 0 without calls.

        :param now: monotonic seconds.
        """
        oldest = next(iter(self._executions.values()), None)
        return now - oldest.received_at if oldest is not None else 0.0

    def load(self):
        """Returns the load as it is reported to calling nodes."""
        queue = self._queue
        now = self._clock.monotonic()
        inner_s, entry_s = queue.backlog_waits_s(now)
        return Load(
            running=queue.running,
            queued=queue.queued,
            limit=0 if self._is_stopping else queue.limit,
            inner_wait_ms=int(inner_s * 1000),
            entry_wait_ms=int(entry_s * 1000),
            failure_percent=int(self._failures.value(now) * 100),
            rate_limit=queue.rate_limit_per_s or 0.0,
            rate_wait_ms=int(queue.rate_limit_wait_s(now) * 1000),
        )

    def apply_upstream_state(self):
        """Applies the state of :attr:`view` to the queue and reports the load."""
        slots = 0 if self._is_stopping else self.view.slots
        self.notices.use_instance(self.view.incarnation_key)
        self._apply_rate_limit(self._clock.monotonic())
        self._queue.set_slots(slots)
        if not slots:
            self._return_queued(REASON_LEAVING)
        self._report_load()
        self._on_changed()
        if slots:
            self._start_ready()

    def begin_stop(self, stop):
        """Lets the upstream work on further calls only until the node ends.

        :param stop: :class:`~figpick.nodes._stop_schedule.StopSchedule`.
        """
        self._stop = stop

    def stop_accepting(self):
        """Stops accepting calls and returns the queued ones to their callers."""
        self._is_stopping = True
        self.apply_upstream_state()

    def handle_call(self, link, peer, number, call):
        """Runs, queues or refuses a call of a calling node.

        :param peer: name and token of the calling node.
        :param call: :class:`CallMessage`.
        """
        now = self._clock.monotonic()
        reason = self._refusal_reason(call, now)
        if reason is not None:
            self._send_not_run(link, number, reason, 0.0, call)
            return
        size = memory_bytes(call)
        account = self._account
        if account.is_full(size) and not account.has_room(size, now):
            self._send_not_run(link, number, REASON_NO_MEMORY, 0.0, call)
            return
        execution = Execution(self, link, peer, number, call, now)
        outcome = self._queue.offer(execution.ticket, now)
        if isinstance(outcome, Refusal):
            retry_after_s = outcome.retry_after_s
            self._send_not_run(link, number, outcome.reason, retry_after_s, call)
            return
        execution.charged_bytes = size
        self._account.add(size)
        self._executions[peer, number] = execution
        self._schedule_slow_check()
        if outcome is None:
            self._start(execution)
        else:
            self._schedule_expiry_check()
            self._schedule_start(now)

    def add_body(self, peer, number, data, is_last):
        """Adds a further part of the body of a call."""
        execution = self._executions.get((peer, number))
        if execution is None:
            return
        execution.remaining_body_bytes = (
            0 if is_last else execution.remaining_body_bytes - len(data)
        )
        if execution.connection is not None:
            execution.connection.write(data)
            self._grant_body(execution, len(data))
        else:
            # The caller is of an earlier release, which waits for no credit.
            execution.body_parts.append(data)
            execution.charged_bytes += len(data)
            self._account.add(len(data))

    def on_writable(self, execution):
        """Lets the caller send more of a body, since the upstream reads again."""
        if not execution.is_done:
            self._grant_body(execution, 0)

    def _grant_body(self, execution, size):
        """Grants the caller bytes of the body, once the upstream has read as many.

        :param size: bytes of the body that were sent to the upstream.
        """
        execution.credit_body_bytes += size
        credit = min(execution.credit_body_bytes, execution.ungranted_body_bytes)
        if not credit or execution.connection.is_writing_paused:
            return
        execution.credit_body_bytes = 0
        execution.ungranted_body_bytes -= credit
        execution.link.send((BODY_CREDIT, execution.number, credit))

    def cancel(self, peer, number, aborts_running):
        """Ends a call whose result its caller no longer needs.

        :param aborts_running: whether to abort the call if it is already running. A
            call whose response has begun has run, and nobody reads the rest.
        """
        execution = self._executions.get((peer, number))
        if execution is None:
            return
        if execution.ticket.is_queued:
            self._queue.withdraw(execution.ticket)
            self._finish(execution)
        elif aborts_running or execution.is_streaming:
            self._finish(execution)

    def withdraw(self, peer, number):
        """Refuses a call for good if it has not been sent to the upstream."""
        execution = self._executions.get((peer, number))
        if execution is not None and execution.sent_at is None:
            self._queue.withdraw(execution.ticket)
            self._finish_not_run(execution, REASON_STOPPED)

    def end_calls(self):
        """Ends all calls and reports to their callers whether they may have run."""
        for execution in list(self._executions.values()):
            if execution.sent_at is None:
                self.withdraw(execution.peer, execution.number)
            elif execution.is_streaming:
                self._finish(execution, (RESPONSE_CUT_OFF, execution.number))
            else:
                self._fail(execution, REASON_STOPPED)

    def credit(self, peer, number, size):
        """Records that bytes of a response have been sent to the client."""
        execution = self._executions.get((peer, number))
        if execution is None:
            return
        execution.unread_bytes -= size
        self._resume(execution)

    def _refusal_reason(self, call, now):
        if self._is_stopping or call.instance != self.view.incarnation_key:
            return REASON_WRONG_INSTANCE
        if not (is_head(call.head) and is_field_value(call.caller.encode())):
            log_invalid_head(call, now)
            return REASON_INVALID_HEAD
        if not self.view.slots:
            return REASON_LEAVING
        if not self._has_time(call, now):
            return REASON_STOPPED
        if self._quarantine.is_quarantined(fingerprint(call), now):
            return REASON_QUARANTINED
        return None

    def _has_time(self, call, now):
        if self._stop is None:
            return True
        work_s = max(
            self._queue.expected_service_s(call.route),
            self._streaming_times_s.get(call.route, 0.0),
        )
        return self._stop.leaves_time(work_s, now)

    def _start(self, execution):
        now = self._clock.monotonic()
        connection = self._pool.take_idle(now, not execution.call.is_idempotent)
        if connection is not None:
            self._send(execution, connection)
            return
        task = asyncio.ensure_future(self._connect(execution))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(self, execution):
        try:
            connection = await self._pool.connect()
        except (OSError, TimeoutError) as error:
            if not execution.is_done:
                self._finish_not_run(execution, REASON_NO_CONNECTION)
                self._on_connection_refused(error)
            return
        if execution.is_done:
            connection.idle_since = self._clock.monotonic()
            self._pool.put_back(connection)
            return
        self._send(execution, connection)

    def _on_connection_refused(self, error):
        now = self._clock.monotonic()
        if not isinstance(error, ConnectionRefusedError):
            return
        suspect_fingerprints = [
            digest
            for lost_at, digest in self._broken_calls
            if now - lost_at < CRASH_WINDOW_S
        ]
        self._broken_calls.clear()
        log.warning(
            "The upstream refuses connections.",
            extra={
                "instance": self.view.instance,
                "suspects": len(suspect_fingerprints),
            },
        )
        if suspect_fingerprints and self.view.report is not None:
            # The start time is included, as an upstream may restart with its identity.
            self._on_crash(self.view.incarnation_key, suspect_fingerprints)
        self.view.mark_down()
        self._pool.close_idle()
        self.apply_upstream_state()

    def _send(self, execution, connection):
        now = self._clock.monotonic()
        call = execution.call
        reason = None
        if not self._has_time(call, now):
            reason = REASON_STOPPED
        elif self._is_outdated(call):
            reason = REASON_LEAVING
        elif now >= execution.deadline - QUEUE_MARGIN_S:
            reason = REASON_QUEUE_TIMEOUT
        if reason is not None:
            connection.idle_since = now
            self._pool.put_back(connection)
            self._finish_not_run(execution, reason)
            return
        if self._stop is not None:
            execution.deadline = min(execution.deadline, self._stop.work_until)
        execution.connection = connection
        execution.sent_at = now
        self._sent_requests += 1
        remaining_ms = int((execution.deadline - now) * 1000)
        self.running_requests.add(execution, now + remaining_ms / 1000)
        data = render_head(call, remaining_ms, self._names) + b"".join(
            execution.body_parts
        )
        execution.body_parts = []
        if execution.ungranted_body_bytes:
            execution.credit_body_bytes = BODY_WINDOW_BYTES
        loop = asyncio.get_running_loop()
        execution.timer = loop.call_at(
            loop.time() + execution.deadline - now + TIMEOUT_RESPONSE_MARGIN_S,
            self._time_out,
            execution,
        )
        connection.start(execution, data, call.request_id or None, call.is_head)
        if execution.ungranted_body_bytes and execution.connection is connection:
            self._grant_body(execution, 0)

    def _is_outdated(self, call):
        return call.instance != self.view.incarnation_key or not self.view.slots

    def _time_out(self, execution):
        execution.timer = None
        if not execution.is_done:
            if execution.is_streaming:
                self._finish(execution, (RESPONSE_CUT_OFF, execution.number))
            else:
                self._fail(execution, REASON_TIMEOUT)

    def _finish_not_run(self, execution, reason):
        level = self._level(execution.call, self._clock.monotonic())
        message = (NOT_RUN, execution.number, reason, 0, self.load(), level)
        self._finish(execution, message)

    def _finish(self, execution, message=None, is_success=False):
        """Ends a call and frees its slot, connection and memory."""
        if execution.is_done:
            return
        execution.is_done = True
        now = self._clock.monotonic()
        if execution.timer is not None:
            execution.timer.cancel()
            execution.timer = None
        if execution.connection is not None:
            connection, execution.connection = execution.connection, None
            connection.close()
        self.running_requests.remove(execution)
        self._account.add(-execution.charged_bytes)
        key = (execution.peer, execution.number)
        self._executions.pop(key, None)
        self._queue.finish(execution.ticket, now, is_success)
        self._keep_result(execution, message)
        if message is not None:
            execution.link.send(message)
        if self._queue.queued:
            self._start_ready()

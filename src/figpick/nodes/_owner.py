"""The owner: runs calls at the upstream beside its node.

It sees every call that reaches the upstream, so it alone decides which runs, waits
or goes back to its caller. A call that it gives back has certainly not run.
"""

import asyncio
from collections import deque

from ..admission import AdmissionQueue, Refusal
from ..base._logs import logger
from ..directory import UpstreamView
from ..placing import FailureShare, Load
from ._answering import Answering
from ._executions import (
    LEAVE_MARGIN_S,
    Execution,
    RunningRequests,
    fingerprint,
    render_call,
)
from ._messages import (
    BROKEN,
    FAILED,
    LOAD,
    NOT_RUN,
    REASON_CRASH,
    REASON_LEAVING,
    REASON_LINK,
    REASON_NO_CONNECTION,
    REASON_TIMEOUT,
    REASON_WAITED,
    REASON_WRONG_INSTANCE,
    WINDOW_BYTES,
)
from ._upstream import UpstreamPool

# The upstream stops at its deadline and says so; its answer needs this long.
DEADLINE_MARGIN_S = 0.3
LATE_CHECK_S = 0.02
# Calls whose connections broke this long before the upstream refused a connection
# were running when it crashed.
CRASH_WINDOW_S = 1.0
# A call whose link broke goes on for this long, since its caller may attach again.
ATTACH_WINDOW_S = 2.0

# Results of ended calls are remembered for callers that attach late.
MAX_FINISHED = 8192
# Requests that ran when an upstream crashed; it has no more slots than these.
MAX_SUSPECTS = 1024

log = logger("owner")


class Owner(Answering):
    """Runs calls at one upstream.

    :param settings: :class:`~figpick.nodes.NodeSettings`.
    :param clock: :class:`~figpick.base._clock.Clock`.
    :param judge: :class:`~figpick.admission.CrashJudge`.
    :param on_changed: called when the state of the upstream changes.
    :param on_crash: called with the start that crashed and the fingerprints that ran.
    """

    def __init__(self, settings, clock, judge, on_changed, on_crash):
        self._names = settings.headers
        self._clock = clock
        self._judge = judge
        self._on_changed = on_changed
        self._on_crash = on_crash
        self._queue = AdmissionQueue()
        self._pool = UpstreamPool(settings.upstream_address, settings.headers)
        self.view = UpstreamView()
        self._links = set()
        self._executions = {}
        self._finished = {}
        self.running_requests = RunningRequests()
        self._broken = deque(maxlen=MAX_SUSPECTS)
        self._failures = FailureShare()
        self._failures_told_at = 0.0
        self._is_failing = False
        self._slow_timer = None
        self._tasks = set()
        self._late_timer = None
        self._is_stopping = False

    def __repr__(self):
        return f"<Owner {self.view} {self._queue}>"

    @property
    def queue(self):
        """:class:`~figpick.admission.AdmissionQueue`, for reading only."""
        return self._queue

    @property
    def busy(self):
        """Number of calls that wait or run."""
        return len(self._executions)

    def load(self):
        """Load as it is reported to calling nodes."""
        queue = self._queue
        now = self._clock.monotonic()
        inner_s, entry_s = queue.waits_s(now)
        return Load(
            running=queue.running,
            queued=queue.queued,
            limit=0 if self._is_stopping else queue.limit,
            inner_wait_ms=int(inner_s * 1000),
            entry_wait_ms=int(entry_s * 1000),
            failure_percent=int(self._failures.value(now) * 100),
        )

    def add_link(self, link):
        """Starts to report changes of the load on a link."""
        self._links.add(link)
        link.send((LOAD, self.load(), self.view.instance))

    def drop_link(self, link):
        """Notes that a link has closed; its calls can be attached to another."""
        self._links.discard(link)
        lost = [each for each in self._executions.values() if each.link is link]
        if lost:
            loop = asyncio.get_running_loop()
            loop.call_later(ATTACH_WINDOW_S, self._drop_unattached, lost, link)

    def attach(self, link, peer, numbers):
        """Moves calls to a new link of their caller.

        Earlier links of the caller must be closed, so that no call that they still
        carry can arrive afterwards.

        :param peer: name and token of the caller.
        :param numbers: numbers of the calls that it still awaits.
        """
        for number in numbers:
            key = (peer, number)
            execution = self._executions.get(key)
            if execution is None:
                link.send(self._result(key))
            elif execution.streams:
                self._finish(execution)
                link.send((BROKEN, number))
            else:
                execution.link = link

    def _result(self, key):
        _, number = key
        if key not in self._finished:
            return (NOT_RUN, number, REASON_LINK, 0, self.load(), 1.0)
        message = self._finished[key]
        return message or (FAILED, number, REASON_LINK, self.load())

    def upstream_changed(self):
        """Applies the state of :attr:`view` to the queue and tells callers."""
        slots = 0 if self._is_stopping else self.view.slots
        self._queue.set_slots(slots)
        if not slots:
            self._give_back(REASON_LEAVING)
        self._tell_load()
        self._on_changed()
        if slots:
            self._start_ready()

    def stop_taking(self):
        """Takes no more calls; those that wait go back to their callers."""
        self._is_stopping = True
        self.upstream_changed()

    def handle_call(self, link, peer, number, call):
        """Takes a call of a node.

        :param peer: name and token of the node.
        :param call: :class:`CallMessage`.
        """
        now = self._clock.monotonic()
        reason = self._refusal_reason(call, now)
        if reason is not None:
            self._send_not_run(link, number, reason, 0.0, call)
            return
        execution = Execution(self, link, peer, number, call, now)
        outcome = self._queue.offer(execution.ticket, now)
        if isinstance(outcome, Refusal):
            retry_after_s = outcome.retry_after_s
            self._send_not_run(link, number, outcome.reason, retry_after_s, call)
            return
        self._executions[peer, number] = execution
        self._watch_slow()
        if outcome is None:
            self._start(execution)
        else:
            self._watch_late()

    def add_body(self, peer, number, data, is_last):
        """Takes a further part of the body of a call."""
        execution = self._executions.get((peer, number))
        if execution is None:
            return
        execution.body_left = 0 if is_last else execution.body_left - len(data)
        if execution.connection is not None:
            execution.connection.write(data)
        else:
            execution.parts.append(data)

    def cancel(self, peer, number, breaks_off):
        """Ends a call that its caller no longer wants.

        :param breaks_off: whether to end it when it runs already.
        """
        execution = self._executions.get((peer, number))
        if execution is None:
            return
        if execution.ticket.is_queued:
            self._queue.withdraw(execution.ticket)
            self._finish(execution)
        elif breaks_off:
            self._finish(execution)

    def credit(self, peer, number, size):
        """Notes that bytes of an answer have reached the client."""
        execution = self._executions.get((peer, number))
        if execution is None:
            return
        execution.unread -= size
        if execution.is_paused and execution.unread < WINDOW_BYTES:
            execution.is_paused = False
            execution.connection.resume()

    def _refusal_reason(self, call, now):
        if self._is_stopping or call.instance != self.view.instance:
            return REASON_WRONG_INSTANCE
        if not self.view.slots:
            return REASON_LEAVING
        if self._judge.is_guilty(fingerprint(call), now):
            return REASON_CRASH
        return None

    def _start(self, execution):
        now = self._clock.monotonic()
        runs_once = not execution.call.is_idempotent
        connection = self._pool.take_idle(now, runs_once)
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
                self._refuse_started(execution, REASON_NO_CONNECTION)
                self._upstream_refused(error)
            return
        if execution.is_done:
            connection.idle_since = self._clock.monotonic()
            self._pool.put_back(connection)
            return
        self._send(execution, connection)

    def _upstream_refused(self, error):
        now = self._clock.monotonic()
        if not isinstance(error, ConnectionRefusedError):
            return
        crashed = [name for at, name in self._broken if now - at < CRASH_WINDOW_S]
        self._broken.clear()
        log.warning(
            "The upstream refuses connections.",
            extra={"instance": self.view.instance, "suspects": len(crashed)},
        )
        if crashed and self.view.report is not None:
            # An upstream may start again under the identity that it had.
            instance, started_ms = self.view.report.start
            self._on_crash(f"{instance} {started_ms}", crashed)
        self.view.lose()
        self._pool.close_idle()
        self.upstream_changed()

    def _send(self, execution, connection):
        now = self._clock.monotonic()
        call = execution.call
        if now >= execution.deadline - LEAVE_MARGIN_S or self._is_other(call):
            connection.idle_since = now
            self._pool.put_back(connection)
            self._refuse_started(execution, REASON_WAITED)
            return
        execution.connection = connection
        execution.sent_at = now
        left_ms = int((execution.deadline - now) * 1000)
        self.running_requests.add(execution, now + left_ms / 1000)
        data = render_call(call, left_ms, self._names) + b"".join(execution.parts)
        execution.parts = []
        loop = asyncio.get_running_loop()
        execution.timer = loop.call_at(
            loop.time() + execution.deadline - now + DEADLINE_MARGIN_S,
            self._time_out,
            execution,
        )
        connection.start(execution, data, call.request_id or None, call.is_head)

    def _is_other(self, call):
        return call.instance != self.view.instance or not self.view.slots

    def _time_out(self, execution):
        execution.timer = None
        if not execution.is_done:
            if execution.streams:
                self._finish(execution, (BROKEN, execution.number))
            else:
                self._fail(execution, REASON_TIMEOUT)

    def _refuse_started(self, execution, reason):
        level = self._level(execution.call, self._clock.monotonic())
        message = (NOT_RUN, execution.number, reason, 0, self.load(), level)
        self._finish(execution, message)

    def _finish(self, execution, message=None, served=False):
        """Ends a call: frees its slot, its connection and its memory."""
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
        key = (execution.peer, execution.number)
        self._executions.pop(key, None)
        self._queue.finish(execution.ticket, now, served)
        self._remember(key, None if execution.link.is_open else message)
        if message is not None:
            execution.link.send(message)
        if self._queue.queued:
            self._start_ready()

    def _remember(self, key, message):
        self._finished[key] = message
        if len(self._finished) > MAX_FINISHED:
            del self._finished[next(iter(self._finished))]

    def _start_ready(self):
        started, late = self._queue.take_ready(self._clock.monotonic())
        for ticket in late:
            self._refuse_started(ticket.call, REASON_WAITED)
        for ticket in started:
            self._start(ticket.call)

    def _watch_late(self):
        if self._late_timer is None:
            loop = asyncio.get_running_loop()
            self._late_timer = loop.call_later(LATE_CHECK_S, self._check_late)

    def _check_late(self):
        self._late_timer = None
        for ticket in self._queue.take_late(self._clock.monotonic()):
            self._refuse_started(ticket.call, REASON_WAITED)
        if self._queue.queued:
            self._watch_late()

    def _give_back(self, reason):
        for ticket in self._queue.take_all():
            self._refuse_started(ticket.call, reason)

    def _drop_unattached(self, executions, link):
        for execution in executions:
            if execution.is_done or execution.link is not link:
                continue
            if execution.call.is_idempotent or execution.ticket.is_queued:
                self._queue.withdraw(execution.ticket)
                self._finish(execution)

    def _send_not_run(self, link, number, reason, retry_after_s, call):
        level = self._level(call, self._clock.monotonic())
        retry_after_ms = int(retry_after_s * 1000)
        link.send((NOT_RUN, number, reason, retry_after_ms, self.load(), level))

    def _level(self, call, now, below=1.0):
        # Requests that start here are refused here, at no cost to services above.
        own = self._queue.level(call.rank, now) if call.is_inner else 1.0
        return round(min(own, below), 3)

    def _tell_load(self):
        message = (LOAD, self.load(), self.view.instance)
        for link in list(self._links):
            link.send(message)

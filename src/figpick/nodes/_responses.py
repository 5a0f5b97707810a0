"""Forwards the responses of the upstream to calling nodes."""

import asyncio
from functools import partial

from ..admission import FREE_CAPACITY_LEVEL
from ..base._logs import logger
from ..placing import slow_call_share
from ..wire import render_response
from ._call_logging import log_connection_lost, log_not_run
from ._calls import STATUS_TIMEOUT
from ._executions import fingerprint, is_from_upstream
from ._identity_check import STATUS_MISDIRECTED
from ._messages import (
    FAILED,
    REASON_BROKEN_RESPONSE,
    REASON_MISDIRECTED,
    REASON_UPSTREAM_FULL,
    RESPONSE,
    RESPONSE_CUT_OFF,
    RESPONSE_PART,
    RESPONSE_WINDOW_BYTES,
)

# Responses up to this size are buffered and forwarded whole, so that a call whose
# response was cut off can be retried.
MAX_BUFFERED_RESPONSE_BYTES = 64 * 1024
# Responses up to this size are sent on a link that is congested.
MAX_PROMPT_BYTES = 4 * 1024
# Above this share of failed calls, the load is also reported to nodes that have not
# sent calls recently, but not after each response.
FAILING_SHARE = 0.3
# The upstream counts as failing until its share falls below this (hysteresis).
RECOVERED_SHARE = 0.1
FAILURE_REPORT_PERIOD_S = 0.2
SLOW_CHECK_PERIOD_S = 0.1
# Weight of one streamed response in the typical time of its route.
STREAMING_TIME_WEIGHT = 0.1

log = logger("owner")


class ResponseRelay:
    """Base class of the owner that handles the responses of the upstream.

    Only responses of the upstream itself are forwarded. Small ones are sent in one
    message, large ones are streamed as fast as the client reads.
    """

    def on_response(self, execution, reader):
        """Forwards the received part of a response."""
        if execution.is_done:
            return
        if not execution.has_read_notice:
            execution.has_read_notice = True
            self._read_notice(execution, reader)
        if self._must_wait(execution, reader):
            # The slot stays taken, so that no further responses pile up.
            self._pause(execution)
        else:
            self._forward(execution, reader)

    def _must_wait(self, execution, reader):
        link = execution.link
        if not link.is_congested or reader.body_bytes <= MAX_PROMPT_BYTES:
            return False
        is_whole = reader.is_complete and not execution.is_streaming
        return link.is_backlogged if is_whole else True

    def on_connection_lost(self, execution, reason):
        """Ends a call whose connection to the upstream was lost."""
        if execution.is_done:
            return
        reader = execution.connection.reader
        if execution.is_paused and reader.is_complete:
            # It was only held back, since the link was congested.
            execution.is_paused = False
            self._forward(execution, reader)
            return
        now = self._clock.monotonic()
        self._broken_calls.append((now, fingerprint(execution.call)))
        log_connection_lost(execution, reason, now)
        if execution.is_streaming:
            self._finish(execution, (RESPONSE_CUT_OFF, execution.number))
        else:
            self._fail(execution, REASON_BROKEN_RESPONSE)

    def _forward(self, execution, reader):
        if execution.is_streaming:
            self._stream_part(execution, reader)
        elif reader.is_complete:
            self._forward_response(execution, reader)
        elif reader.body_bytes > MAX_BUFFERED_RESPONSE_BYTES:
            self._start_streaming(execution, reader)

    def _forward_response(self, execution, reader):
        now = self._clock.monotonic()
        is_unrun = reader.header(self._names.not_run) is not None
        if is_unrun or reader.status == STATUS_MISDIRECTED:
            echoed_id = reader.header(self._names.request_id)
            if not self._refused_requests.add(execution.call, echoed_id, now):
                reason = "the refusal may be that of another request"
                self.on_connection_lost(execution, reason)
                return
        if is_unrun:
            self._return_unrun(execution, reader)
            return
        if reader.status == STATUS_MISDIRECTED:
            log.warning(
                "Another upstream responds at this address.",
                extra={"instance": execution.call.instance},
            )
            other = reader.header(self._names.responding_instance) or b""
            self._discard_connection(execution)
            self._finish_not_run(execution, REASON_MISDIRECTED)
            self.view.restore_instance(other.decode("latin-1"))
            self.apply_upstream_state()
            return
        if not is_from_upstream(reader, self._names):
            self.on_connection_lost(execution, "the response is not from the upstream")
            return
        self._record_outcome(execution, reader.status, now)
        body = reader.take_chunks()
        served_ms = int((now - execution.sent_at) * 1000)
        message = (
            RESPONSE,
            execution.number,
            reader.status,
            _head(reader),
            len(body),
            body,
            True,
            self.load(),
            self._level(execution.call, now, execution.level),
            served_ms,
        )
        self._release(execution, reader, now)
        self._finish(execution, message, is_success=reader.status < 500)

    def _record_outcome(self, execution, status, now):
        # If services below had no free capacity, the upstream itself did not fail.
        if status >= 500 and execution.level < FREE_CAPACITY_LEVEL:
            return
        failed = status >= 500 and status != STATUS_TIMEOUT
        self._failures.record(failed, now)
        if failed:
            self._report_failures(now)

    def _report_failures(self, now):
        share = self._failures.value(now)
        limit = RECOVERED_SHARE if self._is_failing else FAILING_SHARE
        is_failing = share > limit
        if is_failing != self._is_failing:
            self._is_failing = is_failing
            log.notice(
                "Upstream fails." if is_failing else "Upstream fails no longer.",
                extra={
                    "instance": self.view.instance,
                    "failure_share": round(share, 2),
                    "load": list(self.load()),
                },
            )
        if is_failing and now - self._failures_reported_at > FAILURE_REPORT_PERIOD_S:
            self._failures_reported_at = now
            self._report_load()

    def _schedule_slow_check(self):
        if self._slow_timer is None:
            loop = asyncio.get_running_loop()
            self._slow_timer = loop.call_later(
                SLOW_CHECK_PERIOD_S, self._check_slow_calls
            )

    def _check_slow_calls(self):
        self._slow_timer = None
        now = self._clock.monotonic()
        running = [
            (
                now - execution.sent_at,
                self._queue.expected_service_s(execution.call.route),
            )
            for execution in self._executions.values()
            if execution.sent_at is not None
            and self._queue.has_served(execution.call.route)
        ]
        share = slow_call_share(running)
        if share > self._failures.value(now):
            self._failures.replace(share, now)
        self._report_failures(now)
        if self._executions:
            self._schedule_slow_check()

    def _release(self, execution, reader, now):
        connection, execution.connection = execution.connection, None
        # The upstream may have responded before it received the whole body; the
        # connection cannot be reused then.
        connection.release(now, may_reuse=execution.remaining_body_bytes <= 0)

    def _discard_connection(self, execution):
        # A later copy of a refusal would pass for the response to the next attempt of
        # its call, which has the same id.
        connection, execution.connection = execution.connection, None
        connection.close()

    def _return_unrun(self, execution, reader):
        now = self._clock.monotonic()
        log_not_run(execution, reader.status, self._queue, now)
        self._discard_connection(execution)
        self._finish_not_run(execution, REASON_UPSTREAM_FULL)

    def _start_streaming(self, execution, reader):
        if not is_from_upstream(reader, self._names):
            self.on_connection_lost(execution, "the response is not from the upstream")
            return
        execution.is_streaming = True
        length = reader.header(b"content-length")
        body = reader.take_chunks()
        execution.unread_bytes += len(body)
        execution.link.send(
            (
                RESPONSE,
                execution.number,
                reader.status,
                _head(reader),
                int(length) if length is not None else -1,
                body,
                False,
                self.load(),
                execution.level,
                0,
            )
        )
        self._check_window(execution)

    def _stream_part(self, execution, reader):
        body = reader.take_chunks()
        execution.unread_bytes += len(body)
        message = (RESPONSE_PART, execution.number, body, reader.is_complete)
        if reader.is_complete:
            now = self._clock.monotonic()
            self._record_stream(execution.call.route, now - execution.sent_at)
            self._release(execution, reader, now)
            self._finish(execution, message)
        else:
            execution.link.send(message)
            self._check_window(execution)

    def _record_stream(self, route, seconds):
        average_s = self._streaming_times_s.get(route, seconds)
        self._streaming_times_s[route] = average_s + STREAMING_TIME_WEIGHT * (
            seconds - average_s
        )

    def _check_window(self, execution):
        is_window_full = execution.unread_bytes >= RESPONSE_WINDOW_BYTES
        if is_window_full or execution.link.is_congested:
            self._pause(execution)

    def _pause(self, execution):
        """Pauses a response until its client and the link to it take more."""
        if not execution.is_paused:
            execution.is_paused = True
            execution.connection.pause()
        if execution.link.is_congested and not execution.awaits_link:
            execution.awaits_link = True
            execution.link.call_when_writable(
                partial(self._on_link_writable, execution)
            )

    def _on_link_writable(self, execution):
        execution.awaits_link = False
        if not execution.is_done:
            self._resume(execution)

    def _resume(self, execution):
        """Resumes a paused response if its client and the link to it take more."""
        is_window_full = execution.unread_bytes >= RESPONSE_WINDOW_BYTES
        if not execution.is_paused or is_window_full or execution.awaits_link:
            return
        if execution.link.is_congested:
            self._pause(execution)
            return
        execution.is_paused = False
        connection = execution.connection
        connection.resume()
        if connection.reader.chunks or connection.reader.is_complete:
            self.on_response(execution, connection.reader)

    def _fail(self, execution, reason):
        self._finish(execution, (FAILED, execution.number, reason, self.load()))


def _head(reader):
    return render_response(reader.status, reader.headers)

"""How the owner passes on what the upstream answers."""

import asyncio

from ..admission import FREE_CAPACITY_LEVEL
from ..base._logs import logger
from ..placing import slow_call_share
from ..wire import render_response
from ._call_logging import log_connection_lost, log_not_run
from ._calls import STATUS_TIMEOUT
from ._executions import fingerprint, is_whole
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

# Answers up to this size are passed on whole, so that one which breaks off before
# can be asked for again.
WHOLE_ANSWER_BYTES = 64 * 1024
MISDIRECTED = 421
# Callers that have not sent anything lately also learn of an upstream that fails most
# of what it gets, but not with each answer.
TOLD_FAILURE_SHARE = 0.3
# It counts as failing until the share is well below that.
CALM_FAILURE_SHARE = 0.1
TOLD_PERIOD_S = 0.2
SLOW_CHECK_S = 0.1

log = logger("owner")


class Answering:
    """The part of the owner that takes answers; the rest is in its subclass.

    Only answers of the upstream itself are passed on, whole ones in one message, and
    the rest of a large one as its client reads.
    """

    def on_answer(self, execution, reader):
        """Passes on what has come of an answer."""
        if execution.is_done:
            return
        if execution.streams:
            self._stream(execution, reader)
        elif reader.complete:
            self._answer(execution, reader)
        elif reader.body_bytes > WHOLE_ANSWER_BYTES:
            self._begin_stream(execution, reader)

    def on_lost(self, execution, reason):
        """Ends a call whose connection broke."""
        if execution.is_done:
            return
        now = self._clock.monotonic()
        self._broken.append((now, fingerprint(execution.call)))
        log_connection_lost(execution, reason, now)
        if execution.streams:
            self._finish(execution, (RESPONSE_CUT_OFF, execution.number))
        else:
            self._fail(execution, REASON_BROKEN_RESPONSE)

    def _answer(self, execution, reader):
        now = self._clock.monotonic()
        if reader.header(self._names.not_run) is not None:
            self._give_back_unrun(execution, reader)
            return
        if reader.status == MISDIRECTED:
            log.warning(
                "Another upstream answers at this address.",
                extra={"instance": execution.call.instance},
            )
            other = reader.header(self._names.responding_instance) or b""
            self._release(execution, reader, now)
            self._refuse_started(execution, REASON_MISDIRECTED)
            self.view.restore_instance(other.decode("latin-1"))
            self.upstream_changed()
            return
        if not is_whole(reader, self._names):
            self.on_lost(execution, "not the upstream's answer")
            return
        self._note_outcome(execution, reader.status, now)
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
        self._finish(execution, message, served=reader.status < 500)

    def _note_outcome(self, execution, status, now):
        # Where services below had no room, the failure is not the upstream's own.
        if status >= 500 and execution.level < FREE_CAPACITY_LEVEL:
            return
        failed = status >= 500 and status != STATUS_TIMEOUT
        self._failures.record(failed, now)
        if failed:
            self._tell_failures(now)

    def _tell_failures(self, now):
        share = self._failures.value(now)
        limit = CALM_FAILURE_SHARE if self._is_failing else TOLD_FAILURE_SHARE
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
        if is_failing and now - self._failures_told_at > TOLD_PERIOD_S:
            self._failures_told_at = now
            self._tell_load()

    def _watch_slow(self):
        if self._slow_timer is None:
            loop = asyncio.get_running_loop()
            self._slow_timer = loop.call_later(SLOW_CHECK_S, self._check_slow)

    def _check_slow(self):
        self._slow_timer = None
        now = self._clock.monotonic()
        running = [
            (now - each.sent_at, self._queue.expected_service_s(each.call.route))
            for each in self._executions.values()
            if each.sent_at is not None and self._queue.has_served(each.call.route)
        ]
        share = slow_call_share(running)
        if share > self._failures.value(now):
            self._failures.replace(share, now)
        self._tell_failures(now)
        if self._executions:
            self._watch_slow()

    def _release(self, execution, reader, now):
        connection, execution.connection = execution.connection, None
        # A body that the upstream did not wait for may still be on its way.
        connection.release(now, may_reuse=execution.body_left <= 0)

    def _give_back_unrun(self, execution, reader):
        now = self._clock.monotonic()
        log_not_run(execution, reader.status, self._queue, now)
        self._release(execution, reader, now)
        self._refuse_started(execution, REASON_UPSTREAM_FULL)

    def _begin_stream(self, execution, reader):
        if not is_whole(reader, self._names):
            self.on_lost(execution, "not the upstream's answer")
            return
        execution.streams = True
        length = reader.header(b"content-length")
        body = reader.take_chunks()
        execution.unread += len(body)
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

    def _stream(self, execution, reader):
        body = reader.take_chunks()
        execution.unread += len(body)
        message = (RESPONSE_PART, execution.number, body, reader.complete)
        if reader.complete:
            self._release(execution, reader, self._clock.monotonic())
            self._finish(execution, message)
        else:
            execution.link.send(message)
            self._check_window(execution)

    def _check_window(self, execution):
        if execution.unread >= RESPONSE_WINDOW_BYTES and not execution.is_paused:
            execution.is_paused = True
            execution.connection.pause()

    def _fail(self, execution, reason):
        self._finish(execution, (FAILED, execution.number, reason, self.load()))


def _head(reader):
    return render_response(reader.status, reader.headers)

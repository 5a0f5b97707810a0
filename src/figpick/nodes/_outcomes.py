"""Handles outcomes of attempts that owners report, and attempts whose host is lost.

An attempt that did not run, or failed and may be repeated, is placed at another host
within the retry budget. Other outcomes end the call.
"""

import asyncio

from ..admission import (
    FREE_CAPACITY_LEVEL,
    NO_CAPACITY_LEVEL,
    REASON_RATE_LIMITED,
)
from ..placing import Load
from ..wire import is_head
from ._call_logging import log_ended, log_invalid_response_head
from ._calls import STATUS_FAILED, STATUS_TIMEOUT
from ._dispatching import STARTUP_WAIT_S
from ._messages import (
    BODY_CREDIT,
    FAILED,
    NOT_RUN,
    REASON_BROKEN_RESPONSE,
    REASON_LINK_LOST,
    REASON_QUARANTINED,
    REASON_QUEUE_TIMEOUT,
    REASON_STOPPED,
    REASON_TIMEOUT,
    REASONS_AT_UPSTREAM,
    RESPONSE,
    RESPONSE_CUT_OFF,
    RESPONSE_PART,
    WITHDRAW,
)

REASON_OWNER_LOST = "owner-lost"
# Reasons that say that the host of an attempt is lost.
HOST_LOST_REASONS = frozenset((REASON_OWNER_LOST, REASON_LINK_LOST))
MAX_PLACEMENTS = 3
MAX_NESTED_PLACEMENTS = 6
# A lost link is open again after a few milliseconds unless its host is gone or stands
# still.
REATTACH_WAIT_S = 0.5
# A node that has left reads what it is sent until its process ends.
LEFT_REATTACH_WAIT_S = 1.8
# Tells a timeout of an upstream beside a stopping node from that of the caller.
EARLY_TIMEOUT_MARGIN_S = 0.1


class AttemptOutcomes:
    """Base class of the forwarder that handles the outcomes of attempts."""

    # Whether calls may be sent to further hosts.
    _sends_again = True

    def on_link_lost(self, peer):
        """Fails the calls of a lost link unless it opens again in time.

        Calls that must run once have no other host to go to. They wait until their
        timeout, unless their host has left, since the owner may still run them and
        keeps their results.
        """
        loop = asyncio.get_running_loop()
        for attempt in list(peer.attempts.values()):
            if attempt.call.route.is_idempotent or attempt.is_streaming:
                loop.call_later(REATTACH_WAIT_S, self._fail_if_unattached, attempt)
            elif peer.is_retired:
                wait_s = LEFT_REATTACH_WAIT_S
                loop.call_later(wait_s, self._fail_if_unattached, attempt)

    def on_peer_lost(self, peer, attempts):
        """Fails the attempts at an owner that is gone; they may have run."""
        for attempt in attempts:
            self._on_failed(attempt, REASON_OWNER_LOST, None)

    def on_peer_message(self, peer, message):
        """Handles a message of an owner on a call."""
        attempt = peer.attempts.get(message[1])
        if attempt is None:
            return
        kind = message[0]
        if kind == RESPONSE and not is_head(message[3]):
            log_invalid_response_head(attempt, self.now())
            self._dispatcher.cancel(attempt)
            self._on_failed(attempt, REASON_BROKEN_RESPONSE, None)
        elif kind == RESPONSE:
            self._on_response(attempt, message)
        elif kind == NOT_RUN:
            self._on_not_run(attempt, *message[2:])
        elif kind == FAILED:
            self._on_failed(attempt, message[2], message[3])
        elif kind == RESPONSE_PART:
            self._on_response_part(attempt, message[2], message[3])
        elif kind == RESPONSE_CUT_OFF:
            self._on_response_cut_off(attempt)
        elif kind == BODY_CREDIT and attempt.body_sender is not None:
            attempt.body_sender.add_credit(message[2])

    def withdraw_calls(self):
        """Withdraws the calls that owners have not started, and sends none again."""
        self._sends_again = False
        for call in list(self._open_calls):
            if call.hedge_timer is not None:
                call.hedge_timer.cancel()
                call.hedge_timer = None
            if call.is_waiting_for_host:
                self._finish_not_run(call, REASON_STOPPED, STARTUP_WAIT_S)
            for attempt in call.attempts.values():
                if attempt.peer.link is not None:
                    attempt.peer.link.send((WITHDRAW, attempt.number))

    def end_calls(self):
        """Responds to all calls whose response has not begun."""
        for call in list(self._open_calls):
            attempts = list(call.attempts.values())
            is_streaming = any(attempt.is_streaming for attempt in attempts)
            # A call without a route waits for the end of a pause and is refused then.
            if call.is_done or is_streaming or call.route is None:
                continue
            log_ended(call, self.now())
            # Without a confirmation of the owner, an attempt may have run.
            call.may_have_run = call.may_have_run or bool(attempts)
            self._finish_not_run(call, REASON_STOPPED, STARTUP_WAIT_S)

    def _fail_if_unattached(self, attempt):
        peer = attempt.peer
        if peer.link is None and peer.attempts.pop(attempt.number, None) is not None:
            self._on_failed(attempt, REASON_LINK_LOST, None)

    def _on_response(self, attempt, message):
        _, _, status, head, length, body, is_last, load, level, served_ms = message
        call = attempt.call
        target = attempt.peer.target
        now = self.now()
        attempt.peer.update_load(Load(*load), now)
        is_early_timeout = (
            is_last and status == STATUS_TIMEOUT and self._has_more_time(attempt, now)
        )
        if is_last:
            # A timeout also counts as served: the upstream worked until the deadline.
            if status < 500 or (status == STATUS_TIMEOUT and not is_early_timeout):
                target.record_success(call.route.name, served_ms / 1000, now)
            self._dispatcher.forget(attempt)
        self.policy.record_response_level(call, level)
        if call.is_done:
            return
        can_retry = status >= 500 and (status != STATUS_TIMEOUT or is_early_timeout)
        awaits_other = is_early_timeout and bool(call.attempts)
        if awaits_other or (can_retry and self._may_retry(call, level, now)):
            call.failure = (status, head, body)
            call.used_attempts += 1
            call.was_at_upstream = call.may_have_run = True
            if not awaits_other:
                self._log_attempt("Call sent again.", attempt, str(status), now)
                self._dispatcher.place(call)
            return
        for other in list(call.attempts.values()):
            if other is not attempt:
                self._dispatcher.cancel(other)
        if not is_last:
            attempt.is_streaming = True
            if attempt.body_sender is None or attempt.body_sender.is_done:
                # A response that has begun is not repeated.
                call.discard_body()
            call.response.start(status, head, length, body, False)
            return
        self._counters.count(call, "answered", status)
        if status >= 500:
            self._log_attempt(
                "Upstream answered with a failure.",
                attempt,
                str(status),
                now,
            )
        call.response.start(status, head, length, body, True)
        self._finish_call(call)

    def _has_more_time(self, attempt, now):
        """Returns whether a call has more time than its upstream was given.

        A host that takes no more calls, since its node stops, shortens the deadline.
        """
        work_until = self._dispatcher.work_until(attempt.call)
        is_leaving = attempt.peer.target.load.limit == 0
        return is_leaving and now < work_until - EARLY_TIMEOUT_MARGIN_S

    def _may_retry(self, call, level, now):
        """Returns whether to retry at another host after a failure of the upstream.

        Where the called services lack free capacity, the next host would fail as well.
        """
        return (
            level >= FREE_CAPACITY_LEVEL
            and self._sends_again
            and call.route.is_idempotent
            and not call.attempts
            and call.used_attempts + 1 < call.route.attempts
            and now < call.respond_by
            and self._dispatcher.has_sound_untried_host(call, now)
            and self._dispatcher.retry_budget(call.service).take(now)
        )

    def _on_response_part(self, attempt, body, is_last):
        call = attempt.call
        if is_last:
            self._dispatcher.forget(attempt)
            seconds = self.now() - attempt.sent_at
            attempt.peer.target.record_stream(call.route.name, seconds)
        if call.is_done or not attempt.is_streaming:
            return
        call.response.write(body, is_last)
        if is_last:
            self._counters.count(call, "answered", 200)
            self._finish_call(call)

    def _on_response_cut_off(self, attempt):
        call = attempt.call
        self._dispatcher.forget(attempt)
        if call.is_done:
            return
        self._log_attempt("Answer broke off.", attempt, "broken", self.now())
        self._counters.count(call, "broken")
        call.response.abort()
        self._finish_call(call)

    def _on_not_run(self, attempt, reason, retry_after_ms, load, level):
        call = attempt.call
        self._dispatcher.forget(attempt)
        now = self.now()
        attempt.peer.update_load(Load(*load), now)
        self.policy.record_level(call.route, level)
        call.level = level
        if call.is_done or call.attempts:
            return
        if reason == REASON_RATE_LIMITED:
            wait_s = retry_after_ms / 1000
            known_s = call.rate_limit_wait_s
            call.rate_limit_wait_s = wait_s if known_s is None else min(known_s, wait_s)
        limit = MAX_NESTED_PLACEMENTS if call.is_nested else MAX_PLACEMENTS
        # A nested call waits at each host for only a part of its remaining time, so it
        # may still run at another one.
        is_final = (
            not self._sends_again
            or reason == REASON_QUARANTINED
            or (reason == REASON_QUEUE_TIMEOUT and not call.is_nested)
        )
        may_place_again = (
            not is_final and call.placements < limit and now < call.respond_by
        )
        if may_place_again and reason in REASONS_AT_UPSTREAM:
            call.was_at_upstream = True
            may_place_again = self._dispatcher.retry_budget(call.service).take(now)
        if may_place_again:
            self._dispatcher.place(call)
        else:
            self._finish_not_run(call, reason, retry_after_ms / 1000)

    def _on_failed(self, attempt, reason, load):
        if attempt.is_streaming:
            # Its client has a part of the response, which nothing else can follow.
            self._on_response_cut_off(attempt)
            return
        call = attempt.call
        self._dispatcher.forget(attempt)
        target = attempt.peer.target
        now = self.now()
        if load is not None:
            attempt.peer.update_load(Load(*load), now)
        target.record_failure(now)
        call.was_at_upstream = call.may_have_run = True
        if call.is_done or call.attempts:
            return
        if reason in HOST_LOST_REASONS:
            call.level = NO_CAPACITY_LEVEL
        call.used_attempts += 1
        can_retry = (
            self._sends_again
            and call.route.is_idempotent
            and reason != REASON_TIMEOUT
            and call.used_attempts < call.route.attempts
            and now < call.respond_by
            and self._dispatcher.has_time(call, now)
        )
        if can_retry and self._dispatcher.retry_budget(call.service).take(now):
            self._log_attempt("Call sent again.", attempt, reason, now)
            self._dispatcher.place(call)
            return
        self._report_lost_host(call)
        self._log_attempt("Call failed.", attempt, reason, now)
        self._counters.count(call, "failed")
        status = STATUS_TIMEOUT if reason == REASON_TIMEOUT else STATUS_FAILED
        call.send_error(status, f"no whole answer of the upstream: {reason}")
        self._finish_call(call)

    def _report_lost_host(self, call):
        """Reports a nested call whose host does not respond to its request."""
        if call.parent is not None and call.level == NO_CAPACITY_LEVEL:
            call.parent.add_child_level(call.level)

"""Starts and returns the calls that wait at an owner."""

import asyncio

from ._messages import NOT_RUN, REASON_QUEUE_TIMEOUT

EXPIRY_CHECK_PERIOD_S = 0.02


class OwnerQueue:
    """Base class of the owner that starts waiting calls when they may run."""

    def _start_ready(self):
        started, expired = self._queue.start_ready(self._clock.monotonic())
        for ticket in expired:
            self._finish_not_run(ticket.call, REASON_QUEUE_TIMEOUT)
        for ticket in started:
            self._start(ticket.call)
        self._schedule_start(self._clock.monotonic())

    def _schedule_start(self, now):
        """Schedules the next start of a call that waits for the rate limit."""
        delay_s = self._queue.next_start_s(now)
        if delay_s is not None and self._start_timer is None:
            loop = asyncio.get_running_loop()
            self._start_timer = loop.call_later(delay_s, self._start_delayed)

    def _start_delayed(self):
        self._start_timer = None
        self._start_ready()

    def _schedule_expiry_check(self):
        if self._expiry_timer is None:
            loop = asyncio.get_running_loop()
            self._expiry_timer = loop.call_later(
                EXPIRY_CHECK_PERIOD_S, self._return_expired
            )

    def _return_expired(self):
        self._expiry_timer = None
        for ticket in self._queue.remove_expired(self._clock.monotonic()):
            self._finish_not_run(ticket.call, REASON_QUEUE_TIMEOUT)
        if self._queue.queued:
            self._schedule_expiry_check()

    def _return_queued(self, reason):
        for ticket in self._queue.remove_all():
            self._finish_not_run(ticket.call, reason)

    def _send_not_run(self, link, number, reason, retry_after_s, call):
        level = self._level(call, self._clock.monotonic())
        retry_after_ms = int(retry_after_s * 1000)
        link.send((NOT_RUN, number, reason, retry_after_ms, self.load(), level))

    def _level(self, call, now, nested_level=1.0):
        # Refusing an entry request wastes no work of other services, so only nested
        # calls report the level of the queue.
        own = self._queue.level(call.rank, now) if call.is_nested else 1.0
        return round(min(own, nested_level), 3)

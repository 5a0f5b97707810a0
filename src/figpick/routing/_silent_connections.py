"""Detects silent connections, which stopped responding without being closed."""

import asyncio

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import HTTPHeaders, HTTPMessageDelegate, RequestStartLine
from tornado.iostream import StreamClosedError

from ..messaging._connections import CHUNK_BYTES
from ._attempt_progress import Action, AttemptProgress, Latencies, UpstreamAttempts

CHECK_PERIOD_S = 0.02
PROBE_TIMEOUT_S = 1.0
# A probe needs only the head of its response.
MAX_PROBE_BODY_BYTES = 64 * 1024
PROBE_PARAMETERS = HTTP1ConnectionParameters(
    chunk_size=CHUNK_BYTES, max_body_size=MAX_PROBE_BODY_BYTES
)
PROBE_PERIOD_S = 0.1


class SilenceDetector:
    """Detects silent connections among the attempts in flight at one node.

    :param clock: :class:`~figpick.base._clock.Clock`.
    """

    def __init__(self, clock):
        self._clock = clock
        self._latencies = Latencies()
        self._attempts = {}
        self._last_probes = {}
        self._check_timer = None

    def track(self, plan, upstream, connection, listener):
        """Starts tracking an attempt that is sent now.

        :param upstream: :class:`~figpick.routing._upstream_set.Upstream`.
        :param connection: :class:`~figpick.messaging._connections.Connection`.
        :param listener: object with ``on_suspect()`` and ``on_give_up()``.
        :return: :class:`~figpick.routing._attempt_progress.AttemptProgress`.
        """
        route = (plan.service.name, plan.route.route_id)
        now = self._clock.monotonic()
        attempt = AttemptProgress(route, connection.is_new, now, listener)
        attempts = self._attempts.get(upstream)
        if attempts is None:
            attempts = self._attempts[upstream] = UpstreamAttempts(self._latencies)
        attempts.add(attempt)
        if self._check_timer is None:
            loop = asyncio.get_running_loop()
            self._check_timer = loop.call_later(CHECK_PERIOD_S, self._check_attempts)
        return attempt

    def record_response_head(self, upstream, attempt):
        """Records that the head of a response was received."""
        self._attempts[upstream].record_response_head(attempt, self._clock.monotonic())

    def record_progress(self, attempt, awaits_upstream=True):
        """Records progress of an attempt.

        :param awaits_upstream: whether the attempt now waits for its upstream, rather
            than for its caller.
        """
        attempt.awaits_upstream = awaits_upstream
        attempt.record_progress(self._clock.monotonic())

    def untrack(self, upstream, attempt):
        """Stops tracking an attempt."""
        self._attempts[upstream].remove(attempt)

    def _check_attempts(self):
        self._check_timer = None
        now = self._clock.monotonic()
        for upstream, attempts in list(self._attempts.items()):
            if not attempts:
                del self._attempts[upstream]
                continue
            for attempt, action in attempts.overdue_attempts(now):
                self._perform_action(upstream, attempt, action, now)
        if self._attempts:
            loop = asyncio.get_running_loop()
            self._check_timer = loop.call_later(CHECK_PERIOD_S, self._check_attempts)

    def _perform_action(self, upstream, attempt, action, now):
        if action is Action.PROBE:
            self._start_probe(upstream, now)
        elif action is Action.GIVE_UP:
            attempt.listener.on_give_up()
        elif not attempt.is_suspected:
            attempt.is_suspected = True
            attempt.listener.on_suspect()

    def _start_probe(self, upstream, now):
        last_probe = self._last_probes.get(upstream)
        if last_probe is not None and (
            not last_probe[1].done() or now - last_probe[0] < PROBE_PERIOD_S
        ):
            return
        task = asyncio.ensure_future(self._run_probe(upstream, now))
        self._last_probes[upstream] = (now, task)
        task.add_done_callback(lambda _: self._remove_old_probes())

    def _remove_old_probes(self):
        now = self._clock.monotonic()
        for upstream, (sent_at, task) in list(self._last_probes.items()):
            if task.done() and now - sent_at >= PROBE_PERIOD_S:
                del self._last_probes[upstream]

    async def _run_probe(self, upstream, now):
        connection = None
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                connection = await upstream.pool.connect(now)
                responded = await _send_probe(connection, upstream.pool.address)
        except (StreamClosedError, TimeoutError):
            responded = False
        finally:
            if connection is not None:
                connection.close()
        if not responded:
            return
        # Idle connections of the same age are likely to be silent as well.
        upstream.pool.close_idle()
        attempts = self._attempts.get(upstream)
        if attempts is not None:
            attempts.record_probe(now)


async def _send_probe(connection, host):
    http = HTTP1Connection(connection.stream, True, PROBE_PARAMETERS)
    headers = HTTPHeaders({"Host": host, "Connection": "close"})
    http.write_headers(RequestStartLine("OPTIONS", "*", "HTTP/1.1"), headers)
    http.finish()
    response = _ProbeResponse()
    await http.read_response(response)
    return response.responded


class _ProbeResponse(HTTPMessageDelegate):
    responded = False

    def headers_received(self, start_line, headers):
        self.responded = True

    def data_received(self, chunk):
        pass

    def finish(self):
        pass

    def on_connection_close(self):
        pass

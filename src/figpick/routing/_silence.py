"""Watches attempts for connections that stopped responding."""

import asyncio

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders, HTTPMessageDelegate, RequestStartLine
from tornado.iostream import StreamClosedError

from ..messaging._connections import CONNECTION_PARAMETERS
from ._progress import Flight, Flights, Latencies, Verdict

SWEEP_PERIOD_S = 0.02
PROBE_TIMEOUT_S = 1.0
PROBE_PERIOD_S = 0.1


class SilenceWatch:
    """Finds silent connections among the attempts in flight of one node.

    :param clock: :class:`~figpick.base._clock.Clock`.
    """

    def __init__(self, clock):
        self._clock = clock
        self._latencies = Latencies()
        self._flights = {}
        self._probes = {}
        self._sweep = None

    def start(self, plan, upstream, connection, listener):
        """Watches an attempt that is sent now.

        :param upstream: :class:`~figpick.routing._upstreams.Upstream`.
        :param connection: :class:`~figpick.messaging._connections.Connection`.
        :param listener: object with ``on_suspect()`` and ``on_give_up()``.
        :return: :class:`~figpick.routing._progress.Flight`.
        """
        route = (plan.service.name, plan.route.route_id)
        now = self._clock.monotonic()
        flight = Flight(route, connection.is_new, now, listener)
        flights = self._flights.get(upstream)
        if flights is None:
            flights = self._flights[upstream] = Flights(self._latencies)
        flights.add(flight)
        if self._sweep is None:
            loop = asyncio.get_running_loop()
            self._sweep = loop.call_later(SWEEP_PERIOD_S, self._check)
        return flight

    def note_head(self, upstream, flight):
        """Notes that the head of an answer came."""
        self._flights[upstream].note_head(flight, self._clock.monotonic())

    def note_progress(self, flight, waiting=True):
        """Notes progress of an attempt.

        :param waiting: whether the attempt now waits for its upstream, and not for
            its caller.
        """
        flight.waiting = waiting
        flight.progress(self._clock.monotonic())

    def end(self, upstream, flight):
        """Stops to watch an attempt."""
        self._flights[upstream].remove(flight)

    def _check(self):
        self._sweep = None
        now = self._clock.monotonic()
        for upstream, flights in list(self._flights.items()):
            if not flights:
                del self._flights[upstream]
                continue
            for flight, verdict in flights.assess(now):
                self._act(upstream, flight, verdict, now)
        if self._flights:
            loop = asyncio.get_running_loop()
            self._sweep = loop.call_later(SWEEP_PERIOD_S, self._check)

    def _act(self, upstream, flight, verdict, now):
        if verdict is Verdict.PROBE:
            self._start_probe(upstream, now)
        elif verdict is Verdict.GIVE_UP:
            flight.listener.on_give_up()
        elif not flight.suspected:
            flight.suspected = True
            flight.listener.on_suspect()

    def _start_probe(self, upstream, now):
        last = self._probes.get(upstream)
        if last is not None and (not last[1].done() or now - last[0] < PROBE_PERIOD_S):
            return
        task = asyncio.ensure_future(self._probe(upstream, now))
        self._probes[upstream] = (now, task)
        task.add_done_callback(lambda _: self._forget_probes())

    def _forget_probes(self):
        now = self._clock.monotonic()
        for upstream, (sent_at, task) in list(self._probes.items()):
            if task.done() and now - sent_at >= PROBE_PERIOD_S:
                del self._probes[upstream]

    async def _probe(self, upstream, now):
        connection = None
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                connection = await upstream.pool.connect(now)
                answered = await _ask(connection, upstream.pool.address)
        except (StreamClosedError, TimeoutError):
            answered = False
        finally:
            if connection is not None:
                connection.close()
        if not answered:
            return
        # Kept connections of the same age are likely to be silent as well.
        upstream.pool.close_idle()
        flights = self._flights.get(upstream)
        if flights is not None:
            flights.note_probe(now)


async def _ask(connection, host):
    http = HTTP1Connection(connection.stream, True, CONNECTION_PARAMETERS)
    headers = HTTPHeaders({"Host": host, "Connection": "close"})
    http.write_headers(RequestStartLine("OPTIONS", "*", "HTTP/1.1"), headers)
    http.finish()
    answer = _ProbeAnswer()
    await http.read_response(answer)
    return answer.answered


class _ProbeAnswer(HTTPMessageDelegate):
    answered = False

    def headers_received(self, start_line, headers):
        self.answered = True

    def data_received(self, chunk):
        pass

    def finish(self):
        pass

    def on_connection_close(self):
        pass

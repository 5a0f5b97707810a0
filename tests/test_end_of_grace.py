"""Requests that come to a stopping node in each part of its grace time."""

import asyncio
import random
from types import SimpleNamespace

import pytest
import uvloop

from figpick.wire import DEFAULT_HEADERS

from .fleet import Client, Fleet, make_configuration, make_routes

GRACE_S = 6.0
CLIENTS = 24
PAUSE_S = 0.05
WORK_TIMES_S = (b"0.05", b"0.3", b"1.0", b"2.5")
# Requests without a response that waited for longer were read by the node.
LOSS_SLACK_S = 0.2
TIMEOUT_S = 20.0


class WorkingUpstream:
    """Works for the seconds that the path names, no longer than the deadline.

    :param upstream: :class:`~.fleet.FakeUpstream` whose handler is replaced.
    """

    def __init__(self, upstream):
        self._upstream = upstream
        # Ids of requests and the seconds at which they arrived.
        self.received = []
        upstream.handler = self._work

    async def _work(self, connection, request):
        names = DEFAULT_HEADERS
        loop = asyncio.get_running_loop()
        request_id = request.header(names.request_id).decode()
        self.received.append((request_id, loop.time()))
        work_s = float(request.target.rpartition(b"/")[2])
        deadline_s = int(request.header(names.deadline_ms)) / 1000
        await asyncio.sleep(min(work_s, deadline_s))
        status = b"200 OK" if work_s < deadline_s else b"504 Gateway Timeout"
        if not connection.transport.is_closing():
            connection.transport.write(self._upstream.render(request, b"done", status))


class StayingClient:
    """Sends one request after the other until the node accepts no connection.

    :param address: address of the node.
    :param name: prefix of the request ids.
    :param must_run_once: whether its requests must not run twice.
    """

    def __init__(self, address, name, must_run_once):
        self._address = address
        self._name = name
        self._method = b"POST" if must_run_once else b"GET"
        self._prefix = b"/parts/once/" if must_run_once else b"/parts/"
        self._random = random.Random(name)
        self.outcomes = []

    async def run(self):
        """Keeps each connection until the node closes it."""
        while True:
            try:
                async with Client(self._address) as client:
                    while True:
                        await self._send(client)
            except ConnectionRefusedError:
                return
            except (OSError, EOFError):
                await asyncio.sleep(0.01)

    async def _send(self, client):
        loop = asyncio.get_running_loop()
        outcome = SimpleNamespace(
            id=f"{self._name}-{len(self.outcomes)}", status="cut", headers={}
        )
        self.outcomes.append(outcome)
        target = self._prefix + self._random.choice(WORK_TIMES_S)
        sent_at = loop.time()
        try:
            outcome.status, outcome.headers, _ = await client.call(
                target, outcome.id.encode(), method=self._method, deadline_ms=30_000
            )
        finally:
            outcome.waited_s = loop.time() - sent_at
        await asyncio.sleep(PAUSE_S)


@pytest.mark.parametrize("is_local", [True, False], ids=["own host", "other host"])
@pytest.mark.parametrize("must_run_once", [True, False])
def test_request_that_is_passed_on_late_in_a_stop_gets_a_response(
    tmp_path, must_run_once, is_local
):
    """Guards against requests that are taken late in the grace time and cut at its end.

    Clients keep using their connections, and open others, until the node is gone. The
    loop is that of the programs: the one of asyncio leaves a connection open that it
    has accepted just before its server closes, and here no exit closes it.
    """
    uvloop.run(play_stop(tmp_path, must_run_once, is_local))


async def play_stop(tmp_path, must_run_once, is_local):
    """Stops a node under load and checks what each client and upstream observed."""
    services = ("parts", "parts") if is_local else ("entries", "parts", "parts")
    async with Fleet(tmp_path, services) as fleet:
        routes = tuple(route._replace(timeout_s=TIMEOUT_S) for route in make_routes())
        await fleet.put_configuration(make_configuration(2, 1, routes))
        upstreams = [WorkingUpstream(host.upstream) for host in fleet.hosts]
        stopping = fleet.hosts[0]
        clients = [
            StayingClient(stopping.settings.call_address, f"c{n}", must_run_once)
            for n in range(CLIENTS)
        ]
        sending = [asyncio.ensure_future(client.run()) for client in clients]
        loop = asyncio.get_running_loop()
        await asyncio.sleep(1.5)
        stopped_at = loop.time()
        await stopping.node.drain()
        assert loop.time() - stopped_at < GRACE_S
        stopping.task.cancel()
        stopping.node.close()
        await asyncio.gather(*sending)
        received = {}
        for upstream in upstreams:
            for request_id, at in upstream.received:
                received.setdefault(request_id, []).append(at - stopped_at)
        late = [at for times in received.values() for at in times if at > 0.5]
        assert len(late) > CLIENTS
        outcomes = [outcome for client in clients for outcome in client.outcomes]
        for outcome in outcomes:
            if outcome.id in received:
                assert outcome.status in (200, 504), vars(outcome)
                assert "figpick-stamp" in outcome.headers
                if must_run_once:
                    assert len(received[outcome.id]) == 1
            elif outcome.status == "cut":
                assert outcome.waited_s <= LOSS_SLACK_S
            else:
                assert outcome.status == 503, vars(outcome)

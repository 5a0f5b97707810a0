"""Requests that arrive long after the node that takes them began to stop."""

import asyncio
from types import SimpleNamespace

import pytest

from figpick.nodes._entry_policy import DEADLINE_MARGIN_S
from figpick.wire import DEFAULT_HEADERS

from .fleet import (
    Client,
    Fleet,
    async_test,
    make_configuration,
    make_routes,
    wait_until,
)

WORK_S = 2.5
TRAINING_REQUESTS = 12


class WorkingUpstream:
    """Works for a time on each request, and no longer than its deadline allows.

    :param upstream: :class:`~tests.fleet.FakeUpstream` whose requests are handled.
    """

    def __init__(self, upstream):
        self._upstream = upstream
        self.work_s = WORK_S
        upstream.handler = self._work

    async def _work(self, connection, request):
        self._upstream.record_run(request)
        deadline_s = int(request.header(DEFAULT_HEADERS.deadline_ms)) / 1000
        await asyncio.sleep(min(self.work_s, deadline_s))
        status = b"200 OK" if self.work_s < deadline_s else b"504 Gateway Timeout"
        connection.transport.write(self._upstream.render(request, b"done", status))


async def send(address, request_id, deadline_ms, method=b"GET"):
    """Sends a request on a new connection and returns what the client observes."""
    outcome = SimpleNamespace(id=request_id.decode(), status=None, headers={})
    try:
        async with Client(address) as client:
            outcome.status, outcome.headers, _ = await client.call(
                b"/parts/1", request_id, method=method, deadline_ms=deadline_ms
            )
    except (OSError, EOFError):
        outcome.status = "cut"
    return outcome


def assert_no_promise_was_broken(outcomes, upstream):
    """Checks that each request was refused truthfully or got an upstream's response."""
    for outcome in outcomes:
        if outcome.id in upstream.runs:
            assert "figpick-stamp" in outcome.headers, vars(outcome)
        else:
            assert outcome.status == 503, vars(outcome)


async def start_fleet(tmp_path):
    fleet = Fleet(tmp_path, services=("entries", "parts"))
    await fleet.__aenter__()
    routes = tuple(route._replace(timeout_s=20.0) for route in make_routes())
    await fleet.put_configuration(make_configuration(2, 1, routes))
    return fleet


def now():
    return asyncio.get_running_loop().time()


async def stop_node(host):
    await host.node.drain()
    host.task.cancel()
    host.node.close()


@pytest.mark.parametrize("after_s", [3.0, 4.0, 4.6, 5.0])
@async_test
async def test_late_nested_call_is_not_given_up_while_its_upstream_works(
    tmp_path, after_s
):
    """Guards against calls that a stopping node takes with more time than it has."""
    fleet = await start_fleet(tmp_path)
    try:
        stopping, other = fleet.hosts
        WorkingUpstream(other.upstream)
        stopping.upstream.delay_s = 20.0
        async with Client(other.settings.call_address) as parent:
            parent.send(b"/entries/1", b"p", deadline_ms=12000)
            await wait_until(lambda: stopping.upstream.runs)
            stop = asyncio.ensure_future(stop_node(stopping))
            await asyncio.sleep(after_s)
            address = stopping.settings.call_address
            outcome = await send(address, b"p.1", 12000 - int(after_s * 1000))
            await stop
        assert_no_promise_was_broken([outcome], other.upstream)
    finally:
        await fleet.__aexit__()


@pytest.mark.parametrize("after_s", [3.2, 4.5])
@async_test
async def test_late_client_request_on_a_nested_route_is_not_given_up(tmp_path, after_s):
    """Guards against taking a request of a client for a nested call by its route."""
    fleet = await start_fleet(tmp_path)
    try:
        stopping, other = fleet.hosts
        working = WorkingUpstream(other.upstream)
        working.work_s = 0.01
        stopping.upstream.delay_s = 20.0
        address = stopping.settings.call_address
        async with Client(other.settings.call_address) as parent:
            parent.send(b"/entries/1", b"p", deadline_ms=12000)
            await wait_until(lambda: stopping.upstream.runs)
            expires_at = now() + 12.0 - DEADLINE_MARGIN_S
            for number in range(TRAINING_REQUESTS):
                remaining_ms = int((expires_at - now()) * 1000)
                await send(address, b"t%d" % number, remaining_ms)
            working.work_s = WORK_S
            stop = asyncio.ensure_future(stop_node(stopping))
            await asyncio.sleep(after_s)
            outcome = await send(address, b"c", 5000)
            await stop
        assert_no_promise_was_broken([outcome], other.upstream)
        assert outcome.status == 503
    finally:
        await fleet.__aexit__()

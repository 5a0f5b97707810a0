"""Requests that arrive long after the node that takes them began to stop."""

import asyncio
import time
from types import SimpleNamespace

import pytest

from figpick.nodes._entry_policy import DEADLINE_MARGIN_S
from figpick.nodes._executions import RunningRequests
from figpick.nodes._stop_schedule import make_stop_schedule
from figpick.wire import DEFAULT_HEADERS

from .fleet import (
    SLOTS,
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


@pytest.mark.parametrize("after_s", [0.0, 2.4])
@pytest.mark.parametrize("stops_owner", [False, True], ids=["caller", "owner"])
@async_test
async def test_upstream_responds_before_the_node_that_stops_ends(
    tmp_path, after_s, stops_owner
):
    """Guards against upstreams that get a deadline behind the end of the stop."""
    if stops_owner:
        after_s /= 2
    fleet = await start_fleet(tmp_path)
    try:
        caller, owner = fleet.hosts
        WorkingUpstream(owner.upstream).work_s = 20.0
        stop = asyncio.ensure_future(stop_node(owner if stops_owner else caller))
        await asyncio.sleep(after_s)
        outcome = await send(caller.settings.call_address, b"c", 10000, b"POST")
        await stop
        assert owner.upstream.runs == ["c"]
        assert (outcome.status, "figpick-stamp" in outcome.headers) == (504, True)
    finally:
        await fleet.__aexit__()


@async_test
async def test_call_that_waits_for_a_slot_is_not_begun_too_late(tmp_path):
    """Guards against calls that are taken in time and reach an upstream too late."""
    fleet = await start_fleet(tmp_path)
    try:
        stopping, other = fleet.hosts
        working = WorkingUpstream(other.upstream)
        working.work_s = 4.6
        stopping.upstream.delay_s = 20.0
        async with Client(other.settings.call_address) as client:
            client.send(b"/entries/1", b"p", deadline_ms=12000)
            await wait_until(lambda: stopping.upstream.runs)
            others = [
                send(other.settings.call_address, b"o%d" % number, 10000, b"POST")
                for number in range(SLOTS)
            ]
            others = asyncio.gather(*others)
            await wait_until(lambda: len(other.upstream.runs) == SLOTS)
            working.work_s = WORK_S
            stop = asyncio.ensure_future(stop_node(stopping))
            await asyncio.sleep(4.2)
            outcome = await send(stopping.settings.call_address, b"p.1", 7000)
            await stop
            await others
        assert "p.1" in other.upstream.runs
        assert_no_promise_was_broken([outcome], other.upstream)
    finally:
        await fleet.__aexit__()


def test_stop_takes_awaited_calls_longer_than_requests_of_clients():
    """Guards against refusing calls that only the stopping node can take."""
    stop = make_stop_schedule(100.0, 6.0)
    assert [stop.takes(False, 100.0 + s) for s in (0.0, 2.5, 2.7)] == [
        True,
        True,
        False,
    ]
    assert [stop.takes(True, 100.0 + s) for s in (2.7, 4.9, 5.1)] == [True, True, False]
    assert stop.leaves_time(0.5, 104.4)
    assert not stop.leaves_time(0.5, 104.6)


@pytest.mark.parametrize("grace_s", [0.5, 2.0, 6.0, 30.0])
def test_everything_that_a_stop_permits_ends_before_the_process_is_killed(grace_s):
    """Guards against promises that a short grace time does not cover."""
    stop = make_stop_schedule(100.0, grace_s)
    assert stop.owner_until <= stop.work_until
    assert stop.clients_until <= stop.work_until
    assert stop.withdraw_at < stop.work_until < stop.end_at < stop.exit_at
    assert stop.exit_at < 100.0 + grace_s
    for after_s in range(int(grace_s * 10)):
        now = 100.0 + after_s / 10
        if stop.takes(True, now) or stop.takes(False, now):
            assert stop.leaves_time(0.0, now)


def test_request_without_an_id_is_no_parent():
    """Guards against taking every request for a call of one that has no id."""

    class Call:
        request_id = b""

    class Execution:
        upstream_deadline = None

    Execution.call = Call
    running = RunningRequests()
    running.add(Execution, 100.0)
    assert running.find_parent(b"c1", 50.0) is None
    assert not running.has_derived_ids


@async_test
async def test_request_that_waited_with_the_signal_in_a_pause_is_bounded(tmp_path):
    """Guards against requests taken before the stop that waited with its signal."""
    fleet = await start_fleet(tmp_path)
    try:
        stopping, other = fleet.hosts
        working = WorkingUpstream(other.upstream)
        working.work_s = 0.05
        async with Client(stopping.settings.call_address) as client:
            await client.call(b"/parts/1", b"a")
            working.work_s = WORK_S
            await asyncio.sleep(0.7)
            client.send(b"/parts/1", b"c", method=b"POST", deadline_ms=9000)
            time.sleep(4.0)
            # The event loop reads the request before it handles the signal.
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            stop = asyncio.ensure_future(stop_node(stopping))
            _, headers, _ = await client.receive()
            await stop
        assert "c" not in other.upstream.runs or "figpick-stamp" in headers
    finally:
        await fleet.__aexit__()


@async_test
async def test_streamed_response_that_outlasts_the_stop_is_not_begun(tmp_path):
    """Guards against streams whose typical time is not known to a stopping node."""
    fleet = await start_fleet(tmp_path)
    try:
        stopping, other = fleet.hosts
        address = stopping.settings.call_address

        async def stream(connection, request):
            other.upstream.record_run(request)
            whole = other.upstream.render(request, b"x" * 200_000)
            connection.transport.write(whole[:150_000])
            await asyncio.sleep(3.2)
            connection.transport.write(whole[150_000:])

        other.upstream.handler = stream
        await asyncio.gather(*(send(address, b"t%d" % n, 10000) for n in range(3)))
        stop = asyncio.ensure_future(stop_node(stopping))
        await asyncio.sleep(2.4)
        outcome = await send(address, b"c", 9000)
        await stop
        assert outcome.status in (200, 503)
    finally:
        await fleet.__aexit__()


@async_test
async def test_stopping_owner_gives_back_streams_that_outlast_its_stop(tmp_path):
    """Guards against a stream that another node begins and the owner cuts."""
    fleet = await start_fleet(tmp_path)
    try:
        caller, stopping = fleet.hosts
        address = caller.settings.call_address

        async def stream(connection, request):
            stopping.upstream.record_run(request)
            whole = stopping.upstream.render(request, b"x" * 200_000)
            connection.transport.write(whole[:150_000])
            await asyncio.sleep(3.8)
            connection.transport.write(whole[150_000:])

        stopping.upstream.handler = stream
        await asyncio.gather(*(send(address, b"t%d" % n, 10000) for n in range(3)))
        stop = asyncio.ensure_future(stop_node(stopping))
        await asyncio.sleep(1.5)
        outcome = await send(address, b"c", 9000)
        await stop
        assert outcome.status in (200, 503)
    finally:
        await fleet.__aexit__()

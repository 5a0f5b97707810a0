"""Upstreams that say in their responses that they leave."""

import asyncio
import time

import pytest

from .fleet import Fleet, async_test, wait_until
from .limited_upstreams import (
    DRAIN_S,
    StatingUpstream,
    send_load,
    use_long_routes,
)
from .test_upstream_limits import KINDS, restart_node

SERVICES = ("entries", "entries", "parts", "parts")


async def keep_reporting(host, seconds):
    """Sends reports of an upstream that say that it is ready."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        host.node.handle_report(host.upstream.report())
        await asyncio.sleep(0.2)


@pytest.mark.parametrize("kind", KINDS)
@async_test
async def test_upstream_that_says_it_leaves_gets_no_more_requests(tmp_path, kind):
    """Guards against requests to a leaving upstream whose reports say it is ready."""
    async with Fleet(tmp_path, SERVICES) as fleet:
        await use_long_routes(fleet)
        *entries, host, other = fleet.hosts
        upstream = StatingUpstream(host.upstream)
        StatingUpstream(other.upstream)
        if kind == "streamed":
            upstream.body = b"x" * 100_000
        load = asyncio.ensure_future(
            send_load(entries, per_s=40, seconds=4.5, **KINDS[kind])
        )
        reports = asyncio.ensure_future(keep_reporting(host, 4.5))
        await asyncio.sleep(1.0)
        upstream.is_leaving = True
        if kind == "failing":
            upstream.status = b"500 Internal Server Error"
        results = await load
        await reports
        late = [
            at for at in upstream.arrivals if at > upstream.first_stated_at + DRAIN_S
        ]
        assert not late
        assert sum(status == 200 for status, _ in results) >= 0.9 * len(results)


@async_test
async def test_upstream_that_left_stays_unused_after_a_restart_of_its_node(tmp_path):
    """Guards against a restarted node that takes a late report for a ready upstream."""
    async with Fleet(tmp_path, SERVICES) as fleet:
        await use_long_routes(fleet)
        *entries, host, other = fleet.hosts
        upstream = StatingUpstream(host.upstream)
        StatingUpstream(other.upstream)
        await send_load(entries, per_s=40, seconds=1.0)
        assert upstream.arrivals
        upstream.is_leaving = True
        await send_load(entries, per_s=40, seconds=1.0)
        await restart_node(fleet, host)
        await keep_reporting(host, 0.5)
        before = len(upstream.arrivals)
        await asyncio.sleep(DRAIN_S)
        await send_load(entries, per_s=40, seconds=2.0)
        assert len(upstream.arrivals) == before


@pytest.mark.parametrize("has_callers", [True, False])
@pytest.mark.parametrize("announces", ["leave", "draining"])
@async_test
async def test_acknowledged_leave_holds_over_a_restart_of_the_node(
    tmp_path, announces, has_callers
):
    """Guards against a restart that forgets an acknowledged end of an upstream."""
    async with Fleet(tmp_path, SERVICES) as fleet:
        await use_long_routes(fleet)
        *entries, host, other = fleet.hosts
        upstream = StatingUpstream(host.upstream)
        StatingUpstream(other.upstream)
        if has_callers:
            await send_load(entries, per_s=40, seconds=1.0)
            assert upstream.arrivals
        late_report = host.upstream.report()
        if announces == "leave":
            host.node.handle_leave(host.upstream.instance)
        else:
            host.node.handle_report(host.upstream.report(is_draining=True))
        await asyncio.sleep(0.3)
        host.task.cancel()
        host.node.close()
        await asyncio.sleep(0.2)
        fleet.start_node(host)
        await wait_until(lambda: host.node.state()["controls"])
        await asyncio.sleep(0.2)
        host.node.handle_report(late_report)
        before = len(upstream.arrivals)
        await asyncio.sleep(0.3)
        await send_load(entries, per_s=40, seconds=1.5)
        assert len(upstream.arrivals) == before


@async_test
async def test_next_instance_on_the_host_is_used(tmp_path):
    """Guards against a leave that outlasts the instance that announced it."""
    async with Fleet(tmp_path, SERVICES) as fleet:
        await use_long_routes(fleet)
        *entries, host, other = fleet.hosts
        upstream = StatingUpstream(host.upstream)
        StatingUpstream(other.upstream)
        upstream.is_leaving = True
        await send_load(entries, per_s=40, seconds=1.0)
        upstream.is_leaving = False
        host.upstream.instance = "i-next"
        host.upstream.sequence = 0
        host.node.handle_report(host.upstream.report())
        before = len(upstream.arrivals)
        await send_load(entries, per_s=40, seconds=1.0)
        assert len(upstream.arrivals) > before


@pytest.mark.parametrize("is_draining", [True, False])
@async_test
async def test_planned_stop_of_a_node_keeps_what_its_upstream_announced(
    tmp_path, is_draining
):
    """Guards against a stop that forgets a leaving upstream, or drops a ready one."""
    async with Fleet(tmp_path, SERVICES) as fleet:
        await use_long_routes(fleet)
        *entries, host, other = fleet.hosts
        upstream = StatingUpstream(host.upstream)
        StatingUpstream(other.upstream)
        late_report = host.upstream.report()
        if is_draining:
            host.node.handle_report(host.upstream.report(is_draining=True))
        await asyncio.sleep(0.2)
        await host.node.drain()
        host.task.cancel()
        fleet.start_node(host)
        await wait_until(lambda: host.node.state()["controls"])
        await asyncio.sleep(0.2)
        host.node.handle_report(late_report)
        await asyncio.sleep(0.3)
        await send_load(entries, per_s=40, seconds=1.5)
        assert bool(upstream.arrivals) != is_draining


@async_test
async def test_call_whose_upstream_leaves_while_it_connects_goes_to_another(tmp_path):
    """Guards against a refusal although another host has room."""
    async with Fleet(tmp_path, ("entries", "parts", "parts")) as fleet:
        await use_long_routes(fleet)
        entry, *hosts = fleet.hosts
        upstreams = [StatingUpstream(host.upstream) for host in hosts]
        await send_load([entry], per_s=20, seconds=0.3)
        for host in hosts:
            connect = host.node.owner._pool.connect

            async def connect_late(connect=connect):
                await asyncio.sleep(0.2)
                return await connect()

            host.node.owner._pool.connect = connect_late
            for connection in list(host.upstream.connections):
                connection.transport.close()
        await asyncio.sleep(0.1)
        sending = asyncio.ensure_future(send_load([entry], per_s=50, seconds=0.1))
        await asyncio.sleep(0.15)
        busiest = max(hosts, key=lambda host: host.node.owner.queue.running)
        busiest.node.handle_leave(busiest.upstream.instance)
        before = [len(upstream.arrivals) for upstream in upstreams]
        results = await sending
        assert {status for status, _ in results} == {200}
        assert (
            len(upstreams[hosts.index(busiest)].arrivals)
            == before[hosts.index(busiest)]
        )

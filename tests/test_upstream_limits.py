"""Upstreams that name the requests per second that they take from all nodes."""

import asyncio
import time

import pytest

from .fleet import Client, Fleet, async_test, wait_until
from .limited_upstreams import (
    StatingUpstream,
    allowed,
    send_load,
    use_long_routes,
)

SERVICES = ("entries", "entries", "parts")
KINDS = {
    "idempotent": {"target": b"/parts/1"},
    "must-run-once": {"target": b"/parts/once/1", "method": b"POST", "body": b"x"},
    "streamed": {"target": b"/parts/large"},
    "failing": {"target": b"/parts/1"},
}


async def restart_node(fleet, host):
    """Kills the node of a host and starts it again."""
    host.task.cancel()
    host.node.close()
    await asyncio.sleep(0.2)
    fleet.start_node(host)
    await asyncio.sleep(0.3)
    host.node.handle_report(host.upstream.report())


@pytest.mark.parametrize("limit", [b"10", b"1.3"])
@async_test
async def test_nodes_together_keep_the_limit_of_an_upstream(tmp_path, limit):
    """Guards against an upstream that gets several times the requests it takes."""
    async with Fleet(tmp_path, SERVICES) as fleet:
        await use_long_routes(fleet)
        *entries, host = fleet.hosts
        upstream = StatingUpstream(host.upstream)
        upstream.limit = limit
        await send_load(entries, per_s=60, seconds=8.0)
        assert upstream.worst_window() <= allowed(float(limit))


@pytest.mark.parametrize("kind", KINDS)
@async_test
async def test_limit_holds_for_every_kind_of_request(tmp_path, kind):
    """Guards against requests that do not count towards the limit."""
    async with Fleet(tmp_path, SERVICES) as fleet:
        await use_long_routes(fleet)
        *entries, host = fleet.hosts
        upstream = StatingUpstream(host.upstream)
        upstream.limit = b"10"
        if kind == "streamed":
            upstream.body = b"x" * 100_000
        if kind == "failing":
            upstream.status = b"500 Internal Server Error"
        await send_load(entries, per_s=60, seconds=7.5, **KINDS[kind])
        assert upstream.worst_window() <= allowed(10.0)


@pytest.mark.parametrize("limit", [b"10", b"1.3"])
@async_test
async def test_limit_holds_over_a_restart_of_the_owner(tmp_path, limit):
    """Guards against a limit that is forgotten with the process that knew it."""
    async with Fleet(tmp_path, SERVICES) as fleet:
        await use_long_routes(fleet)
        *entries, host = fleet.hosts
        upstream = StatingUpstream(host.upstream)
        upstream.limit = limit
        upstream.work_s = 0.4
        load = asyncio.ensure_future(send_load(entries, per_s=60, seconds=9.0))
        await asyncio.sleep(5.0)
        await restart_node(fleet, host)
        await load
        assert upstream.worst_window() <= allowed(float(limit))


@pytest.mark.parametrize("limit", [b"20", b"1.3"])
@async_test
async def test_limit_is_used_for_the_most_important_requests(tmp_path, limit):
    """Guards against a limited upstream that idles or serves the wrong requests."""
    async with Fleet(tmp_path, SERVICES) as fleet:
        await use_long_routes(fleet)
        *entries, host = fleet.hosts
        upstream = StatingUpstream(host.upstream)
        upstream.limit = limit
        await send_load(entries, per_s=20, seconds=1.0, name=b"first")
        important, others = await asyncio.gather(
            send_load(
                entries,
                per_s=0.5 * float(limit),
                seconds=10.0,
                target=b"/parts/once/1",
                method=b"POST",
                name=b"important",
            ),
            send_load(entries, per_s=60, seconds=10.0, name=b"other"),
        )
        since = upstream.first_stated_at + 2.0
        assert upstream.served_rate(since, since + 8.0) >= 0.7 * float(limit)
        served = [
            sum(status == 200 for status, _ in results) / len(results)
            for results in (important, others)
        ]
        assert served[0] >= 0.8
        assert served[0] > served[1]


@async_test
async def test_refused_client_is_told_when_a_limited_upstream_has_room(tmp_path):
    """Guards against clients that return at once and in vain."""
    async with Fleet(tmp_path, ("entries", "parts", "parts")) as fleet:
        entry, *hosts = fleet.hosts
        for host in hosts:
            StatingUpstream(host.upstream).limit = b"0.5"
        async with Client(entry.settings.call_address) as client:
            for number in range(20):
                status, headers, _ = await client.call(b"/parts/1", b"r%d" % number)
                if status == 503:
                    break
        # Clients wait for up to a third of their remaining time, which is 5 s here.
        assert float(headers["retry-after"]) > 0.8


@async_test
async def test_limit_holds_for_nested_calls(tmp_path):
    """Guards against calls of running requests that do not count."""
    async with Fleet(tmp_path, ("entries", "parts")) as fleet:
        await use_long_routes(fleet)
        entry, host = fleet.hosts
        upstream = StatingUpstream(host.upstream)
        upstream.limit = b"10"
        entry.upstream.delay_s = 8.0
        async with Client(entry.settings.call_address) as parent:
            parent.send(b"/entries/1", b"p", deadline_ms=12000)
            await wait_until(lambda: entry.upstream.runs)
            await send_load([entry], per_s=60, seconds=7.5, name=b"p.n")
        since = upstream.first_stated_at + 2.0
        assert upstream.worst_window() <= allowed(10.0)
        assert upstream.served_rate(since, since + 4.0) >= 7.0


@async_test
async def test_limit_holds_after_a_pause_of_the_process(tmp_path):
    """Guards against calls that a pause held back and that all start after it."""
    async with Fleet(tmp_path, SERVICES) as fleet:
        await use_long_routes(fleet)
        *entries, host = fleet.hosts
        upstream = StatingUpstream(host.upstream)
        upstream.limit = b"10"
        load = asyncio.ensure_future(send_load(entries, per_s=60, seconds=8.0))
        for _ in range(4):
            await asyncio.sleep(1.5)
            time.sleep(1.0)
        await load
        assert upstream.worst_window() <= allowed(10.0)

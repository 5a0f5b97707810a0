"""Requests around a stop for which another host has time."""

import asyncio
import time

from .fleet import Fleet, async_test, make_configuration, make_routes
from .test_late_requests import WorkingUpstream, send, stop_node


class ThreeHosts:
    """A fleet of a caller and two hosts of one service, with long route timeouts."""

    def __init__(self, tmp_path):
        self._fleet = Fleet(tmp_path)

    async def __aenter__(self):
        fleet = await self._fleet.__aenter__()
        routes = tuple(route._replace(timeout_s=20.0) for route in make_routes())
        await fleet.put_configuration(make_configuration(2, 1, routes))
        await asyncio.sleep(0.3)
        return fleet

    async def __aexit__(self, *error):
        await self._fleet.__aexit__()


async def train(address, count, method=b"GET", rounds=1):
    """Lets the node at an address measure the hosts."""
    for number in range(rounds):
        await asyncio.gather(
            *(
                send(address, b"t%d-%d" % (number, n), 10000, method)
                for n in range(count)
            )
        )


@async_test
async def test_idempotent_call_at_a_stopping_owner_goes_to_another_host(tmp_path):
    """Guards against a final 504 of an upstream that was given a shorter deadline."""
    async with ThreeHosts(tmp_path) as fleet:
        caller, stopping, other = fleet.hosts
        address = caller.settings.call_address
        slow = WorkingUpstream(stopping.upstream)
        fast = WorkingUpstream(other.upstream)
        slow.work_s = fast.work_s = 2.0
        await train(address, 15, rounds=3)
        slow.work_s = 20.0
        stop = asyncio.ensure_future(stop_node(stopping))
        await asyncio.sleep(0.5)
        outcomes = await asyncio.gather(
            *(send(address, b"c%d" % n, 7900) for n in range(2))
        )
        await stop
        assert any(o.id in stopping.upstream.runs for o in outcomes)
        assert {o.status for o in outcomes} == {200}


@async_test
async def test_attempt_at_a_stopping_owner_does_not_end_the_one_at_another_host(
    tmp_path,
):
    """Guards against cancelling an attempt that has time left."""
    async with ThreeHosts(tmp_path) as fleet:
        caller, stopping, other = fleet.hosts
        WorkingUpstream(stopping.upstream).work_s = 6.3
        WorkingUpstream(other.upstream).work_s = 6.3
        stop = asyncio.ensure_future(stop_node(stopping))
        await asyncio.sleep(0.2)
        outcome = await send(caller.settings.call_address, b"c", 10000)
        await stop
        assert stopping.upstream.runs and other.upstream.runs
        assert outcome.status == 200


@async_test
async def test_stopping_owner_gives_back_calls_it_has_no_time_for(tmp_path):
    """Guards against a call of another node that the owner takes without the time."""
    async with ThreeHosts(tmp_path) as fleet:
        caller, stopping, other = fleet.hosts
        address = caller.settings.call_address
        WorkingUpstream(stopping.upstream).work_s = 3.9
        WorkingUpstream(other.upstream).work_s = 3.9
        await train(address, 6, b"POST", rounds=3)
        assert stopping.upstream.runs and other.upstream.runs
        stop = asyncio.ensure_future(stop_node(stopping))
        await asyncio.sleep(1.5)
        outcomes = await asyncio.gather(
            *(send(address, b"c%d" % n, 7900, b"POST") for n in range(6))
        )
        await stop
        assert {o.status for o in outcomes} == {200}


@async_test
async def test_call_goes_to_the_host_that_has_time(tmp_path):
    """Guards against refusing a call because a host that was slow once is chosen."""
    async with ThreeHosts(tmp_path) as fleet:
        stopping, slow, fast = fleet.hosts
        address = stopping.settings.call_address
        for host in (slow, fast):
            WorkingUpstream(host.upstream).work_s = 0.05
        await train(address, 2)
        node = stopping.node
        for peer in node._peers.for_service("parts"):
            work_s = 4.8 if peer.name == "node-1" else 0.05
            for _ in range(60):
                peer.target.record_success("parts-get", work_s, time.monotonic() - 12)
        stop = asyncio.ensure_future(stop_node(stopping))
        await asyncio.sleep(1.0)
        outcomes = await asyncio.gather(
            *(send(address, b"c%d" % n, 5000) for n in range(8))
        )
        await stop
        assert {o.status for o in outcomes} == {200}


@async_test
async def test_failure_of_the_upstream_is_forwarded_if_no_host_has_time(tmp_path):
    """Guards against a 502 of the node in place of the upstream's own failure."""
    async with ThreeHosts(tmp_path) as fleet:
        stopping, first, second = fleet.hosts
        address = stopping.settings.call_address
        for host in (first, second):
            WorkingUpstream(host.upstream).work_s = 2.5
        await train(address, 6, rounds=3)

        for host in (first, second):

            async def fail(connection, request, upstream=host.upstream):
                upstream.record_run(request)
                await asyncio.sleep(2.5)
                connection.transport.write(
                    upstream.render(request, b"f", b"500 Internal Server Error")
                )

            host.upstream.handler = fail
        stop = asyncio.ensure_future(stop_node(stopping))
        await asyncio.sleep(0.5)
        outcome = await send(address, b"c", 9000)
        await stop
        assert (outcome.status, "figpick-stamp" in outcome.headers) == (500, True)

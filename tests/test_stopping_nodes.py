"""Nodes that stop, and configurations that come into force on all of them."""

import asyncio

import pytest

from figpick.configuration import VersionConflictError

from .fleet import (
    Client,
    Fleet,
    async_test,
    encode,
    make_configuration,
    make_routes,
    wait_until,
)


@async_test
async def test_node_that_stops_finishes_what_runs(tmp_path):
    """Guards against a shutdown that cuts a request in flight."""
    async with Fleet(tmp_path) as fleet:
        host = fleet.hosts[0]
        for each in fleet.hosts:
            each.upstream.delay_s = 1.0
        async with Client(host.settings.call_address) as client:
            client.send(b"/parts/1", b"a1")
            await asyncio.sleep(0.1)
            draining = asyncio.ensure_future(host.node.drain())
            await asyncio.sleep(0.1)
            assert not host.node.is_ready
            status, headers, _ = await client.receive()
            assert status == 200
            assert headers["connection"] == "close"
        await draining


@pytest.mark.parametrize("phase_s", [0.0, 0.04, 0.08])
@async_test
async def test_node_that_stops_answers_requests_until_it_closes(tmp_path, phase_s):
    """Guards against a request that comes in just before the end and is cut.

    Clients that have not left yet send a request each 120 ms until the node closes.
    """
    async with Fleet(tmp_path) as fleet:
        host = fleet.hosts[0]
        for each in fleet.hosts:
            each.upstream.delay_s = 0.07
        answered = set()
        sent = set()

        async def one(number):
            request_id = f"e{number}"
            try:
                async with Client(host.settings.call_address) as client:
                    sent.add(request_id)
                    status, _, _ = await client.call(
                        b"/parts/once/1", request_id.encode(), method=b"POST"
                    )
                    answered.add(request_id)
                    return status
            except (OSError, EOFError):
                return 0

        draining = asyncio.ensure_future(host.node.drain())
        calls = []
        await asyncio.sleep(phase_s)
        for number in range(30):
            calls.append(asyncio.ensure_future(one(number)))
            await asyncio.sleep(0.12)
        await asyncio.gather(*calls)
        await draining
        ran = {run for each in fleet.hosts for run in each.upstream.runs}
        assert len(ran) > 15
        assert ran <= answered


@async_test
async def test_configuration_is_in_force_everywhere(tmp_path):
    async with Fleet(tmp_path, controls=3) as fleet:
        changed = tuple(
            route._replace(prefix=route.prefix.replace("/parts/", "/stock/"))
            for route in make_routes()
        )
        await fleet.put_configuration(make_configuration(4, 1, changed))
        await wait_until(
            lambda: all(host.node.state()["version"] == 4 for host in fleet.hosts), 2.0
        )
        async with Client(fleet.hosts[0].settings.call_address) as client:
            assert (await client.call(b"/parts/1", b"a1"))[0] == 404
            assert (await client.call(b"/stock/1", b"a2"))[0] == 200
        with pytest.raises(VersionConflictError):
            await fleet.controls[1].put(encode(make_configuration(5, 1)))
        again = encode(make_configuration(4, 1, changed))
        assert await fleet.controls[2].put(again) == 4
        assert (await fleet.controls[1].read()).version == 4

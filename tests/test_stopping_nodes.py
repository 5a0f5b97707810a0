"""Graceful shutdown of nodes, and configurations that become active on all nodes."""

import asyncio

import pytest

from figpick.base._pauses import HANDLING_TIME_S, MIN_PAUSE_S
from figpick.configuration import VersionConflictError

from .fleet import (
    Client,
    Fleet,
    async_test,
    encode_change_set,
    make_configuration,
    make_routes,
    wait_until,
)


@async_test
async def test_stopping_node_finishes_running_requests(tmp_path):
    """Guards against a shutdown that aborts a running request."""
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


async def wait_for_steady_run():
    """Waits until the last pause of this process is too old to shorten a stop."""
    loop = asyncio.get_running_loop()
    while True:
        started_at = loop.time()
        await asyncio.sleep(2 * HANDLING_TIME_S)
        if loop.time() - started_at < MIN_PAUSE_S / 2:
            return


@pytest.mark.parametrize("phase_s", [0.0, 0.04, 0.08])
@async_test
async def test_stopping_node_responds_until_it_closes(tmp_path, phase_s):
    """Guards against aborting a request that arrives just before the node closes.

    A client that still uses the node sends a request every 80 ms until then.
    """
    async with Fleet(tmp_path) as fleet:
        host = fleet.hosts[0]
        for each in fleet.hosts:
            each.upstream.delay_s = 0.07
        responded = set()
        sent = set()

        async def send_request(number):
            request_id = f"e{number}"
            try:
                async with Client(host.settings.call_address) as client:
                    sent.add(request_id)
                    status, _, _ = await client.call(
                        b"/parts/once/1", request_id.encode(), method=b"POST"
                    )
                    responded.add(request_id)
                    return status
            except (OSError, EOFError):
                return 0

        await wait_for_steady_run()
        draining = asyncio.ensure_future(host.node.drain())
        calls = []
        await asyncio.sleep(phase_s)
        for number in range(45):
            calls.append(asyncio.ensure_future(send_request(number)))
            await asyncio.sleep(0.08)
        await asyncio.gather(*calls)
        await draining
        ran = {run for each in fleet.hosts for run in each.upstream.runs}
        assert len(ran) > 15
        assert ran <= responded


@async_test
async def test_configuration_becomes_active_on_all_nodes(tmp_path):
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
            await fleet.controls[1].put(encode_change_set(make_configuration(5, 1)))
        again = encode_change_set(make_configuration(4, 1, changed))
        assert await fleet.controls[2].put(again) == 4
        assert (await fleet.controls[1].read()).version == 4

"""Reports of the requests that crash upstreams, over restarts of processes."""

import asyncio

import pytest

from .fleet import Client, Fleet, async_test, wait_until


async def crash(fleet, host, number):
    """Sends a request that crashes the upstream of a host, which starts again."""

    async def stop(connection, request):
        host.upstream.record_run(request)
        host.upstream.stop()

    host.upstream.handler = stop
    async with Client(fleet.hosts[0].settings.call_address) as client:
        await client.call(b"/parts/poison", b"poison%d" % number)
    await send_probe(fleet)
    host.upstream.handler = host.upstream.echo
    host.upstream.instance += "x"
    await host.upstream.start()
    host.node.handle_report(host.upstream.report())
    await asyncio.sleep(0.2)


async def send_probe(fleet):
    """Sends a request that shows to the node that its upstream is down."""
    async with Client(fleet.hosts[0].settings.call_address) as client:
        return (await client.call(b"/parts/1", b"probe"))[0]


@pytest.mark.parametrize("is_owner", [True, False])
@async_test
async def test_restarted_node_refuses_a_request_that_crashes_upstreams(
    tmp_path, is_owner
):
    """Guards against a request that crashes upstreams again after a restart."""
    async with Fleet(tmp_path, ("entries", "parts")) as fleet:
        entry, host = fleet.hosts
        for number in range(2):
            await crash(fleet, host, number)
        if is_owner:
            host.task.cancel()
            host.node.close()
            fleet.start_node(host)
            await wait_until(lambda: host.node.is_ready)
            await asyncio.sleep(0.2)
            host.node.handle_report(host.upstream.report())
            await asyncio.sleep(0.2)
        async with Client(entry.settings.call_address) as client:
            response = await client.call(b"/parts/poison", b"poison-again")
        assert response[0] == 503
        assert "poison-again" not in host.upstream.runs
        assert await send_probe(fleet) == 200

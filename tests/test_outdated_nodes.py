"""Requests at a node that has not received the newest configuration."""

import asyncio

from .fleet import Client, Fleet, async_test


@async_test
async def test_node_without_configuration_does_not_ask_for_an_immediate_retry(tmp_path):
    """Guards against clients that use up their attempts while a node starts."""
    fleet = Fleet(tmp_path, ("entries",))
    host = fleet.hosts[0]
    fleet.start_node(host)
    await asyncio.sleep(0.1)
    async with Client(host.settings.call_address) as client:
        status, headers, _ = await client.call(b"/entries/x", b"r1")
    host.task.cancel()
    host.node.close()
    assert status == 503
    assert float(headers["retry-after"]) >= 0.2

"""Requests at a node that has not received the newest configuration."""

import asyncio

from figpick.configuration import Route
from figpick.nodes import NodeProcess

from .fleet import (
    HOST,
    Client,
    Fleet,
    async_test,
    make_configuration,
    make_routes,
    wait_until,
)

SPLIT = (("entries", 1.0),)
ADDED_ROUTE = Route("added", HOST.decode(), "/added/", True, 2.0, 1.0, 2, 2, SPLIT)


@async_test
async def test_added_route_is_not_answered_404_while_its_configuration_is_fetched(
    tmp_path, monkeypatch
):
    """Guards against a final response of a node that knows that it is outdated."""
    async with Fleet(tmp_path, ("entries",)) as fleet:
        host = fleet.hosts[0]
        received = []
        monkeypatch.setattr(
            host.node, "on_configuration", lambda *fields: received.append(fields)
        )
        routes = (*make_routes(), ADDED_ROUTE)
        await fleet.put_configuration(make_configuration(2, 1, routes))
        await wait_until(lambda: received)
        async with Client(host.settings.call_address) as client:
            status, headers, _ = await client.call(b"/added/x", b"r1")
            assert status == 503
            assert float(headers["retry-after"]) >= 0.2
            NodeProcess.on_configuration(host.node, *received[0])
            assert (await client.call(b"/added/x", b"r2"))[0] == 200
            assert (await client.call(b"/nowhere/x", b"r3"))[0] == 404


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

"""Tests that a node completes its calls before it stops."""

import asyncio

from bench.cluster import free_address
from bench.local import LocalGraph, LocalNode, make_document
from bench.origin import Origin
from figpick.membership._members import LEFT
from tests.proxied_node import call

PROPAGATION_S = 3.0


def test_graceful_shutdown_interrupts_no_call():
    """Guards against a shutdown that aborts calls or accepts new requests."""

    async def scenario():
        origins = [Origin(), Origin()]
        nodes = []
        for number, origin in enumerate(origins, 1):
            address = free_address()
            origin.listen(address)
            nodes.append(LocalNode(f"parts-{number}", "parts", address))
        leaving, remaining = nodes
        async with LocalGraph(nodes, [make_document("parts")]) as graph:
            calls = [call(graph, node, "POST", "/a?ms=2500") for node in nodes * 5]
            tasks = [asyncio.ensure_future(each) for each in calls]
            await asyncio.sleep(0.3)
            assert all(origin.in_flight for origin in origins)
            leaving.process.request_stop()
            await asyncio.sleep(0.1)
            refused = await call(graph, leaving, "GET", "/b")
            assert refused.outcome == "not-run"
            assert refused.headers["Connection"] == "close"
            responses = await asyncio.gather(*tasks)
            assert [response.status for response in responses] == [200] * 10
            await leaving.task
            member = remaining.process.members.get(leaving.name)
            assert member.state == LEFT
        for origin in origins:
            await origin.stop()

    asyncio.run(scenario())


def test_draining_announcement_stops_new_work():
    """Guards against calls to a draining upstream that was in use before."""

    async def scenario():
        origins = [Origin(), Origin()]
        nodes = []
        for number, origin in enumerate(origins, 1):
            address = free_address()
            origin.listen(address)
            nodes.append(LocalNode(f"parts-{number}", "parts", address))
        async with LocalGraph(nodes, [make_document("parts")]) as graph:
            calls = [call(graph, nodes[1], "GET", "/a?ms=200") for _ in range(20)]
            await asyncio.gather(*calls)
            nodes[0].state = "draining"
            await asyncio.sleep(PROPAGATION_S)
            before = sum(origins[0].completed.values())
            for _ in range(40):
                response = await call(graph, nodes[1], "GET", "/b")
                assert response.status == 200
            assert sum(origins[0].completed.values()) == before
            assert not nodes[0].task.done()
        for origin in origins:
            await origin.stop()

    asyncio.run(scenario())

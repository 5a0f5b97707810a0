"""A caller that disconnects cancels its call and all nested calls."""

import asyncio

from bench.cluster import free_address
from bench.local import LocalGraph, LocalNode, make_document
from bench.origin import Origin
from figpick.calls._context import CONTEXT_HEADER


async def wait_until(condition, timeout_s=3.0):
    deadline = asyncio.get_running_loop().time() + timeout_s
    while not condition():
        assert asyncio.get_running_loop().time() < deadline
        await asyncio.sleep(0.01)


class NestedCallOrigin(Origin):
    """An origin that calls another service and ignores cancellation."""

    def __init__(self, graph, node_address, service):
        super().__init__()
        self.graph = graph
        self.node_address = node_address
        self.service = service
        self.responses = []

    async def call(self, headers):
        headers = {"Host": self.service, CONTEXT_HEADER: headers[CONTEXT_HEADER]}
        response = await self.graph.client.request(
            self.node_address, "GET", "/slow?ms=3000", headers
        )
        self.responses.append(response)


def test_closed_caller_cancels_the_upstream_request():
    """Guards against work that continues after its caller has disconnected."""

    async def scenario():
        origin, address = Origin(), free_address()
        origin.listen(address)
        node = LocalNode("parts-1", "parts", address)
        async with LocalGraph([node], [make_document("parts")]) as graph:
            call = graph.client.request(
                node.call_address, "GET", "/a?ms=3000", {"Host": "parts"}
            )
            task = asyncio.ensure_future(call)
            await wait_until(lambda: origin.in_flight == 1)
            task.cancel()
            await wait_until(lambda: origin.in_flight == 0)
            assert node.node.dump()["upstreams"]["parts"][0]["in_use"] == 0
        await origin.stop()

    asyncio.run(scenario())


def test_cancellation_reaches_calls_of_an_application_that_ignores_it():
    """Guards against nested calls that continue when the application keeps running.

    The application makes its call in a separate task, so only the ``cancel`` message
    to the node on its host can cancel that call.
    """

    async def scenario():
        addresses = free_address(), free_address()
        downstream = Origin()
        downstream.listen(addresses[1])
        nodes = [
            LocalNode("entries-1", "entries", addresses[0]),
            LocalNode("parts-1", "parts", addresses[1]),
        ]
        documents = [make_document("entries"), make_document("parts")]
        async with LocalGraph(nodes, documents) as graph:
            entry = NestedCallOrigin(graph, nodes[0].call_address, "parts")
            entry.listen(addresses[0])
            nested_calls = []
            original_start_request = entry.start_request

            def start_request(server_conn, request_conn):
                request = original_start_request(server_conn, request_conn)
                original_headers_received = request.headers_received

                def headers_received(start_line, headers):
                    nested_calls.append(asyncio.ensure_future(entry.call(headers)))
                    original_headers_received(start_line, headers)

                request.headers_received = headers_received
                return request

            entry.start_request = start_request
            outside_address = nodes[1].call_address
            call = graph.client.request(
                outside_address, "GET", "/a?ms=3000", {"Host": "entries"}
            )
            task = asyncio.ensure_future(call)
            await wait_until(lambda: downstream.in_flight == 1)
            task.cancel()
            await wait_until(lambda: downstream.in_flight == 0)
            await wait_until(lambda: len(entry.responses) == 1)
            assert entry.responses[0].outcome == "unknown"
        await entry.stop()
        await downstream.stop()

    asyncio.run(scenario())

"""A caller that goes away cancels everything below its call."""

import asyncio

from bench.cluster import free_address
from bench.local import LocalGraph, LocalNode, document
from bench.origin import Origin
from figpick.calls._context import CONTEXT_HEADER


async def until(condition, timeout_s=3.0):
    limit = asyncio.get_running_loop().time() + timeout_s
    while not condition():
        assert asyncio.get_running_loop().time() < limit
        await asyncio.sleep(0.01)


class Relaying(Origin):
    """An origin that calls the next service and ignores cancellation."""

    def __init__(self, graph, node_address, service):
        super().__init__()
        self.graph = graph
        self.node_address = node_address
        self.service = service
        self.answers = []

    async def call(self, headers):
        headers = {"Host": self.service, CONTEXT_HEADER: headers[CONTEXT_HEADER]}
        answer = await self.graph.client.request(
            self.node_address, "GET", "/slow?ms=3000", headers
        )
        self.answers.append(answer)


def test_closed_caller_ends_the_upstream_request():
    """Guards against work that goes on after its caller has gone."""

    async def scenario():
        origin, address = Origin(), free_address()
        origin.listen(address)
        node = LocalNode("parts-1", "parts", address)
        async with LocalGraph([node], [document("parts")]) as graph:
            call = graph.client.request(
                node.call_address, "GET", "/a?ms=3000", {"Host": "parts"}
            )
            task = asyncio.ensure_future(call)
            await until(lambda: origin.in_flight == 1)
            task.cancel()
            await until(lambda: origin.in_flight == 0)
            assert node.node.dump()["upstreams"]["parts"][0]["in_use"] == 0
        await origin.stop()

    asyncio.run(scenario())


def test_cancellation_reaches_calls_of_an_application_that_ignores_it():
    """Guards against calls below that go on when the application keeps running.

    The application makes its call apart from the request, so only the message to
    the node beside it can end that call.
    """

    async def scenario():
        addresses = free_address(), free_address()
        deep = Origin()
        deep.listen(addresses[1])
        nodes = [
            LocalNode("entries-1", "entries", addresses[0]),
            LocalNode("parts-1", "parts", addresses[1]),
        ]
        documents = [document("entries"), document("parts")]
        async with LocalGraph(nodes, documents) as graph:
            entry = Relaying(graph, nodes[0].call_address, "parts")
            entry.listen(addresses[0])
            seen = []
            start = entry.start_request

            def start_request(server_conn, request_conn):
                request = start(server_conn, request_conn)
                receive = request.headers_received

                def headers_received(start_line, headers):
                    seen.append(asyncio.ensure_future(entry.call(headers)))
                    receive(start_line, headers)

                request.headers_received = headers_received
                return request

            entry.start_request = start_request
            outside = nodes[1].call_address
            call = graph.client.request(
                outside, "GET", "/a?ms=3000", {"Host": "entries"}
            )
            task = asyncio.ensure_future(call)
            await until(lambda: deep.in_flight == 1)
            task.cancel()
            await until(lambda: deep.in_flight == 0)
            await until(lambda: len(entry.answers) == 1)
            assert entry.answers[0].outcome == "unknown"
        await entry.stop()
        await deep.stop()

    asyncio.run(scenario())

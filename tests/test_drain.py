"""Tests that a node completes its calls before it stops."""

import asyncio
import socket
import time
from contextlib import asynccontextmanager

import pytest

from bench.cluster import free_address
from bench.local import LocalGraph, LocalNode, make_document
from bench.origin import Origin, make_body
from figpick.base._supervisor import RestartLimitError
from figpick.calls._context import CONTEXT_HEADER, CallContext, encode
from figpick.calls._recorder import Recorder
from figpick.claims._claim_holder import GRANTED, Reply
from figpick.membership._members import LEFT
from figpick.roles import _shutdown
from tests.proxied_node import call, start_proxied_node

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


async def connect(address, receive_buffer_bytes=None):
    """Opens a connection of a caller, optionally with a small receive buffer."""
    ip, port = address.split(":")
    connection = socket.socket()
    if receive_buffer_bytes is not None:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
    connection.setblocking(False)
    await asyncio.get_running_loop().sock_connect(connection, (ip, int(port)))
    return await asyncio.open_connection(sock=connection, limit=1024)


def test_request_whose_body_arrives_during_a_shutdown_is_answered():
    """Guards against a stop that ignores requests whose body is still arriving."""

    async def scenario():
        async with start_proxied_node() as (_, node, origin, _):
            reader, writer = await connect(node.call_address)
            writer.write(
                b"POST /a HTTP/1.1\r\nHost: parts\r\nX-Request: late\r\n"
                b"Content-Length: 4\r\n\r\nab"
            )
            await asyncio.sleep(0.1)
            node.process.request_stop()
            await asyncio.sleep(0.5)
            writer.write(b"cd")
            async with asyncio.timeout(5.0):
                head = await reader.readuntil(b"\r\n\r\n")
            # The only upstream of the service is the one that stops.
            assert head.startswith(b"HTTP/1.1 503 ")
            assert b"Figpick-Outcome: not-run\r\n" in head
            assert origin.executions["late"] == 0
            writer.close()
            async with asyncio.timeout(5.0):
                await node.task

    asyncio.run(scenario())


def test_slow_caller_gets_all_responses_during_a_shutdown():
    """Guards against a stop that discards a response which is not yet sent."""
    body = make_body(3, 0, 60_000)

    async def scenario():
        async with start_proxied_node() as (_, node, _, _):
            reader, writer = await connect(node.call_address, 4096)
            request = b"GET /body/60000/length/3 HTTP/1.1\r\nHost: parts\r\n\r\n"
            count = 0
            # The buffers of the kernel are full when no further request is served.
            while count == node.node.counters.calls:
                writer.write(request)
                count += 1
                await asyncio.sleep(0.05)
            node.process.request_stop()
            await asyncio.sleep(0.5)
            statuses = []
            async with asyncio.timeout(10.0):
                for _ in range(count):
                    head = await reader.readuntil(b"\r\n\r\n")
                    statuses.append(head.split()[1])
                    if statuses[-1] != b"200":
                        break
                    assert await reader.readexactly(len(body)) == body
            assert statuses[: count - 1] == [b"200"] * (count - 1)
            writer.close()
            async with asyncio.timeout(5.0):
                await node.task

    asyncio.run(scenario())


def test_request_after_a_shutdown_does_not_destroy_an_unread_response():
    """Guards against a reset that discards a response the caller has not received."""
    body = make_body(3, 0, 60_000)

    async def scenario():
        async with start_proxied_node() as (_, node, _, _):
            reader, writer = await connect(node.call_address, 4096)
            request = b"GET /body/60000/length/3 HTTP/1.1\r\nHost: parts\r\n\r\n"
            writer.write(request)
            await asyncio.sleep(0.3)
            node.process.request_stop()
            await asyncio.sleep(0.5)
            writer.write(request)
            await asyncio.sleep(0.2)
            async with asyncio.timeout(5.0):
                head = await reader.readuntil(b"\r\n\r\n")
                assert head.startswith(b"HTTP/1.1 200 ")
                assert await reader.readexactly(len(body)) == body
            writer.close()
            async with asyncio.timeout(5.0):
                await node.task

    asyncio.run(scenario())


def test_end_of_a_claimed_call_reaches_its_holder_before_a_shutdown_ends():
    """Guards against a stop that loses the stored response of a keyed request."""

    async def scenario():
        origins, nodes = [Origin(), Origin()], []
        for number, origin in enumerate(origins, 1):
            address = free_address()
            origin.listen(address)
            nodes.append(LocalNode(f"parts-{number}", "parts", address))
        leaving, holder = nodes
        finishes = []

        async def grant(message):
            return {"reply": Reply(GRANTED)}

        async def finish(message):
            finishes.append(message)
            if len(finishes) == 1:
                await asyncio.sleep(0.5)
            return {}

        async with LocalGraph(nodes, [make_document("parts")]) as graph:
            holder.process._server.set_handler("claim", grant)
            holder.process._server.set_handler("finish", finish)
            leaving.node.adopt_roster("parts", 1, [holder.name] * 48)
            headers = {"Idempotency-Key": "a"}
            request = call(graph, leaving, "POST", "/a?ms=2500", headers)
            task = asyncio.ensure_future(request)
            await asyncio.sleep(0.3)
            leaving.process.request_stop()
            assert (await task).status == 200
            await leaving.task
            # The holder did not confirm the first message in time.
            assert len(finishes) == 2
            assert finishes[1]["answer"]["status"] == 200
        for origin in origins:
            await origin.stop()

    asyncio.run(scenario())


def test_spans_of_the_last_calls_are_recorded_before_a_shutdown_ends(tmp_path):
    """Guards against a stop that loses the spans of the last second."""

    async def scenario():
        async with start_proxied_node() as (graph, node, _, _):
            node.node.recorder = Recorder(tmp_path / "spans", 1.0)
            assert (await call(graph, node, "GET", "/last")).status == 200
            node.process.request_stop()
            await node.task

    asyncio.run(scenario())
    assert b'"path":"/last"' in (tmp_path / "spans").read_bytes()


def test_failure_to_record_spans_does_not_fail_a_shutdown(tmp_path):
    """Guards against a stop that leaves connections open when a disk is full."""

    async def scenario():
        async with start_proxied_node() as (graph, node, _, _):
            node.node.recorder = Recorder(tmp_path / "missing" / "spans", 1.0)
            assert (await call(graph, node, "GET", "/last")).status == 200
            node.process.request_stop()
            await node.task

    asyncio.run(scenario())


class FailingNode(LocalNode):
    """A node with a component that fails again and again when it is told to."""

    def start(self, documents, seeds):
        super().start(documents, seeds)
        self.must_fail = asyncio.Event()
        self.process.supervisor.add("failing", self.fail)

    async def fail(self):
        await self.must_fail.wait()
        raise ValueError("a fault of the test")


def test_failure_of_a_component_interrupts_no_call():
    """Guards against calls that are cut because a background task has failed."""

    async def scenario():
        origin, address = Origin(), free_address()
        origin.listen(address)
        node = FailingNode("parts-1", "parts", address)
        async with LocalGraph([node], [make_document("parts")]) as graph:
            request = call(graph, node, "POST", "/a?ms=2500")
            task = asyncio.ensure_future(request)
            await asyncio.sleep(0.2)
            node.must_fail.set()
            assert (await task).status == 200
            with pytest.raises(RestartLimitError):
                await node.task
        await origin.stop()

    asyncio.run(scenario())


@asynccontextmanager
async def start_pair():
    """Starts two nodes of a service and yields the graph and the nodes."""
    origins, nodes = [Origin(), Origin()], []
    for number, origin in enumerate(origins, 1):
        address = free_address()
        origin.listen(address)
        nodes.append(LocalNode(f"parts-{number}", "parts", address))
    async with LocalGraph(nodes, [make_document("parts")]) as graph:
        yield graph, nodes
    for origin in origins:
        await origin.stop()


def nested_header(node):
    """Returns the header of a call that a running request makes."""
    deadline_ms = int((time.time() + 20.0) * 1000)
    context = CallContext("r", "e", "POST /*", 5, 0, deadline_ms, 1, node.peer_address)
    return {CONTEXT_HEADER: encode(context, node.node.key)}


def test_nested_call_that_arrives_after_the_last_one_ended_is_refused():
    """Guards against a call that is taken and cut when the node closes."""

    async def scenario():
        async with start_pair() as (graph, (leaving, _)):
            is_returning = asyncio.Event()

            async def return_permits():
                is_returning.set()
                await asyncio.sleep(1.0)

            leaving.node.return_permits = return_permits
            headers = nested_header(leaving)
            path = "/a?ms=2000"
            leaving.process.request_stop()
            await is_returning.wait()
            response = await call(graph, leaving, "GET", path, headers)
            assert (response.status, response.outcome) == (503, "not-run")
            await leaving.task

    asyncio.run(scenario())


def test_calls_that_outlast_a_shutdown_get_responses(monkeypatch):
    """Guards against calls that are cut at the end of a stop, or taken until then."""
    monkeypatch.setattr(_shutdown, "DRAIN_TIMEOUT_S", 3.0)

    async def scenario():
        async with start_pair() as (graph, (leaving, _)):
            root = call(graph, leaving, "POST", "/a?ms=6000")
            root = asyncio.ensure_future(root)
            await asyncio.sleep(0.3)
            leaving.process.request_stop()
            await asyncio.sleep(1.0)
            headers = nested_header(leaving)
            nested = await call(graph, leaving, "GET", "/b?ms=6000", headers)
            assert (nested.status, nested.outcome) == (504, "unknown")
            response = await root
            assert (response.status, response.outcome) == (502, "unknown")
            await leaving.task

    asyncio.run(scenario())

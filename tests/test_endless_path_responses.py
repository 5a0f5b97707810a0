"""Responses without end on the path of ``figpick run``."""

import asyncio
from unittest.mock import Mock

import pytest

from bench.cluster import free_address
from figpick.base._clock import Clock
from figpick.messaging._connections import ConnectionPool
from figpick.routing._silent_connections import PROBE_TIMEOUT_S, SilenceDetector
from tests.endless_bytes import (
    BODIES,
    MAX_TRACED_BYTES,
    OK,
    PIECE_BYTES,
    SOCKET_BUFFER_BYTES,
    STALLS,
    EndlessServer,
    in_use,
    start_node,
    traced,
)
from tests.proxied_node import allow_retries, call, refuse_retries

__all__ = ["traced"]


@pytest.mark.parametrize("allow", [allow_retries, refuse_retries])
@pytest.mark.parametrize("shape", STALLS)
def test_response_without_end_fails_once_or_is_retried(shape, allow, traced):
    """Guards against an upstream that holds a call and the memory of its node."""

    async def scenario():
        async with start_node(*STALLS[shape]) as setup:
            node, upstream = setup.node, setup.upstream
            allow(node)
            headers = {"Figpick-Deadline-Ms": "2000"}
            async with asyncio.timeout(1.5):
                response = await call(setup.graph, node, "GET", "/endless", headers)
            if allow is allow_retries:
                assert (response.status, response.body) == (200, b"ok")
            else:
                assert response.status in (502, 503)
                assert response.headers["Figpick-Outcome"] == "unknown"
            assert upstream.sent_bytes < SOCKET_BUFFER_BYTES
            assert upstream.is_closed
            assert traced() < MAX_TRACED_BYTES
            assert (await call(setup.graph, node, "GET", "/a")).body == b"ok"
            assert in_use(node) == 0

    asyncio.run(scenario())


@pytest.mark.parametrize("method", ["GET", "HEAD"])
def test_bytes_behind_a_response_reach_no_other_request(method, traced):
    """Guards against bytes behind a response that are taken for the next one."""

    async def scenario():
        async with start_node(OK, b"HTTP/1.1 500 No\r\nX: y\r\n") as setup:
            node, upstream = setup.node, setup.upstream
            response = await call(setup.graph, node, method, "/endless")
            assert response.status == 200
            for _ in range(3):
                assert (await call(setup.graph, node, "GET", "/a")).body == b"ok"
            assert upstream.sent_bytes < SOCKET_BUFFER_BYTES
            assert upstream.is_closed
            assert traced() < MAX_TRACED_BYTES
            assert in_use(node) == 0

    asyncio.run(scenario())


@pytest.mark.parametrize("end", ["deadline", "caller-reads-nothing", "caller-leaves"])
@pytest.mark.parametrize("shape", BODIES)
def test_body_without_end_is_closed_with_its_call(shape, end, traced):
    """Guards against a body that outlasts its call, or that fills the memory."""

    async def scenario():
        async with start_node(*BODIES[shape]) as setup:
            node, upstream = setup.node, setup.upstream
            allow_retries(node)
            ip, port = node.call_address.split(":")
            reader, writer = await asyncio.open_connection(ip, int(port))
            if end == "caller-reads-nothing":
                writer.transport.pause_reading()
            writer.write(
                b"GET /endless HTTP/1.1\r\nHost: parts\r\n"
                b"Figpick-Deadline-Ms: 500\r\n\r\n"
            )
            async with asyncio.timeout(2.0):
                while not upstream.sent_bytes:
                    await asyncio.sleep(0.01)
                if end == "caller-leaves":
                    writer.close()
                elif end == "deadline":
                    last = b""
                    while data := await reader.read(PIECE_BYTES):
                        last = data
                    assert not last.endswith(b"\r\n0\r\n\r\n")
                while not upstream.is_closed:
                    await asyncio.sleep(0.01)
            assert upstream.requests == 1
            assert traced() < MAX_TRACED_BYTES
            assert (await call(setup.graph, node, "GET", "/a")).body == b"ok"
            assert in_use(node) == 0
            writer.close()

    asyncio.run(scenario())


@pytest.mark.parametrize("shape", ["header-value", "interim-responses", *BODIES])
def test_response_without_end_to_a_probe_is_closed(shape, traced):
    """Guards against a probe that holds a connection and the memory of its node."""

    async def scenario():
        server, address = EndlessServer(*{**STALLS, **BODIES}[shape]), free_address()
        await server.listen(address)
        upstream = Mock(pool=ConnectionPool(address))
        detector = SilenceDetector(Clock())
        async with asyncio.timeout(PROBE_TIMEOUT_S + 1.0):
            await detector._run_probe(upstream, Clock().monotonic())
            while not server.is_closed:
                await asyncio.sleep(0.01)
        assert traced() < MAX_TRACED_BYTES
        server.stop()

    asyncio.run(scenario())

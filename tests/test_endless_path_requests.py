"""Requests without end on the path of ``figpick run``."""

import asyncio

import pytest

from tests.endless_bytes import (
    MAX_TRACED_BYTES,
    PIECE_BYTES,
    REQUEST_HEAD,
    REQUEST_STALLS,
    SOCKET_BUFFER_BYTES,
    in_use,
    send_slowly,
    send_until_closed,
    start_node,
    traced,
)
from tests.proxied_node import call

__all__ = ["traced"]


@pytest.mark.parametrize("shape", REQUEST_STALLS)
def test_request_without_end_is_cut_off(shape, traced):
    """Guards against memory that grows with the bytes of one caller."""

    async def scenario():
        start, unit = REQUEST_STALLS[shape]
        async with start_node(body_bytes=1_000_000) as setup:
            node, upstream = setup.node, setup.upstream
            async with asyncio.timeout(4.0):
                sent_bytes, received = await send_until_closed(
                    node.call_address, start, unit * (PIECE_BYTES // len(unit) + 1)
                )
            assert received.count(b"HTTP/1.1 ") <= 1
            assert b"HTTP/1.1 200" not in received
            if shape != "body":
                # The rest of a body is read for a second after its rejection.
                assert sent_bytes < SOCKET_BUFFER_BYTES
            assert traced() < MAX_TRACED_BYTES
            assert not upstream.requests
            assert (await call(setup.graph, node, "GET", "/a")).body == b"ok"
            assert in_use(node) == 0

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "method, framing",
    [
        (b"GET", b"Transfer-Encoding: chunked"),
        (b"PUT", b"Transfer-Encoding: chunked"),
        (b"PUT", b"Content-Length: 60000"),
        (b"PUT", b"Content-Length: 600000"),
    ],
)
def test_slow_request_without_end_fails_once_at_its_deadline(method, framing):
    """Guards against a request that is never complete and never given up."""

    async def scenario():
        head = (
            REQUEST_HEAD.replace(b"PUT /a", method + b" /slow") + framing + b"\r\n\r\n"
        )
        async with start_node(body_bytes=1_000_000) as setup:
            node = setup.node
            async with asyncio.timeout(3.0):
                received = await send_slowly(node.call_address, head, b"1\r\nx\r\n")
            assert received.startswith(b"HTTP/1.1 504 ")
            assert received.count(b"HTTP/1.1 ") == 1
            assert (await call(setup.graph, node, "GET", "/a")).body == b"ok"
            assert in_use(node) == 0
            assert node.node.dump()["in_flight"] == 0

    asyncio.run(scenario())

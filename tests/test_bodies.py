"""Responses reach callers complete or are visibly truncated."""

import asyncio

import pytest

from bench.origin import make_body
from tests.proxied_node import allow_retries, call, start_proxied_node


@pytest.mark.parametrize("framing", ["length", "tagged", "chunked", "close"])
def test_bodies_arrive_unchanged(framing):
    """Guards against lost, duplicated or reordered parts of a body."""

    async def scenario():
        async with start_proxied_node() as (graph, node, _, _):
            for size in (0, 1, 70_000, 3_000_000):
                response = await call(graph, node, "GET", f"/body/{size}/{framing}/7")
                assert response.status == 200
                assert response.body == make_body(7, 0, size)

    asyncio.run(scenario())


def test_truncated_body_never_looks_complete():
    """Guards against a truncated response that looks complete to the caller."""

    framings = ["none"]

    def cut(link):
        link.cut_after_bytes = 300_000
        link.reset_on_close = framings[-1] == "close"

    async def scenario():
        async with start_proxied_node(cut) as (graph, node, _, _):
            allow_retries(node)
            for framing in ("length", "chunked", "close"):
                framings.append(framing)
                path = f"/body/1000000/{framing}/7"
                response = await call(graph, node, "GET", path)
                assert response.status in (0, 502)

    asyncio.run(scenario())


@pytest.mark.parametrize("size", [50_000, 1_000_000])
def test_tagged_body_is_resumed(size):
    """Guards against a truncated response that a range request could complete."""
    cuts = [40_000, 300_000]

    def cut(link):
        link.cut_after_bytes = cuts.pop(0) if cuts else None

    async def scenario():
        async with start_proxied_node(cut) as (graph, node, _, _):
            allow_retries(node)
            response = await call(graph, node, "GET", f"/body/{size}/tagged/7")
            assert response.status == 200
            assert response.body == make_body(7, 0, size)
            assert node.node.counters.retries >= 1

    asyncio.run(scenario())


def test_large_upload_arrives_unchanged():
    """Guards against a request body that is corrupted or buffered without a limit."""

    async def scenario():
        async with start_proxied_node() as (graph, node, origin, proxy):
            proxy.configure(delay_ms=1)
            body = make_body(3, 0, 5_000_000)
            headers = {"Host": "parts"}
            response = await graph.client.request(
                node.call_address, "PUT", "/upload", headers, body
            )
            direct = await graph.client.request(
                node.upstream_address, "PUT", "/upload", headers, body
            )
            assert response.status == 200
            assert response.body == direct.body

    asyncio.run(scenario())


# Responses of at least so many bytes may be complete: without a length, the end of the
# connection ends the body.
HEAD_CUTS = {"length": 49, "chunked": 60, "close": 38}


@pytest.mark.parametrize("resets", [False, True])
def test_truncated_head_never_looks_complete(resets):
    """Guards against a success with an empty body, of which only the head began."""

    sizes = []

    def cut(link):
        link.cut_after_bytes = sizes[-1] if sizes else None
        link.reset_on_close = resets

    async def scenario():
        async with start_proxied_node(cut) as (graph, node, _, proxy):
            whole = await call(graph, node, "GET", "/body/0/length/7")
            assert whole.status == 200
            for framing, whole_bytes in HEAD_CUTS.items():
                for size in range(1, whole_bytes, 3):
                    sizes.append(size)
                    proxy.cut()
                    # A request that was lost twice is not sent a third time.
                    path = f"/body/10/{framing}/{size}"
                    response = await call(graph, node, "GET", path)
                    assert response.status in (0, 502, 503), (framing, size)

    asyncio.run(scenario())

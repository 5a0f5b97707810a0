"""Answers reach callers whole or are visibly cut."""

import asyncio

import pytest

from bench.origin import make_body
from tests.proxied_node import allow_retries, call, start_proxied_node


@pytest.mark.parametrize("framing", ["length", "tagged", "chunked", "close"])
def test_bodies_arrive_unchanged(framing):
    """Guards against lost, doubled or reordered parts of a body."""

    async def scenario():
        async with start_proxied_node() as (graph, node, _, _):
            for size in (0, 1, 70_000, 3_000_000):
                answer = await call(graph, node, "GET", f"/body/{size}/{framing}/7")
                assert answer.status == 200
                assert answer.body == make_body(7, 0, size)

    asyncio.run(scenario())


def test_cut_body_never_looks_whole():
    """Guards against a truncated answer that the caller takes for a whole one."""

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
                answer = await call(graph, node, "GET", path)
                assert answer.status in (0, 502)

    asyncio.run(scenario())


@pytest.mark.parametrize("size", [50_000, 1_000_000])
def test_tagged_body_is_resumed(size):
    """Guards against a cut answer that could have been completed by a range."""
    cuts = [40_000, 300_000]

    def cut(link):
        link.cut_after_bytes = cuts.pop(0) if cuts else None

    async def scenario():
        async with start_proxied_node(cut) as (graph, node, _, _):
            allow_retries(node)
            answer = await call(graph, node, "GET", f"/body/{size}/tagged/7")
            assert answer.status == 200
            assert answer.body == make_body(7, 0, size)
            assert node.node.counters.retries >= 1

    asyncio.run(scenario())


def test_large_upload_arrives_unchanged():
    """Guards against a request body that is damaged or buffered without bound."""

    async def scenario():
        async with start_proxied_node() as (graph, node, origin, proxy):
            proxy.configure(delay_ms=1)
            body = make_body(3, 0, 5_000_000)
            headers = {"Host": "parts"}
            answer = await graph.client.request(
                node.call_address, "PUT", "/upload", headers, body
            )
            direct = await graph.client.request(
                node.upstream_address, "PUT", "/upload", headers, body
            )
            assert answer.status == 200
            assert answer.body == direct.body

    asyncio.run(scenario())

"""Runs one node with an origin as its upstream and a fault proxy between them."""

from contextlib import asynccontextmanager

from bench.cluster import free_address
from bench.faultproxy import FaultProxy
from bench.local import LocalGraph, LocalNode, make_document
from bench.origin import Origin
from figpick.base._errors import RetryBoundError


@asynccontextmanager
async def start_proxied_node(on_link=None, **limits):
    """Starts node, proxy and origin and yields graph, node, origin and proxy."""
    origin, target, listen = Origin(), free_address(), free_address()
    origin.listen(target)
    proxy = FaultProxy(target, on_link)
    ip, port = listen.split(":")
    proxy.listen(int(port), ip)
    node = LocalNode("parts-1", "parts", listen)
    async with LocalGraph([node], [make_document("parts", **limits)]) as graph:
        yield graph, node, origin, proxy
    proxy.stop()
    await origin.stop()


def allow_retries(node):
    """Makes the node grant all retries."""

    async def allow(*arguments):
        node.node.counters.retries += 1

    node.node.authorize_retry = allow


def refuse_retries(node):
    """Makes the node refuse all retry grants."""

    async def refuse(*arguments):
        raise RetryBoundError("no further attempt is allowed")

    node.node.authorize_retry = refuse


def call(graph, node, method, target, headers=(), **options):
    """Sends a request to the node."""
    headers = {"Host": "parts", **dict(headers)}
    return graph.client.request(node.call_address, method, target, headers, **options)

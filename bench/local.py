"""Runs nodes in the event loop of a test or experiment."""

import asyncio
import time

import msgspec

from bench.client import HttpClient
from bench.cluster import KEY, free_address
from figpick.roles._compose import Process

ANNOUNCE_PATH = "/.well-known/figpick/announce"
ANNOUNCE_PERIOD_S = 0.5
READY_TIMEOUT_S = 10.0


class LocalNode:
    """A node on the host of an upstream.

    :param name: name of the node.
    :param service: name of its service.
    :param upstream_address: announced ``ip:port`` of the upstream.
    :param slots: announced number of slots.
    """

    def __init__(self, name, service, upstream_address, slots=50):
        self.name = name
        self.service = service
        self.upstream_address = upstream_address
        self.call_address = free_address()
        self.peer_address = free_address()
        self.state = "ready"
        self.slots = slots
        self.process = None
        self.task = None

    @property
    def node(self):
        """The :class:`~figpick.roles._node.Node` of the process."""
        return self.process.node

    def start(self, documents, seeds):
        """Starts the process with active documents.

        :param seeds: peer addresses of other nodes.
        """
        settings = {
            "name": self.name,
            "region": "region-1",
            "data_center": "dc-1",
            "roles": ["node"],
            "call_address": self.call_address,
            "peer_address": self.peer_address,
            "service": self.service,
            "seeds": seeds,
            "shared_key": KEY,
        }
        self.process = Process(settings)
        for document in documents:
            self.node.adopt_document(document, 1)
        # There is no control process that could confirm the documents.
        self.node.fetcher.confirm = _confirm
        self.task = asyncio.ensure_future(self.process.run())

    async def announce(self, client):
        """Sends one announcement of the upstream to the node."""
        message = {
            "service": self.service,
            "address": self.upstream_address,
            "slots": self.slots,
            "connections": 1000,
            "state": self.state,
        }
        body = msgspec.json.encode(message)
        await client.request(self.call_address, "POST", ANNOUNCE_PATH, (), body, 1)


class LocalGraph:
    """Runs nodes in the current event loop; an async context manager.

    :param nodes: list of :class:`LocalNode`.
    :param documents: service documents that are active on all nodes.
    """

    def __init__(self, nodes, documents):
        self.nodes = nodes
        self._documents = documents
        self.client = HttpClient()
        self._announce_task = None

    async def __aenter__(self):
        for node in self.nodes:
            self.start(node)
        self._announce_task = asyncio.ensure_future(self._announce())
        deadline = time.monotonic() + READY_TIMEOUT_S
        while not self._is_ready():
            if time.monotonic() > deadline:
                raise TimeoutError("not every node has permits from every upstream")
            await asyncio.sleep(0.05)
        return self

    async def __aexit__(self, *exception):
        self._announce_task.cancel()
        self.client.close()
        for node in self.nodes:
            node.task.cancel()
        tasks = [node.task for node in self.nodes]
        await asyncio.gather(*tasks, return_exceptions=True)

    def start(self, node):
        """Starts a node, or restarts one that has stopped."""
        seeds = [other.peer_address for other in self.nodes if other is not node]
        node.start(self._documents, seeds)

    async def _announce(self):
        while True:
            for node in self.nodes:
                if not node.task.done():
                    await node.announce(self.client)
            await asyncio.sleep(ANNOUNCE_PERIOD_S)

    def _is_ready(self):
        services = {node.service for node in self.nodes}
        for node in self.nodes:
            upstreams = node.node.dump()["upstreams"]
            for service in services:
                known = upstreams.get(service, [])
                expected = sum(other.service == service for other in self.nodes)
                if sum(item["granted"] > 0 for item in known) < expected:
                    return False
        return True


def make_document(service, **limits):
    """Returns a service document in which only POST is not idempotent."""
    routes = [
        {"method": method, "path": "/*", "importance": 5, "idempotent": True}
        for method in ("GET", "HEAD", "PUT", "DELETE")
    ]
    route = {"method": "POST", "path": "/*", "importance": 5, "idempotent": False}
    return {"service": service, "routes": [*routes, route], "limits": limits}


async def _confirm():
    pass

"""Nodes or their upstreams drain and return in turn while calls continue.

Each turn either shuts one node down gracefully and restarts it, or lets its upstream
announce that it is draining. A caller whose call a draining node refuses calls another
node.
"""

import asyncio
import random
import time

from bench.checks import Checker, run_calls, run_graph, run_seeds
from bench.cluster import free_address
from bench.local import LocalNode, make_document
from bench.origin import Origin, make_body

CALL_COUNT = 10_000
CALLS_PER_S = 600
UPSTREAM_COUNT = 4
SERVICE_MS = (2, 60)
BODY_BYTES = 300
# A draining upstream may receive new work for a few seconds, but not after that.
NEW_WORK_GRACE_S = 3.0
DRAIN_S = 4.0
AVOID_NODE_S = 6.0


class _Callers:
    """Callers that avoid a node for :data:`AVOID_NODE_S` after it refused a call.

    :param nodes: list of :class:`LocalNode`.
    """

    def __init__(self, nodes, checker, rng):
        self._nodes = nodes
        self._checker = checker
        self._rng = rng
        self._refused_at = {}

    async def call(self):
        """Makes one call and retries it elsewhere when a draining node refuses it."""
        number = self._rng.randrange(1 << 30)
        method = self._rng.choice(("GET", "GET", "POST"))
        query = f"?ms={self._rng.uniform(*SERVICE_MS):.1f}"
        path = f"/body/{BODY_BYTES}/length/{number}{query}"
        for _ in self._nodes:
            node = self._choose()
            expected = make_body(number, 0, BODY_BYTES)
            address = node.call_address
            response = await self._checker.call(address, method, path, expected)
            if response.headers.get("Figpick-Reason") != "draining":
                break
            self._refused_at[node] = time.monotonic()
            self._checker.outcomes["moved"] += 1
        if response.outcome == "unknown":
            self._checker.violations["interrupted"] += 1
        elif response.status == 0:
            self._checker.violations["no answer"] += 1

    def _choose(self):
        now = time.monotonic()
        candidates = [
            node
            for node in self._nodes
            if now - self._refused_at.get(node, -AVOID_NODE_S) >= AVOID_NODE_S
        ]
        return self._rng.choice(candidates)


def scenario(seed):
    """Runs the calls of one seed and checks their responses.

    :return: dict with ``calls``, ``outcomes`` and ``violations``.
    """
    nodes = [
        LocalNode(f"parts-{number}", "parts", free_address())
        for number in range(1, UPSTREAM_COUNT + 1)
    ]

    async def run(graph, rng):
        origins = [Origin() for _ in nodes]
        for node, origin in zip(nodes, origins, strict=True):
            origin.listen(node.upstream_address)

        def executions(request_id):
            return sum(origin.executions[request_id] for origin in origins)

        checker = Checker(graph.client, executions)
        callers = _Callers(nodes, checker, rng)
        drain_task = asyncio.ensure_future(
            _drain_in_turn(graph, origins, checker, seed)
        )
        await run_calls(callers.call, CALL_COUNT, CALLS_PER_S, rng)
        drain_task.cancel()
        checker.finish()
        return checker.summary()

    return run_graph(nodes, [make_document("parts", slots=50)], run, seed)


async def _drain_in_turn(graph, origins, checker, seed):
    rng = random.Random(seed)
    order = list(zip(graph.nodes, origins, strict=True))
    rng.shuffle(order)
    while True:
        for node, origin in order:
            await _drain(graph, node, origin, checker, rng.random() < 0.5)


async def _drain(graph, node, origin, checker, restarts_node):
    if restarts_node:
        node.process.request_stop()
    else:
        node.state = "draining"
        await node.announce(graph.client)
    await asyncio.sleep(NEW_WORK_GRACE_S)
    executions_before = sum(origin.executions.values())
    await asyncio.sleep(DRAIN_S - NEW_WORK_GRACE_S)
    checker.violations["new work"] += (
        sum(origin.executions.values()) - executions_before
    )
    if restarts_node:
        await node.task
        graph.start(node)
    node.state = "ready"


def run(seeds):
    """Counts interrupted calls and new work on draining upstreams.

    :param seeds: seeds of the calls and of the order of draining.
    :return: iterable of :class:`Row`.
    """
    return run_seeds("drain", scenario, seeds)

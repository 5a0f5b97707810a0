"""Nodes drain, leave and start again in turn while calls go on.

Each turn either shuts one node down gracefully or lets its upstream announce that it
drains. A caller that is refused by a leaving node calls another node.
"""

import asyncio
import random
import time

from bench.checks import Checker, run_calls, run_graph, run_seeds
from bench.cluster import free_address
from bench.local import LocalNode, document
from bench.origin import Origin, make_body

CALLS = 10_000
RATE = 600
UPSTREAMS = 4
SERVICE_MS = (2, 60)
BODY_BYTES = 300
# The target says that new work ends after a few seconds.
NEW_WORK_S = 3.0
AWAY_S = 4.0
AVOID_S = 6.0


class _Callers:
    """Callers that avoid a node for a while after it refused them.

    :param nodes: list of :class:`LocalNode`.
    """

    def __init__(self, nodes, checker, source):
        self._nodes = nodes
        self._checker = checker
        self._source = source
        self._avoided = {}

    async def call(self):
        """Makes one call, again elsewhere when a leaving node refuses it."""
        number = self._source.randrange(1 << 30)
        method = self._source.choice(("GET", "GET", "POST"))
        query = f"?ms={self._source.uniform(*SERVICE_MS):.1f}"
        path = f"/body/{BODY_BYTES}/length/{number}{query}"
        for _ in self._nodes:
            node = self._choose()
            expected = make_body(number, 0, BODY_BYTES)
            address = node.call_address
            answer = await self._checker.call(address, method, path, expected)
            if answer.headers.get("Figpick-Reason") != "draining":
                break
            self._avoided[node] = time.monotonic()
            self._checker.outcomes["moved"] += 1
        if answer.outcome == "unknown":
            self._checker.violations["interrupted"] += 1
        elif answer.status == 0:
            self._checker.violations["no answer"] += 1

    def _choose(self):
        now = time.monotonic()
        free = [
            node
            for node in self._nodes
            if now - self._avoided.get(node, -AVOID_S) >= AVOID_S
        ]
        return self._source.choice(free)


def scenario(seed):
    """Runs the calls of one seed.

    :return: dict with ``calls``, ``outcomes`` and ``violations``.
    """
    nodes = [
        LocalNode(f"parts-{number}", "parts", free_address())
        for number in range(1, UPSTREAMS + 1)
    ]

    async def run(graph, source):
        origins = [Origin() for _ in nodes]
        for node, origin in zip(nodes, origins, strict=True):
            origin.listen(node.upstream_address)

        def executions(identity):
            return sum(origin.executions[identity] for origin in origins)

        checker = Checker(graph.client, executions)
        callers = _Callers(nodes, checker, source)
        turns = asyncio.ensure_future(_take_turns(graph, origins, checker, seed))
        await run_calls(callers.call, CALLS, RATE, source)
        turns.cancel()
        checker.finish()
        return checker.summary()

    return run_graph(nodes, [document("parts", slots=50)], run, seed)


async def _take_turns(graph, origins, checker, seed):
    source = random.Random(seed)
    order = list(zip(graph.nodes, origins, strict=True))
    source.shuffle(order)
    while True:
        for node, origin in order:
            await _send_away(graph, node, origin, checker, source.random() < 0.5)


async def _send_away(graph, node, origin, checker, restart):
    if restart:
        node.process.request_stop()
    else:
        node.state = "draining"
        await node.announce(graph.client)
    await asyncio.sleep(NEW_WORK_S)
    before = sum(origin.executions.values())
    await asyncio.sleep(AWAY_S - NEW_WORK_S)
    checker.violations["new work"] += sum(origin.executions.values()) - before
    if restart:
        await node.task
        graph.start(node)
    node.state = "ready"


def run(seeds):
    """Counts interrupted calls and work sent to upstreams that leave.

    :param seeds: seeds of calls and turns.
    :return: iterable of :class:`Row`.
    """
    return run_seeds("drain", scenario, seeds)

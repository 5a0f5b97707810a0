"""Random connections to the upstreams become silent while new ones work."""

import asyncio
import time

from bench.checks import Checker, run_calls, run_graph, run_seeds
from bench.cluster import free_address
from bench.faultproxy import FaultProxy
from bench.local import LocalNode, make_document
from bench.origin import Origin, make_body

CALL_COUNT = 10_000
CALLS_PER_S = 500
UPSTREAM_COUNT = 2
SILENCE_INTERVAL_S = 0.5
SILENCE_SHARE = 0.3
BODY_BYTES = 200
SERVICE_MS = (1, 8)
# A call ends within twice the silence limit of 100 ms plus one further attempt; the
# rest is a margin for other load on the machine.
MAX_CALL_DURATION_S = 1.0


def scenario(seed):
    """Runs the calls of one seed and checks their responses.

    :return: dict with ``calls``, ``outcomes`` and ``violations``.
    """
    addresses = [free_address() for _ in range(UPSTREAM_COUNT)]
    nodes = [
        LocalNode(f"parts-{number}", "parts", address)
        for number, address in enumerate(addresses, 1)
    ]

    async def run(graph, rng):
        origin = Origin()
        target = free_address()
        origin.listen(target)
        proxies = [_start_proxy(target, address) for address in addresses]
        checker = Checker(graph.client, origin.executions.__getitem__)

        async def make_call():
            number = rng.randrange(1 << 30)
            address = rng.choice(nodes).call_address
            method = rng.choice(("GET", "GET", "GET", "POST"))
            query = f"?ms={rng.uniform(*SERVICE_MS):.1f}"
            path = f"/body/{BODY_BYTES}/length/{number}{query}"
            expected = make_body(number, 0, BODY_BYTES)
            started_at = time.monotonic()
            await checker.call(address, method, path, expected)
            if time.monotonic() - started_at > MAX_CALL_DURATION_S:
                checker.violations["held back"] += 1

        silence_task = asyncio.ensure_future(_silence_connections(proxies, rng))
        await run_calls(make_call, CALL_COUNT, CALLS_PER_S, rng)
        silence_task.cancel()
        checker.finish()
        return checker.summary()

    return run_graph(nodes, [make_document("parts", slots=50)], run, seed)


def _start_proxy(target, listen_address):
    proxy = FaultProxy(target)
    ip, port = listen_address.split(":")
    proxy.listen(int(port), ip)
    return proxy


async def _silence_connections(proxies, rng):
    while True:
        await asyncio.sleep(SILENCE_INTERVAL_S)
        proxy = rng.choice(proxies)
        proxy.silence_share(SILENCE_SHARE, rng.randrange(1 << 30))


def run(seeds):
    """Counts calls that hang, are executed twice or get a wrong response.

    :param seeds: seeds of calls and faults.
    :return: iterable of :class:`Row`.
    """
    return run_seeds("silent", scenario, seeds)

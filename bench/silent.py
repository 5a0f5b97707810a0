"""Connections to the upstreams stop responding at random while new ones work."""

import asyncio
import time

from bench.checks import Checker, run_calls, run_graph, run_seeds
from bench.cluster import free_address
from bench.faultproxy import FaultProxy
from bench.local import LocalNode, document
from bench.origin import Origin, make_body

CALLS = 10_000
RATE = 500
UPSTREAMS = 2
SILENCE_PERIOD_S = 0.5
SILENCE_SHARE = 0.3
BODY_BYTES = 200
SERVICE_MS = (1, 8)
# A call ends within twice the silence limit of 100 ms and one further attempt; the
# rest is for other load on the machine.
MAX_CALL_S = 1.0


def scenario(seed):
    """Runs the calls of one seed.

    :return: dict with ``calls``, ``outcomes`` and ``violations``.
    """
    addresses = [free_address() for _ in range(UPSTREAMS)]
    nodes = [
        LocalNode(f"parts-{number}", "parts", address)
        for number, address in enumerate(addresses, 1)
    ]

    async def run(graph, source):
        origin = Origin()
        target = free_address()
        origin.listen(target)
        proxies = [_start_proxy(target, address) for address in addresses]
        checker = Checker(graph.client, origin.executions.__getitem__)

        async def make_call():
            number = source.randrange(1 << 30)
            address = source.choice(nodes).call_address
            method = source.choice(("GET", "GET", "GET", "POST"))
            query = f"?ms={source.uniform(*SERVICE_MS):.1f}"
            path = f"/body/{BODY_BYTES}/length/{number}{query}"
            expected = make_body(number, 0, BODY_BYTES)
            started_at = time.monotonic()
            await checker.call(address, method, path, expected)
            if time.monotonic() - started_at > MAX_CALL_S:
                checker.violations["held back"] += 1

        silencer = asyncio.ensure_future(_silence(proxies, source))
        await run_calls(make_call, CALLS, RATE, source)
        silencer.cancel()
        checker.finish()
        return checker.summary()

    return run_graph(nodes, [document("parts", slots=50)], run, seed)


def _start_proxy(target, listen):
    proxy = FaultProxy(target)
    ip, port = listen.split(":")
    proxy.listen(int(port), ip)
    return proxy


async def _silence(proxies, source):
    while True:
        await asyncio.sleep(SILENCE_PERIOD_S)
        proxy = source.choice(proxies)
        proxy.silence_share(SILENCE_SHARE, source.randrange(1 << 30))


def run(seeds):
    """Counts calls that hang, run twice or get a wrong answer.

    :param seeds: seeds of calls and faults.
    :return: iterable of :class:`Row`.
    """
    return run_seeds("silent", scenario, seeds)

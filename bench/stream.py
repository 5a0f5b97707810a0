"""Bodies of all sizes and framings while connections to the upstream are cut off."""

import hashlib

from bench.checks import Checker, run_calls, run_graph, run_seeds
from bench.cluster import free_address
from bench.faultproxy import FaultProxy
from bench.local import LocalNode, make_document
from bench.origin import Origin, make_body

CALL_COUNT = 10_000
CALLS_PER_S = 600
CUT_SHARE = 0.3
SMALL_BYTES = 2_000
MEDIUM_BYTES = 300_000
LARGE_BYTES = 8_000_000
MEDIUM_SHARE = 0.03
LARGE_SHARE = 0.002
UPLOAD_SHARE = 0.2
FRAMINGS = ("length", "tagged", "chunked", "close")


def _draw_size(rng):
    kind = rng.random()
    if kind < LARGE_SHARE:
        return rng.randrange(MEDIUM_BYTES, LARGE_BYTES)
    if kind < MEDIUM_SHARE:
        return rng.randrange(SMALL_BYTES, MEDIUM_BYTES)
    return rng.randrange(SMALL_BYTES)


def _digest(body):
    digest = hashlib.blake2b(body, digest_size=16).hexdigest()
    return f"{len(body)} {digest}".encode()


def scenario(seed):
    """Runs the calls of one seed and checks their responses.

    :return: dict with ``calls``, ``outcomes`` and ``violations``.
    """
    listen_address = free_address()
    node = LocalNode("parts-1", "parts", listen_address)

    async def run(graph, rng):
        origin = Origin()
        proxy = _start_proxy(origin, listen_address, rng)
        checker = Checker(graph.client, origin.executions.__getitem__)

        async def make_call():
            number, size = rng.randrange(1 << 30), _draw_size(rng)
            if rng.random() < UPLOAD_SHARE:
                body = make_body(number, 0, size)
                method = rng.choice(("PUT", "POST"))
                await checker.call(
                    node.call_address, method, "/upload", _digest(body), body
                )
            else:
                path = f"/body/{size}/{rng.choice(FRAMINGS)}/{number}"
                expected = make_body(number, 0, size)
                await checker.call(node.call_address, "GET", path, expected)

        await run_calls(make_call, CALL_COUNT, CALLS_PER_S, rng)
        checker.finish()
        proxy.stop()
        return checker.summary()

    return run_graph([node], [make_document("parts", slots=50)], run, seed)


def _start_proxy(origin, listen_address, rng):
    target = free_address()
    origin.listen(target)

    def choose_fault(link):
        if rng.random() < CUT_SHARE:
            max_bytes = rng.choice((SMALL_BYTES, 50_000, MEDIUM_BYTES))
            link.cut_after_bytes = rng.randrange(max_bytes)
            # Only a reset distinguishes a cut from the end of a body without a
            # length.
            link.reset_on_close = True

    proxy = FaultProxy(target, choose_fault)
    ip, port = listen_address.split(":")
    proxy.listen(int(port), ip)
    return proxy


def run(seeds):
    """Counts damaged responses.

    :param seeds: seeds of calls and faults.
    :return: iterable of :class:`Row`.
    """
    return run_seeds("stream", scenario, seeds)

"""Bodies of all sizes and framings while connections to the upstream are cut."""

import hashlib

from bench.checks import Checker, run_calls, run_graph, run_seeds
from bench.cluster import free_address
from bench.faultproxy import FaultProxy
from bench.local import LocalNode, document
from bench.origin import Origin, make_body

CALLS = 10_000
RATE = 600
CUT_SHARE = 0.3
SMALL_BYTES = 2_000
MEDIUM_BYTES = 300_000
LARGE_BYTES = 8_000_000
MEDIUM_SHARE = 0.03
LARGE_SHARE = 0.002
UPLOAD_SHARE = 0.2
FRAMINGS = ("length", "tagged", "chunked", "close")


def _size(source):
    kind = source.random()
    if kind < LARGE_SHARE:
        return source.randrange(MEDIUM_BYTES, LARGE_BYTES)
    if kind < MEDIUM_SHARE:
        return source.randrange(SMALL_BYTES, MEDIUM_BYTES)
    return source.randrange(SMALL_BYTES)


def _digest(body):
    digest = hashlib.blake2b(body, digest_size=16).hexdigest()
    return f"{len(body)} {digest}".encode()


def scenario(seed):
    """Runs the calls of one seed.

    :return: dict with ``calls``, ``outcomes`` and ``violations``.
    """
    listen = free_address()
    node = LocalNode("parts-1", "parts", listen)

    async def run(graph, source):
        origin = Origin()
        proxy = _start_proxy(origin, listen, source)
        checker = Checker(graph.client, origin.executions.__getitem__)

        async def make_call():
            number, size = source.randrange(1 << 30), _size(source)
            if source.random() < UPLOAD_SHARE:
                body = make_body(number, 0, size)
                method = source.choice(("PUT", "POST"))
                await checker.call(
                    node.call_address, method, "/upload", _digest(body), body
                )
            else:
                path = f"/body/{size}/{source.choice(FRAMINGS)}/{number}"
                expected = make_body(number, 0, size)
                await checker.call(node.call_address, "GET", path, expected)

        await run_calls(make_call, CALLS, RATE, source)
        checker.finish()
        proxy.stop()
        return checker.summary()

    return run_graph([node], [document("parts", slots=50)], run, seed)


def _start_proxy(origin, listen, source):
    target = free_address()
    origin.listen(target)

    def choose_fault(link):
        if source.random() < CUT_SHARE:
            most = source.choice((SMALL_BYTES, 50_000, MEDIUM_BYTES))
            link.cut_after_bytes = source.randrange(most)
            # The end of a body without a length is told from a cut by the reset.
            link.reset_on_close = True

    proxy = FaultProxy(target, choose_fault)
    ip, port = listen.split(":")
    proxy.listen(int(port), ip)
    return proxy


def run(seeds):
    """Counts damaged answers.

    :param seeds: seeds of calls and faults.
    :return: iterable of :class:`Row`.
    """
    return run_seeds("stream", scenario, seeds)

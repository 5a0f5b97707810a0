"""Latency that a node adds to a call.

Calls through the node alternate with direct calls to the same stand-in in one run, so
that other load on the machine affects both. Rows contain the difference; the baseline
column contains the latency of the direct call.
"""

import asyncio
import random
import subprocess
import sys
import time
from collections import deque
from statistics import median

import uvloop

from bench.cluster import free_address
from bench.local import LocalGraph, LocalNode, make_document
from bench.origin import Origin
from bench.rows import Row
from figpick.roles._compose import configure_garbage_collection

TARGET_CALLS_PER_S = 156
WINDOW_COUNT = 6
WINDOW_S = 1.0
TIMER_RESOLUTION_S = 0.0015
WARM_UP_S = 0.7
PROCESSING_CALL_COUNT = 2000
HOST_HEADER = {"Host": "parts"}
MAX_ADDED_P99_MS = 0.64
CALLS_PER_S_STEPS = (500, 1000, 1500, 2000, 2500, 3000)
STEP_S = 0.5
# A rate is sustained when this share of its calls completes within the step.
MIN_RESPONSE_SHARE = 0.99
HEADERS = b"Host: parts\r\nUser-Agent: bench\r\nAccept: */*\r\nX-Request: 1\r\n"
REQUEST = b"GET /parts/7 HTTP/1.1\r\n" + HEADERS + b"\r\n"
BODY = b"x" * 128
RESPONSE = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nServer: standin\r\n"
    b"Content-Length: %d\r\n\r\n%s" % (len(BODY), BODY)
)


class _Origin(asyncio.Protocol):
    """Sends the same response to every request head."""

    def connection_made(self, transport):
        self._transport = transport
        self._buffer = b""

    def data_received(self, data):
        self._buffer += data
        while b"\r\n\r\n" in self._buffer:
            self._buffer = self._buffer.partition(b"\r\n\r\n")[2]
            self._transport.write(RESPONSE)


class _Caller(asyncio.Protocol):
    """Persistent connection that measures the time to the complete response."""

    def __init__(self, pool):
        self._pool = pool

    def connection_made(self, transport):
        self._transport = transport

    def send(self, now):
        self._sent_at = now
        self._buffer = b""
        self._transport.write(REQUEST)

    def data_received(self, data):
        self._buffer += data
        if len(self._buffer) < len(BODY) or not self._buffer.endswith(BODY):
            return
        self._pool.record_response(
            self, self._sent_at, self._buffer.startswith(b"HTTP/1.1 200")
        )


class _ConnectionPool:
    """Pool of connections to one address that records the latencies of their calls.

    :param address: ``ip:port``.
    """

    def __init__(self, address):
        self._address = address.split(":")
        self._loop = asyncio.get_running_loop()
        self._idle = deque()
        self.latencies_ms = []
        self.sent_count = 0

    async def call(self):
        """Sends a call; its latency is recorded when the response is complete."""
        if not self._idle:
            ip, port = self._address
            _, caller = await self._loop.create_connection(
                lambda: _Caller(self), ip, int(port)
            )
            self._idle.append(caller)
        self.sent_count += 1
        self._idle.pop().send(time.perf_counter())

    def record_response(self, caller, sent_at, succeeded):
        """Records the end of a call and releases its connection."""
        if succeeded:
            self.latencies_ms.append((time.perf_counter() - sent_at) * 1000)
        self._idle.append(caller)

    def clear(self):
        """Discards the recorded latencies and the number of sent calls."""
        self.latencies_ms.clear()
        self.sent_count = 0


def quantile(values, share):
    """Returns the value that the fraction ``share`` of the values does not exceed."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


async def _alternate_calls(pools, rate, duration_s, rng):
    """Sends ``rate`` calls per second through each pool, alternating between pools."""
    period_s = 1 / rate / len(pools)
    at = time.perf_counter()
    end = at + duration_s
    tasks = set()
    while time.perf_counter() < end:
        for pool in pools:
            at += period_s * rng.uniform(0.8, 1.2)
            await _sleep_until(at)
            task = asyncio.ensure_future(pool.call())
            tasks.add(task)
            task.add_done_callback(tasks.discard)
    await asyncio.sleep(0.1)


async def _sleep_until(at):
    # Timers of the event loop have a resolution of 1 ms and would send calls in bursts.
    delay_s = at - time.perf_counter()
    if delay_s > TIMER_RESOLUTION_S:
        await asyncio.sleep(delay_s - TIMER_RESOLUTION_S)
    while time.perf_counter() < at:
        await asyncio.sleep(0)


async def _find_highest_rate(node, direct, rng):
    """Returns the highest sustained rate and its latencies, or ``None`` if none is."""
    highest = None
    for rate in CALLS_PER_S_STEPS:
        node.clear()
        direct.clear()
        await _alternate_calls([node, direct], rate, STEP_S, rng)
        if len(node.latencies_ms) < MIN_RESPONSE_SHARE * STEP_S * rate:
            break
        highest = (rate, list(node.latencies_ms), list(direct.latencies_ms))
    return highest


def _rows(case, seed, node_ms, direct_ms):
    for name, share in (("p50", 0.5), ("p99", 0.99)):
        baseline = quantile(direct_ms, share)
        added = quantile(node_ms, share) - baseline
        label = f"{case} added {name}"
        yield Row("hop", label, seed, round(baseline, 3), round(added, 3), None, "ms")


async def _measure_target_rate(node, direct, seed, rng):
    """Measures the latency at the target rate, in windows.

    Other load on the machine delays single windows by several ms, so the bound
    applies to the median of the windows. Figures over all calls are included as well.
    """
    node_ms, direct_ms, added, baselines = [], [], [], []
    for _ in range(WINDOW_COUNT):
        node.clear()
        direct.clear()
        await _alternate_calls([node, direct], TARGET_CALLS_PER_S, WINDOW_S, rng)
        baselines.append(quantile(direct.latencies_ms, 0.99))
        added.append(quantile(node.latencies_ms, 0.99) - baselines[-1])
        node_ms.extend(node.latencies_ms)
        direct_ms.extend(direct.latencies_ms)
    case = f"{TARGET_CALLS_PER_S}/s"
    rows = list(_rows(case, seed, node_ms, direct_ms))
    label = f"{case} added p99, median window"
    baseline, added_ms = round(median(baselines), 3), round(median(added), 3)
    rows.append(Row("hop", label, seed, baseline, added_ms, MAX_ADDED_P99_MS, "ms"))
    return rows


async def _measure_latency(node_address, direct_address, seeds):
    rows = []
    for seed in seeds:
        rng = random.Random(seed)
        node, direct = _ConnectionPool(node_address), _ConnectionPool(direct_address)
        await _alternate_calls([node, direct], TARGET_CALLS_PER_S, WARM_UP_S, rng)
        rows.extend(await _measure_target_rate(node, direct, seed, rng))
        highest = await _find_highest_rate(node, direct, rng)
        rate = highest[0] if highest else 0
        rows.append(Row("hop", "highest rate held", seed, None, rate, None, "1/s"))
        if highest:
            rows.extend(_rows("highest rate", seed, *highest[1:]))
    return rows


def run(seeds):
    """Measures the added latency.

    :param seeds: seeds of the arrival times.
    :return: iterable of :class:`Row`.
    """
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        yield from runner.run(_measure_processing())
    origin_address = free_address()
    command = [sys.executable, "-m", "bench.hop"]
    origin = subprocess.Popen([*command, "origin", origin_address])
    node = subprocess.Popen(
        [*command, "node", origin_address], stdout=subprocess.PIPE, text=True
    )
    try:
        node_address = node.stdout.readline().strip()
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            yield from runner.run(_measure_latency(node_address, origin_address, seeds))
    finally:
        for process in (origin, node):
            process.terminate()
            process.wait()


async def _measure_processing():
    """Measures the added latency without the wake-ups of idle cores.

    Caller, node and upstream share one busy event loop. Between processes, each
    wake-up of an idle virtual core takes up to 0.4 ms on a virtual machine.
    """
    origin, address = Origin(), free_address()
    origin.listen(address)
    node = LocalNode("parts-1", "parts", address)
    direct, via_node = [], []
    async with LocalGraph([node], [make_document("parts", slots=50)]) as graph:
        for number in range(PROCESSING_CALL_COUNT):
            for target, times in ((address, direct), (node.call_address, via_node)):
                started_at = time.perf_counter()
                response = await graph.client.request(target, "GET", "/a", HOST_HEADER)
                assert response.status == 200
                if number >= PROCESSING_CALL_COUNT // 10:
                    times.append((time.perf_counter() - started_at) * 1000)
    await origin.stop()
    rows = []
    for share, bound in ((0.5, None), (0.99, MAX_ADDED_P99_MS)):
        baseline, with_node = (
            sorted(latencies)[int(len(latencies) * share)]
            for latencies in (direct, via_node)
        )
        case = f"processing in one loop, added p{share * 100:.0f}"
        rows.append(
            Row(
                "hop",
                case,
                1,
                round(baseline, 3),
                round(with_node - baseline, 3),
                bound,
                "ms",
            )
        )
    return rows


async def _serve_origin(address):
    ip, port = address.split(":")
    loop = asyncio.get_running_loop()
    server = await loop.create_server(_Origin, ip, int(port))
    await server.serve_forever()


async def _serve_node(origin_address):
    configure_garbage_collection()
    node = LocalNode("parts-1", "parts", origin_address)
    async with LocalGraph([node], [make_document("parts", slots=50)]):
        print(node.call_address, flush=True)
        await node.task


def main(role, address):
    """Runs the stand-in or the node as a separate process.

    :param role: ``origin`` or ``node``.
    :param address: address of the stand-in.
    """
    serve = _serve_origin if role == "origin" else _serve_node
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve(address))


if __name__ == "__main__":
    main(*sys.argv[1:])

"""The latency that a node adds to a call.

Calls through the node alternate with direct calls to the same stand-in in one run, so
that other load on the machine affects both. Rows give the difference; the baseline
column is the direct call.
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
from bench.local import LocalGraph, LocalNode, document
from bench.origin import Origin
from bench.rows import Row
from figpick.roles._compose import configure_garbage_collection

TARGET_RATE = 156
WINDOWS = 6
WINDOW_S = 1.0
TIMER_RESOLUTION_S = 0.0015
WARM_UP_S = 0.7
PROCESSING_CALLS = 2000
HOST = {"Host": "parts"}
ADDED_P99_MS = 0.64
RATES = (500, 1000, 1500, 2000, 2500, 3000)
RATE_S = 0.5
# A rate is held while this share of the calls is answered within its window.
HELD_SHARE = 0.99
HEADERS = b"Host: parts\r\nUser-Agent: bench\r\nAccept: */*\r\nX-Request: 1\r\n"
REQUEST = b"GET /parts/7 HTTP/1.1\r\n" + HEADERS + b"\r\n"
BODY = b"x" * 128
ANSWER = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nServer: standin\r\n"
    b"Content-Length: %d\r\n\r\n%s" % (len(BODY), BODY)
)


class _Origin(asyncio.Protocol):
    """Answers each request head with the same bytes."""

    def connection_made(self, transport):
        self._transport = transport
        self._buffer = b""

    def data_received(self, data):
        self._buffer += data
        while b"\r\n\r\n" in self._buffer:
            self._buffer = self._buffer.partition(b"\r\n\r\n")[2]
            self._transport.write(ANSWER)


class _Caller(asyncio.Protocol):
    """One kept connection that measures the time to the whole answer."""

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
        self._pool.note(self, self._sent_at, self._buffer.startswith(b"HTTP/1.1 200"))


class _Pool:
    """Connections to one address with the latencies of their calls.

    :param address: ``ip:port``.
    """

    def __init__(self, address):
        self._target = address.split(":")
        self._loop = asyncio.get_running_loop()
        self._idle = deque()
        self.latencies_ms = []
        self.sent = 0

    async def call(self):
        """Sends a call; its latency is noted when the answer comes."""
        if not self._idle:
            ip, port = self._target
            _, caller = await self._loop.create_connection(
                lambda: _Caller(self), ip, int(port)
            )
            self._idle.append(caller)
        self.sent += 1
        self._idle.pop().send(time.perf_counter())

    def note(self, caller, sent_at, succeeded):
        """Takes the end of a call."""
        if succeeded:
            self.latencies_ms.append((time.perf_counter() - sent_at) * 1000)
        self._idle.append(caller)

    def clear(self):
        """Forgets the latencies noted so far."""
        self.latencies_ms.clear()
        self.sent = 0


def quantile(values, share):
    """Gives the value that ``share`` of the values do not exceed."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


async def _alternate(pools, rate, duration_s, source):
    """Sends ``rate`` calls a second to each pool in turn."""
    period_s = 1 / rate / len(pools)
    at = time.perf_counter()
    end = at + duration_s
    tasks = set()
    while time.perf_counter() < end:
        for pool in pools:
            at += period_s * source.uniform(0.8, 1.2)
            await _sleep_until(at)
            task = asyncio.ensure_future(pool.call())
            tasks.add(task)
            task.add_done_callback(tasks.discard)
    await asyncio.sleep(0.1)


async def _sleep_until(at):
    # Timers of the event loop have a resolution of 1 ms, which would send bursts.
    delay_s = at - time.perf_counter()
    if delay_s > TIMER_RESOLUTION_S:
        await asyncio.sleep(delay_s - TIMER_RESOLUTION_S)
    while time.perf_counter() < at:
        await asyncio.sleep(0)


async def _highest_rate(node, direct, source):
    held = None
    for rate in RATES:
        node.clear()
        direct.clear()
        await _alternate([node, direct], rate, RATE_S, source)
        if len(node.latencies_ms) < HELD_SHARE * RATE_S * rate:
            break
        held = (rate, list(node.latencies_ms), list(direct.latencies_ms))
    return held


def _rows(case, seed, node_ms, direct_ms):
    for name, share in (("p50", 0.5), ("p99", 0.99)):
        base = quantile(direct_ms, share)
        added = quantile(node_ms, share) - base
        label = f"{case} added {name}"
        yield Row("hop", label, seed, round(base, 3), round(added, 3), None, "ms")


async def _target_rows(node, direct, seed, source):
    """Measures at the target rate, in windows.

    Other load on the machine delays single windows by several ms, so the bound
    applies to the median of the windows. The pooled calls are given as well.
    """
    node_ms, direct_ms, added, bases = [], [], [], []
    for _ in range(WINDOWS):
        node.clear()
        direct.clear()
        await _alternate([node, direct], TARGET_RATE, WINDOW_S, source)
        bases.append(quantile(direct.latencies_ms, 0.99))
        added.append(quantile(node.latencies_ms, 0.99) - bases[-1])
        node_ms.extend(node.latencies_ms)
        direct_ms.extend(direct.latencies_ms)
    case = f"{TARGET_RATE}/s"
    rows = list(_rows(case, seed, node_ms, direct_ms))
    label = f"{case} added p99, median window"
    base, figure = round(median(bases), 3), round(median(added), 3)
    rows.append(Row("hop", label, seed, base, figure, ADDED_P99_MS, "ms"))
    return rows


async def _measure(node_address, direct_address, seeds):
    rows = []
    for seed in seeds:
        source = random.Random(seed)
        node, direct = _Pool(node_address), _Pool(direct_address)
        await _alternate([node, direct], TARGET_RATE, WARM_UP_S, source)
        rows.extend(await _target_rows(node, direct, seed, source))
        held = await _highest_rate(node, direct, source)
        rate = held[0] if held else 0
        rows.append(Row("hop", "highest rate held", seed, None, rate, None, "1/s"))
        if held:
            rows.extend(_rows("highest rate", seed, *held[1:]))
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
            yield from runner.run(_measure(node_address, origin_address, seeds))
    finally:
        for process in (origin, node):
            process.terminate()
            process.wait()


async def _measure_processing():
    """Measures the hop without the wake-ups of idle cores.

    Caller, node and upstream share one busy loop. Between processes, each wake-up
    of an idle virtual core takes up to 0.4 ms on this kind of machine.
    """
    origin, address = Origin(), free_address()
    origin.listen(address)
    node = LocalNode("parts-1", "parts", address)
    direct, through = [], []
    async with LocalGraph([node], [document("parts", slots=50)]) as graph:
        for number in range(PROCESSING_CALLS):
            for target, times in ((address, direct), (node.call_address, through)):
                started_at = time.perf_counter()
                answer = await graph.client.request(target, "GET", "/a", HOST)
                assert answer.status == 200
                if number >= PROCESSING_CALLS // 10:
                    times.append((time.perf_counter() - started_at) * 1000)
    await origin.stop()
    rows = []
    for share, bound in ((0.5, None), (0.99, ADDED_P99_MS)):
        base, own = (sorted(each)[int(len(each) * share)] for each in (direct, through))
        case = f"processing in one loop, added p{share * 100:.0f}"
        rows.append(
            Row("hop", case, 1, round(base, 3), round(own - base, 3), bound, "ms")
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
    async with LocalGraph([node], [document("parts", slots=50)]):
        print(node.call_address, flush=True)
        await node.task


def main(role, address):
    """Runs the stand-in or the node in a process of its own."""
    serve = _serve_origin if role == "origin" else _serve_node
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve(address))


if __name__ == "__main__":
    main(*sys.argv[1:])

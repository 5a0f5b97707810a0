"""Counts executions while every layer and the caller retry.

The services form chains with depths of 4 and 8. The deepest service slows down and
sheds load. Each application makes up to three attempts at each call, and so does the
caller.
"""

import asyncio
import time
from bisect import bisect_left
from collections import Counter

from bench.cluster import Cluster, ServiceSpec
from bench.forwarder import ForwarderCluster
from bench.rows import Row
from figpick.claims._keys import new_key
from figpick.registry._documents import DEFAULT_RETRIES

DEPTHS = (4, 8)
HOSTS_PER_SERVICE = 2
SLOTS = 30
DEEPEST_SLOTS = 3
SERVICE_MS = 2
DEEPEST_MS = 20
ATTEMPTS = 3
ROOTS_PER_S = 60
LOAD_S = 2.4
# The deepest service is slow in the middle third of the load.
SLOW_FACTOR = 10
SLOW_FROM_S = 0.8
SLOW_S = 0.8
CALLER_RETRY_PAUSE_S = 0.05
CALLER_TIMEOUT_S = 2.0
MAX_DRAIN_S = 2.0
WINDOW_S = 1.0
WINDOW_STEP_S = 0.1
MAX_EXECUTION_RATIO = 1.1
# With fewer calls in a window, a single call could move the ratio over its bound.
MIN_OFFERED_CALLS = 20


def make_chain(depth):
    """Returns the services of a chain."""
    return [_service(level, depth) for level in range(1, depth + 1)]


def _service(level, depth):
    deepest = level == depth
    route = {
        "prefix": "/",
        "service_ms": DEEPEST_MS if deepest else SERVICE_MS,
        "attempts": ATTEMPTS,
    }
    if not deepest:
        call = {"service": f"layer-{level + 1}", "method": "GET", "path": "/work"}
        route["calls"] = [call]
    document = {
        "service": f"layer-{level}",
        "routes": [
            {
                "method": "GET",
                "path": "/work",
                "importance": 5,
                "idempotent": True,
                "deadline_ms": int(CALLER_TIMEOUT_S * 1000),
            }
        ],
    }
    slots = DEEPEST_SLOTS if deepest else SLOTS
    return ServiceSpec(
        document, [route], HOSTS_PER_SERVICE, slots, shed=deepest, journal=True
    )


class RetryingLoad:
    """Sends root requests at a constant rate and retries failed ones.

    :param cluster: :class:`~bench.cluster.Cluster`.
    """

    def __init__(self, cluster, depth):
        self._cluster = cluster
        self._deepest = f"layer-{depth}"
        self.sent_at = []
        self.completed_count = 0

    async def run(self):
        """Sends for :data:`LOAD_S`, then waits up to :data:`MAX_DRAIN_S`."""
        addresses = self._cluster.call_addresses("layer-1")
        slow_task = asyncio.ensure_future(self._slow())
        tasks = []
        started_at = time.monotonic()
        for number in range(int(LOAD_S * ROOTS_PER_S)):
            delay_s = started_at + number / ROOTS_PER_S - time.monotonic()
            await asyncio.sleep(max(0.0, delay_s))
            address = addresses[number % len(addresses)]
            tasks.append(asyncio.ensure_future(self._request(address, f"r{number}")))
        _, pending = await asyncio.wait(tasks, timeout=MAX_DRAIN_S)
        for task in pending:
            task.cancel()
        await slow_task

    async def _slow(self):
        hosts = [h for h in self._cluster.hosts if h.service == self._deepest]
        await asyncio.sleep(SLOW_FROM_S)
        for factor in (SLOW_FACTOR, 1):
            body = str(factor).encode()
            await asyncio.gather(
                *(self._cluster.send_command(host, "slow", body) for host in hosts)
            )
            await asyncio.sleep(SLOW_S if factor != 1 else 0)

    async def _request(self, address, request_id):
        self.sent_at.append(time.time())
        key = new_key(time.time())
        for attempt in range(1, ATTEMPTS + 1):
            headers = {
                "Host": "layer-1",
                "X-Request": request_id,
                "Idempotency-Key": key,
                "Figpick-Attempt": str(attempt),
            }
            response = await self._cluster.client.request(
                address, "GET", "/work", headers, timeout_s=CALLER_TIMEOUT_S
            )
            if response.status == 200:
                self.completed_count += 1
                return
            await asyncio.sleep(CALLER_RETRY_PAUSE_S)


def highest_ratio(runs, offered):
    """Returns the highest ratio of executions to offered calls in any window.

    :param runs: sorted times of the executions of a service.
    :param offered: sorted times of the calls to that service.
    """
    if not runs or not offered:
        return 0.0
    highest, start = 0.0, offered[0]
    while start < offered[-1]:
        calls = _count_between(offered, start, start + WINDOW_S)
        if calls >= MIN_OFFERED_CALLS:
            count = _count_between(runs, start, start + WINDOW_S)
            highest = max(highest, count / calls)
        start += WINDOW_STEP_S
    return highest


def _count_between(times, start, end):
    return bisect_left(times, end) - bisect_left(times, start)


def summarize(load, journal, depth):
    """Returns the figures of a run.

    :param load: :class:`RetryingLoad` after the run.
    :param journal: list of :class:`~bench.cluster.JournalEntry`.
    :return: highest number of executions of a root request, highest ratio of a
        service, share of completed root requests and executions per root and layer.
    """
    runs, offered = {}, {"layer-1": sorted(load.sent_at)}
    per_root = Counter()
    for entry in journal:
        if entry.kind == "run":
            per_root[entry.request_id] += 1
            runs.setdefault(entry.service, []).append(entry.at)
        else:
            offered.setdefault(entry.service, []).append(entry.at)
    names = [f"layer-{level}" for level in range(1, depth + 1)]
    pairs = [(runs.get(name, []), offered.get(name, [])) for name in names]
    return {
        "executions": max(per_root.values()),
        "ratio": round(max(highest_ratio(*pair) for pair in pairs), 3),
        "good": round(load.completed_count / len(load.sent_at), 3),
        "total": round(sum(per_root.values()) / len(load.sent_at) / depth, 3),
    }


async def measure(cluster, depth):
    """Runs the load on one chain and returns its figures.

    :param cluster: :class:`~bench.cluster.Cluster` that is not started.
    """
    async with cluster:
        load = RetryingLoad(cluster, depth)
        await load.run()
        return summarize(load, cluster.read_journal(), depth)


def run(seeds):
    """Yields the rows; the depths 4, 8 and 4 are run with one seed each."""
    for seed, depth in zip(seeds, (*DEPTHS, DEPTHS[0]), strict=False):
        baseline = asyncio.run(measure(ForwarderCluster(make_chain(depth)), depth))
        figpick = asyncio.run(measure(Cluster(make_chain(depth)), depth))
        bound = (1 + DEFAULT_RETRIES) * depth
        name = f"depth {depth}"
        yield Row(
            "retries",
            f"{name} executions per root",
            seed,
            baseline["executions"],
            figpick["executions"],
            bound,
            "executions",
        )
        yield Row(
            "retries",
            f"{name} executions to offered calls",
            seed,
            baseline["ratio"],
            figpick["ratio"],
            MAX_EXECUTION_RATIO,
            "ratio",
        )
        fields = ("good", "share"), ("total", "ratio")
        for field, unit in fields:
            case = f"{name} {field}"
            yield Row(
                "retries", case, seed, baseline[field], figpick[field], None, unit
            )

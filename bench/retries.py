"""Counts executions while every layer and the caller retry.

A chain of services, 4 and 8 deep, whose deepest service slows down and sheds load.
Each application makes up to three attempts at each call, and so does the caller.
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
SERVERS = 2
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
CALLER_PAUSE_S = 0.05
CALLER_TIMEOUT_S = 2.0
LATEST_END_S = 2.0
WINDOW_S = 1.0
WINDOW_STEP_S = 0.1
EXECUTION_RATIO = 1.1
# Below this, one call more or less moves the ratio over its bound.
LEAST_OFFERED = 20


def chain(depth):
    """Lists the services of a chain."""
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
    return ServiceSpec(document, [route], SERVERS, slots, shed=deepest, journal=True)


class Load:
    """Sends root requests at an even pace and retries those that fail.

    :param cluster: :class:`~bench.cluster.Cluster`.
    """

    def __init__(self, cluster, depth):
        self._cluster = cluster
        self._deepest = f"layer-{depth}"
        self.sent_at = []
        self.good = 0

    async def run(self):
        """Sends for :data:`LOAD_S` and waits for the answers a while."""
        entries = self._cluster.call_addresses("layer-1")
        slow = asyncio.ensure_future(self._slow())
        tasks = []
        started_at = time.monotonic()
        for number in range(int(LOAD_S * ROOTS_PER_S)):
            due_s = started_at + number / ROOTS_PER_S - time.monotonic()
            await asyncio.sleep(max(0.0, due_s))
            node = entries[number % len(entries)]
            tasks.append(asyncio.ensure_future(self._request(node, f"r{number}")))
        _, pending = await asyncio.wait(tasks, timeout=LATEST_END_S)
        for task in pending:
            task.cancel()
        await slow

    async def _slow(self):
        hosts = [h for h in self._cluster.hosts if h.service == self._deepest]
        await asyncio.sleep(SLOW_FROM_S)
        for factor in (SLOW_FACTOR, 1):
            body = str(factor).encode()
            await asyncio.gather(
                *(self._cluster.send_command(host, "slow", body) for host in hosts)
            )
            await asyncio.sleep(SLOW_S if factor != 1 else 0)

    async def _request(self, node, identity):
        self.sent_at.append(time.time())
        key = new_key(time.time())
        for attempt in range(1, ATTEMPTS + 1):
            headers = {
                "Host": "layer-1",
                "X-Request": identity,
                "Idempotency-Key": key,
                "Figpick-Attempt": str(attempt),
            }
            answer = await self._cluster.client.request(
                node, "GET", "/work", headers, timeout_s=CALLER_TIMEOUT_S
            )
            if answer.status == 200:
                self.good += 1
                return
            await asyncio.sleep(CALLER_PAUSE_S)


def highest_ratio(runs, offered):
    """Gives the highest ratio of executions to offered calls in any window.

    :param runs: sorted times of executions of one service.
    :param offered: sorted times of the calls offered to it.
    """
    if not runs or not offered:
        return 0.0
    highest, start = 0.0, offered[0]
    while start < offered[-1]:
        calls = _between(offered, start, start + WINDOW_S)
        if calls >= LEAST_OFFERED:
            count = _between(runs, start, start + WINDOW_S)
            highest = max(highest, count / calls)
        start += WINDOW_STEP_S
    return highest


def _between(times, start, end):
    return bisect_left(times, end) - bisect_left(times, start)


def judge(load, notes, depth):
    """Gives the most executions of a root and the highest ratio of a service."""
    runs, offered = {}, {"layer-1": sorted(load.sent_at)}
    per_root = Counter()
    for note in notes:
        if note.kind == "run":
            per_root[note.identity] += 1
            runs.setdefault(note.service, []).append(note.at)
        else:
            offered.setdefault(note.service, []).append(note.at)
    names = [f"layer-{level}" for level in range(1, depth + 1)]
    pairs = [(runs.get(name, []), offered.get(name, [])) for name in names]
    return {
        "executions": max(per_root.values()),
        "ratio": round(max(highest_ratio(*pair) for pair in pairs), 3),
        "good": round(load.good / len(load.sent_at), 3),
        "total": round(sum(per_root.values()) / len(load.sent_at) / depth, 3),
    }


async def measure(cluster, depth):
    """Runs one chain.

    :param cluster: :class:`~bench.cluster.Cluster` that is not started.
    """
    async with cluster:
        load = Load(cluster, depth)
        await load.run()
        return judge(load, cluster.read_journal(), depth)


def run(seeds):
    """Yields the rows; the seeds take turns with the depths."""
    for seed, depth in zip(seeds, (*DEPTHS, DEPTHS[0]), strict=False):
        base = asyncio.run(measure(ForwarderCluster(chain(depth)), depth))
        own = asyncio.run(measure(Cluster(chain(depth)), depth))
        bound = (1 + DEFAULT_RETRIES) * depth
        name = f"depth {depth}"
        yield Row(
            "retries",
            f"{name} executions per root",
            seed,
            base["executions"],
            own["executions"],
            bound,
            "executions",
        )
        yield Row(
            "retries",
            f"{name} executions to offered calls",
            seed,
            base["ratio"],
            own["ratio"],
            EXECUTION_RATIO,
            "ratio",
        )
        fields = ("good", "share"), ("total", "ratio")
        for field, unit in fields:
            case = f"{name} {field}"
            yield Row("retries", case, seed, base[field], own[field], None, unit)

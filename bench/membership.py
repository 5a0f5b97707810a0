"""Measures the time until every node knows of a crash, a leave and a join.

Nodes run as objects inside a few worker processes (see :mod:`bench.fleet`).
"""

import asyncio
import random
import time

from bench.cluster import Cluster
from bench.fleet import Fleet
from bench.rows import Row

SIZES = (10, 50, 100, 200)
SERVICES = ["parts"]
# Section 14 of the design page: other nodes detect a failed host within 1 to 6 s,
# and an upstream that is leaving receives no new work after a few seconds.
BOUNDS_S = {"crash": 6.0, "leave": 3.0, "join": 3.0}
STATES = {
    "crash": ("suspect", "failed"),
    "leave": ("left",),
    "join": ("cold", "ready"),
}
SETTLE_TIMEOUT_S = 10.0


def run(seeds):
    """Yields the rows for all sizes and seeds."""
    for size in SIZES:
        yield from asyncio.run(_measure(size, seeds))


async def _measure(size, seeds):
    rows = []
    async with (
        Cluster([]) as cluster,
        Fleet(size, SERVICES, cluster.controls) as fleet,
    ):
        await fleet.wait_for_members()
        for seed in seeds:
            rng = random.Random(seed)
            for case, change in CHANGES.items():
                await fleet.collect_events()
                started_at = time.time()
                name = await change(fleet, rng)
                times = await _detection_times(fleet, name, STATES[case], started_at)
                rows.extend(_rows(f"{size} nodes {case}", case, seed, times))
    return rows


async def _join(fleet, rng):
    return await fleet.add_node()


async def _crash(fleet, rng):
    return await _stop_random_node(fleet, rng, "crash")


async def _leave(fleet, rng):
    return await _stop_random_node(fleet, rng, "leave")


async def _stop_random_node(fleet, rng, action):
    name = rng.choice(fleet.names)
    fleet.names.remove(name)
    await fleet.send_command(name, action=action)
    return name


CHANGES = {"join": _join, "crash": _crash, "leave": _leave}


async def _detection_times(fleet, name, states, started_at):
    """Returns the seconds until each other node knows the new state of a node."""
    observers = set(fleet.names) - {name}
    times = {}
    deadline = time.monotonic() + SETTLE_TIMEOUT_S
    while len(times) < len(observers) and time.monotonic() < deadline:
        for at, observer, kind, subject, state in await fleet.collect_events():
            known = kind == "member" and subject == name and state in states
            if known and observer in observers:
                times.setdefault(observer, at - started_at)
        await asyncio.sleep(0.05)
    return [times.get(each, SETTLE_TIMEOUT_S) for each in observers]


def _rows(case, change, seed, times):
    times.sort()
    for name, figure in (("p50", times[len(times) // 2]), ("max", times[-1])):
        bound = BOUNDS_S[change] if name == "max" else None
        figure = round(figure, 3)
        yield Row("membership", f"{case} {name}", seed, None, figure, bound, "s")

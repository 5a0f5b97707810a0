"""Measures the time from the acceptance of a change until all nodes use it.

Nodes run as objects inside a few worker processes (see :mod:`bench.fleet`). The
control processes are separate processes.
"""

import asyncio
import random
import time

from bench.cluster import Cluster, wait_for
from bench.fleet import Fleet
from bench.rows import Row
from figpick.base._errors import PeerError

CONTROLS = 3
SIZES = (10, 50, 100, 200)
SERVICES = [f"service-{number}" for number in range(10)]
BURST_CHANGES = 50
STEADY_CHANGES = 8
STEADY_PERIOD_S = 0.1
MAX_PROPAGATION_S = 3.0
SETTLE_TIMEOUT_S = 8.0


def run(seeds):
    """Yields the rows for all sizes and seeds."""
    for size in SIZES:
        yield from asyncio.run(_measure(size, seeds))


async def _measure(size, seeds):
    rows = []
    async with Cluster([], controls=CONTROLS) as cluster:
        versions = dict.fromkeys(SERVICES, 0)
        for service in SERVICES:
            await _add_service(cluster, service, versions)
        async with Fleet(size, SERVICES, cluster.controls) as fleet:
            await fleet.wait_for_members()
            for seed in seeds:
                rng = random.Random(seed)
                for case, make_changes in (
                    ("steady", _change_steadily),
                    ("burst", _change_in_burst),
                ):
                    await fleet.collect_events()
                    accepted = await make_changes(cluster, versions, rng)
                    times = await _propagation_times(fleet, accepted)
                    rows.extend(_rows(f"{size} nodes {case}", seed, times))
    return rows


async def _change_steadily(cluster, versions, rng):
    accepted = []
    for _ in range(STEADY_CHANGES):
        accepted.append(await _change(cluster, rng.choice(SERVICES), versions))
        await asyncio.sleep(STEADY_PERIOD_S * rng.uniform(0.5, 1.5))
    return accepted


async def _change_in_burst(cluster, versions, rng):
    changes_per_service = BURST_CHANGES // len(SERVICES)

    async def change_service(service):
        return [
            await _change(cluster, service, versions)
            for _ in range(changes_per_service)
        ]

    services = rng.sample(SERVICES, len(SERVICES))
    changed = await asyncio.gather(*(change_service(name) for name in services))
    return [change for changes in changed for change in changes]


async def _change(cluster, service, versions):
    """Makes a change and returns its service, version and Unix time of acceptance."""
    document = {"service": service, "routes": []}
    base = versions[service]
    change = f"{service}-{base}-{time.time_ns()}"
    reply = await cluster.put(document, base, change=change)
    versions[service] = reply["version"]
    return service, reply["version"], time.time()


async def _add_service(cluster, service, versions):
    async def put():
        try:
            await _change(cluster, service, versions)
        except PeerError:
            return False
        return True

    await wait_for(put, 15.0)


async def _propagation_times(fleet, accepted):
    """Returns the seconds until each node uses each change.

    A node that adopts a later version of the document also uses the change.
    """
    events = []
    deadline = time.monotonic() + SETTLE_TIMEOUT_S
    while True:
        events.extend(await fleet.collect_events())
        times = _adoption_times(events, accepted, len(fleet.names))
        if None not in times or time.monotonic() > deadline:
            return [SETTLE_TIMEOUT_S if each is None else each for each in times]
        await asyncio.sleep(0.1)


def _adoption_times(events, accepted, node_count):
    """Returns the seconds until each node uses each change, ``None`` if it does not."""
    adopted = {}
    for at, observer, kind, service, version in events:
        if kind == "document":
            adopted.setdefault(service, {}).setdefault(observer, []).append(
                (version, at)
            )
    times = []
    for service, version, accepted_at in accepted:
        observers = adopted.get(service, {})
        for entries in observers.values():
            reached = [at for known, at in entries if known >= version]
            times.append(max(0.0, min(reached) - accepted_at) if reached else None)
        times.extend([None] * (node_count - len(observers)))
    return times


def _rows(case, seed, times):
    times.sort()
    figures = {
        "p50": times[len(times) // 2],
        "p99": times[int(len(times) * 0.99)],
        "max": times[-1],
    }
    for name, figure in figures.items():
        bound = MAX_PROPAGATION_S if name == "max" else None
        yield Row("config", f"{case} {name}", seed, None, round(figure, 3), bound, "s")

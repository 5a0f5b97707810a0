"""Sends requests that crash upstreams among harmless ones.

Callers send both again when they fail. The bench restarts the stand-ins.
"""

import asyncio
import random
import time

from bench.cluster import Cluster, ServiceSpec
from bench.forwarder import ForwarderCluster
from bench.rows import Row
from figpick.base._errors import PeerError

SERVICE = "jobs"
SERVERS = 4
SLOTS = 30
SERVICE_MS = 4
HARMLESS = 3350
BASELINE_HARMLESS = 600
CONCURRENT = 14
SENDS = 6
PAUSE_S = 0.1
POISONS = 4
BASELINE_POISONS = 1
POISON_SENDS = 8
POISON_PAUSE_S = 0.1
FIRST_POISON_S = 0.3
# Suspects of one crash have run again before the next poison arrives.
CALM_S = 0.7
RESTART_S = 0.2
WATCH_PERIOD_S = 0.02
SPREAD_BOUND_S = 1.0
SPREAD_LIMIT_S = 3.0
QUARANTINED = 422

DOCUMENT = {
    "service": SERVICE,
    "routes": [{"method": "GET", "path": "/*", "importance": 5, "idempotent": True}],
}


class Traffic:
    """Sends harmless and poison requests to random nodes.

    :param cluster: :class:`~bench.cluster.Cluster`.
    :param chance: source of random choices.
    """

    def __init__(self, cluster, chance):
        self._cluster = cluster
        self._chance = chance
        self._nodes = cluster.call_addresses(SERVICE)
        self._slots = asyncio.Semaphore(CONCURRENT)
        self.refused = 0
        self.completed = 0
        self.spread_at = {}

    async def send_harmless(self, count):
        """Sends harmless requests until all have ended."""
        await asyncio.gather(*(self._harmless(f"h{n}") for n in range(count)))

    async def send_poison(self, count):
        """Sends poison requests one after the other."""
        await asyncio.sleep(FIRST_POISON_S)
        for number in range(count):
            await self._poison(f"p{number}")
            await asyncio.sleep(CALM_S)

    async def keep_running(self):
        """Restarts stand-ins that have crashed, until cancelled."""
        names = [f"{host.name}-upstream" for host in self._cluster.hosts]
        while True:
            for name in names:
                if self._cluster.exit_code(name) is not None:
                    await asyncio.sleep(RESTART_S)
                    self._cluster.start(name)
            await asyncio.sleep(WATCH_PERIOD_S)

    async def _harmless(self, identity):
        async with self._slots:
            for number in range(SENDS):
                answer = await self._send(identity, {})
                self.refused += answer.status == QUARANTINED
                if answer.status == 200:
                    self.completed += 1
                    return
                await asyncio.sleep(PAUSE_S * (number + 1))

    async def _poison(self, identity):
        watch = asyncio.ensure_future(self._watch(identity))
        for _ in range(POISON_SENDS):
            answer = await self._send(identity, {"X-Standin-Crash": "yes"})
            if answer.status == QUARANTINED:
                break
            await asyncio.sleep(POISON_PAUSE_S)
        await asyncio.wait([watch], timeout=SPREAD_LIMIT_S)
        watch.cancel()

    async def _send(self, identity, headers):
        headers = {"Host": SERVICE, "X-Request": identity, **headers}
        node = self._chance.choice(self._nodes)
        path = f"/{identity}"
        return await self._cluster.client.request(node, "GET", path, headers)

    async def _watch(self, identity):
        """Notes when every node refuses a request."""
        request = f"{SERVICE} GET /{identity}"
        while not isinstance(self._cluster, ForwarderCluster):
            states = [self._knows(host, request) for host in self._cluster.hosts]
            known = await asyncio.gather(*states)
            if all(known):
                self.spread_at[identity] = time.time()
                return
            await asyncio.sleep(WATCH_PERIOD_S)

    async def _knows(self, host, request):
        try:
            state = await self._cluster.state(host.peer_address)
        except PeerError:
            return False
        entries = state["node"]["quarantine"]["entries"]
        return any(entry["request"] == request for entry in entries)


async def measure(cluster, seed, count, poisons):
    """Runs one seed.

    :param cluster: :class:`~bench.cluster.Cluster` that is not started.
    :param count: number of harmless requests.
    """
    async with cluster:
        traffic = Traffic(cluster, random.Random(seed))
        restarts = asyncio.ensure_future(traffic.keep_running())
        await asyncio.gather(traffic.send_harmless(count), traffic.send_poison(poisons))
        restarts.cancel()
        await asyncio.wait([restarts])
        return judge(traffic, cluster.read_journal(), count)


def judge(traffic, notes, count):
    """Gives the figures of one run."""
    crashes = {}
    for note in notes:
        if note.identity.startswith("p"):
            crashes.setdefault(note.identity, []).append(note.at)
    spreads = [
        traffic.spread_at.get(identity, at[0] + SPREAD_LIMIT_S)
        - at[min(1, len(at) - 1)]
        for identity, at in crashes.items()
    ]
    return {
        "refused": traffic.refused,
        "completed": round(traffic.completed / count, 4),
        "crashes": max(len(at) for at in crashes.values()),
        "spread": round(max(spreads), 3),
        "poisons": len(crashes),
        "harmless": count,
    }


def run(seeds):
    """Yields the rows of all seeds."""
    spec = ServiceSpec(
        DOCUMENT,
        [{"prefix": "/", "service_ms": SERVICE_MS}],
        SERVERS,
        SLOTS,
        journal=True,
    )
    for seed in seeds:
        base = asyncio.run(
            measure(ForwarderCluster([spec]), seed, BASELINE_HARMLESS, BASELINE_POISONS)
        )
        own = asyncio.run(measure(Cluster([spec]), seed, HARMLESS, POISONS))
        refused = own["refused"]
        yield Row("poison", "harmless refused", seed, None, refused, 0, "answers")
        spread = own["spread"]
        yield Row(
            "poison", "refused everywhere", seed, None, spread, SPREAD_BOUND_S, "s"
        )
        yield Row(
            "poison",
            "harmless",
            seed,
            None,
            own["harmless"],
            HARMLESS,
            "requests",
            False,
        )
        for field in ("crashes", "poisons", "completed"):
            yield Row("poison", field, seed, base[field], own[field], None, field)

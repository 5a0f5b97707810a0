"""Sends requests that crash upstreams together with harmless ones.

Callers retry both kinds when they fail. The experiment restarts crashed stand-ins.
"""

import asyncio
import random
import time

from bench.cluster import Cluster, ServiceSpec
from bench.forwarder import ForwarderCluster
from bench.rows import Row
from figpick.base._errors import PeerError

SERVICE = "jobs"
UPSTREAM_COUNT = 4
SLOTS = 30
SERVICE_MS = 4
HARMLESS_COUNT = 3350
BASELINE_HARMLESS_COUNT = 600
MAX_CONCURRENT_REQUESTS = 14
MAX_ATTEMPTS = 6
RETRY_PAUSE_S = 0.1
POISON_COUNT = 4
BASELINE_POISON_COUNT = 1
MAX_POISON_ATTEMPTS = 8
POISON_RETRY_PAUSE_S = 0.1
FIRST_POISON_DELAY_S = 0.3
# Long enough for the suspects of a crash to run again before the next poison request.
POISON_INTERVAL_S = 0.7
RESTART_DELAY_S = 0.2
POLL_INTERVAL_S = 0.02
MAX_SPREAD_S = 1.0
SPREAD_TIMEOUT_S = 3.0
QUARANTINED_STATUS = 422

DOCUMENT = {
    "service": SERVICE,
    "routes": [{"method": "GET", "path": "/*", "importance": 5, "idempotent": True}],
}


class Traffic:
    """Sends harmless and poison requests to random nodes.

    :param cluster: :class:`~bench.cluster.Cluster`.
    :param rng: :class:`random.Random`.
    """

    def __init__(self, cluster, rng):
        self._cluster = cluster
        self._rng = rng
        self._nodes = cluster.call_addresses(SERVICE)
        self._slots = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)
        self.refused = 0
        self.completed = 0
        self.quarantined_everywhere_at = {}

    async def send_harmless(self, count):
        """Sends harmless requests and waits until all have ended."""
        await asyncio.gather(
            *(self._send_until_completed(f"h{n}") for n in range(count))
        )

    async def send_poison(self, count):
        """Sends poison requests one after another."""
        await asyncio.sleep(FIRST_POISON_DELAY_S)
        for number in range(count):
            await self._send_until_quarantined(f"p{number}")
            await asyncio.sleep(POISON_INTERVAL_S)

    async def restart_crashed(self):
        """Restarts stand-ins that have crashed, until cancelled."""
        names = [f"{host.name}-upstream" for host in self._cluster.hosts]
        while True:
            for name in names:
                if self._cluster.exit_code(name) is not None:
                    await asyncio.sleep(RESTART_DELAY_S)
                    self._cluster.start(name)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _send_until_completed(self, request_id):
        async with self._slots:
            for number in range(MAX_ATTEMPTS):
                response = await self._send(request_id, {})
                self.refused += response.status == QUARANTINED_STATUS
                if response.status == 200:
                    self.completed += 1
                    return
                await asyncio.sleep(RETRY_PAUSE_S * (number + 1))

    async def _send_until_quarantined(self, request_id):
        watch_task = asyncio.ensure_future(self._wait_until_quarantined(request_id))
        for _ in range(MAX_POISON_ATTEMPTS):
            response = await self._send(request_id, {"X-Standin-Crash": "yes"})
            if response.status == QUARANTINED_STATUS:
                break
            await asyncio.sleep(POISON_RETRY_PAUSE_S)
        await asyncio.wait([watch_task], timeout=SPREAD_TIMEOUT_S)
        watch_task.cancel()

    async def _send(self, request_id, headers):
        headers = {"Host": SERVICE, "X-Request": request_id, **headers}
        node = self._rng.choice(self._nodes)
        path = f"/{request_id}"
        return await self._cluster.client.request(node, "GET", path, headers)

    async def _wait_until_quarantined(self, request_id):
        """Records the time at which every node has quarantined a request."""
        request = f"{SERVICE} GET /{request_id}"
        while not isinstance(self._cluster, ForwarderCluster):
            states = [
                self._is_quarantined_at(host, request) for host in self._cluster.hosts
            ]
            quarantined = await asyncio.gather(*states)
            if all(quarantined):
                self.quarantined_everywhere_at[request_id] = time.time()
                return
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _is_quarantined_at(self, host, request):
        try:
            state = await self._cluster.state(host.peer_address)
        except PeerError:
            return False
        entries = state["node"]["quarantine"]["entries"]
        return any(entry["request"] == request for entry in entries)


async def measure(cluster, seed, count, poison_count):
    """Measures one seed.

    :param cluster: :class:`~bench.cluster.Cluster` that is not started.
    :param count: number of harmless requests.
    :param poison_count: number of poison requests.
    """
    async with cluster:
        traffic = Traffic(cluster, random.Random(seed))
        restart_task = asyncio.ensure_future(traffic.restart_crashed())
        await asyncio.gather(
            traffic.send_harmless(count), traffic.send_poison(poison_count)
        )
        restart_task.cancel()
        await asyncio.wait([restart_task])
        return summarize(traffic, cluster.read_journal(), count)


def summarize(traffic, journal_entries, count):
    """Returns the figures of one run."""
    crashes = {}
    for journal_entry in journal_entries:
        if journal_entry.request_id.startswith("p"):
            crashes.setdefault(journal_entry.request_id, []).append(journal_entry.at)
    spread_times_s = [
        traffic.quarantined_everywhere_at.get(
            request_id, execution_times[0] + SPREAD_TIMEOUT_S
        )
        - execution_times[min(1, len(execution_times) - 1)]
        for request_id, execution_times in crashes.items()
    ]
    return {
        "refused": traffic.refused,
        "completed": round(traffic.completed / count, 4),
        "crashes": max(len(execution_times) for execution_times in crashes.values()),
        "spread": round(max(spread_times_s), 3),
        "poisons": len(crashes),
        "harmless": count,
    }


def run(seeds):
    """Measures refused harmless requests and the spread of quarantine entries.

    :return: iterable of :class:`Row`.
    """
    spec = ServiceSpec(
        DOCUMENT,
        [{"prefix": "/", "service_ms": SERVICE_MS}],
        UPSTREAM_COUNT,
        SLOTS,
        journal=True,
    )
    for seed in seeds:
        baseline = asyncio.run(
            measure(
                ForwarderCluster([spec]),
                seed,
                BASELINE_HARMLESS_COUNT,
                BASELINE_POISON_COUNT,
            )
        )
        measured = asyncio.run(
            measure(Cluster([spec]), seed, HARMLESS_COUNT, POISON_COUNT)
        )
        refused = measured["refused"]
        yield Row("poison", "harmless refused", seed, None, refused, 0, "answers")
        spread = measured["spread"]
        yield Row("poison", "refused everywhere", seed, None, spread, MAX_SPREAD_S, "s")
        yield Row(
            "poison",
            "harmless",
            seed,
            None,
            measured["harmless"],
            HARMLESS_COUNT,
            "requests",
            False,
        )
        for field in ("crashes", "poisons", "completed"):
            yield Row(
                "poison", field, seed, baseline[field], measured[field], None, field
            )

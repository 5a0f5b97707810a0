"""Randomised soak test that injects faults into real processes and checks guarantees.

``python -m bench.soak SEED SECONDS [network]`` starts control processes and nodes
with ``platform/run.py`` as separate processes on loopback addresses; stand-in upstreams
and callers run in this process. The seed determines the whole schedule of faults, which
is printed first: nodes and control processes are killed, paused, stopped and restarted,
upstreams reset their connections or crash and restart, and the configuration changes.
Faults may overlap. With ``network``, loopback proxies in front of the nodes and of the
upstreams also delay, reset and silence connections, in one or both directions.
What callers and upstreams observe is checked against the guarantees; the exit code is 1
when one is violated.
"""

import asyncio
import json
import os
import random
import shutil
import sys
import tempfile
import time
from pathlib import Path
from typing import NamedTuple

from bench.soak_checks import SoakChecker
from bench.soak_cluster import NETWORK_COUNT, Cluster
from bench.soak_documents import make_document
from bench.soak_endpoints import Caller, StandIn, send_request
from bench.soak_proxy import Proxy, draw_network_faults
from bench.soak_stops import StopSoak

CONTROL_COUNT = 3
SERVICES = ("front", "front", "deep", "deep")
STARTUP_TIMEOUT_S = 8.0
MEAN_FAULT_INTERVAL_S = 0.7
CALL_INTERVAL_S = 0.02
CHANGE_INTERVAL_S = 1.5
# Longer than the time that the platform allows until service is normal again after the
# last fault.
RECOVERY_TIMEOUT_S = 15.0


class Fault(NamedTuple):
    """Fault in the schedule of a run.

    :param at_s: start, in seconds from the start of traffic.
    :param kind: ``kill``, ``pause``, ``stop``, ``reset`` or ``crash``.
    :param target: index of the process or upstream.
    :param for_s: duration in seconds.
    """

    at_s: float
    kind: str
    target: int
    for_s: float


def draw_schedule(seed, seconds):
    """Returns the random faults of a run, in order of their start.

    At most one control process is down or paused at a time, so that two of the three
    remain as a quorum; faults of nodes and upstreams may coincide.

    :param seconds: duration of traffic in seconds.
    """
    rng = random.Random(seed)
    faults = []
    next_control_fault_at = 0.0
    at_s = 1.0
    while at_s < seconds:
        kind = rng.choice(("kill", "pause", "stop", "reset", "crash"))
        for_s = round(rng.uniform(0.3, 2.5), 2)
        count = CONTROL_COUNT + len(SERVICES)
        target = rng.randrange(count)
        if kind in ("reset", "crash"):
            target = rng.randrange(len(SERVICES))
        elif target < CONTROL_COUNT:
            if at_s < next_control_fault_at:
                target = CONTROL_COUNT + rng.randrange(len(SERVICES))
            else:
                next_control_fault_at = at_s + for_s + 4.0
        faults.append(Fault(round(at_s, 2), kind, target, for_s))
        at_s += rng.expovariate(1 / MEAN_FAULT_INTERVAL_S)
    return faults


class Soak:
    """One run of the soak test.

    :param seed: seed of the schedule and the requests.
    :param seconds: duration of traffic with faults, in seconds.
    :param folder: folder for settings, logs and data.
    :param has_network_faults: whether proxies inject faults into the connections of
        callers and upstreams.
    """

    def __init__(self, seed, seconds, folder, has_network_faults=False):
        self._rng = random.Random(seed + 1)
        self._seconds = seconds
        self._cluster = Cluster(folder, CONTROL_COUNT, SERVICES)
        self._faults = draw_schedule(seed, seconds)
        self.checker = SoakChecker()
        self._processes = []
        self._upstreams = []
        self._proxies = []
        self._network_faults = []
        if has_network_faults:
            count = 2 * len(SERVICES)
            self._network_faults = draw_network_faults(seed, seconds, count)
        self._version = 0
        self._pending_document = None

    async def run(self):
        """Runs the schedule; :attr:`checker` then holds the observations."""
        for fault in (*self._faults, *self._network_faults):
            print(json.dumps(fault._asdict()), flush=True)
        try:
            if await self._start():
                await self._run_traffic()
        finally:
            for process in self._processes:
                await process.close()
            for endpoint in (*self._proxies, *self._upstreams):
                endpoint.stop()

    def list_violations(self):
        """Returns descriptions of the violated guarantees."""
        return self.checker.list_violations()

    def summary(self):
        """Returns the figures of the run."""
        return self.checker.summary()

    async def _start(self):
        """Starts all processes and returns whether they accept a configuration."""
        for number in range(self._cluster.count):
            process = self._cluster.make_process(number, self.checker)
            self._processes.append(process)
        for number in self._cluster.node_numbers:
            await self._start_upstream(number)
        await asyncio.gather(*(process.start() for process in self._processes))
        try:
            async with asyncio.timeout(STARTUP_TIMEOUT_S):
                while not await self._put_configuration():
                    await asyncio.sleep(0.1)
        except TimeoutError:
            self.checker.record_failed_start(STARTUP_TIMEOUT_S)
            return False
        await asyncio.sleep(2.0)
        return True

    async def _start_upstream(self, number):
        announced_address = self._cluster.address(number, "app")
        upstream_address = announced_address
        if self._network_faults:
            upstream_address = self._cluster.address(number, "app", NETWORK_COUNT)
            node_address = self._cluster.address(number, "outbound")
            node_proxy = Proxy(self._call_address(number), node_address)
            for proxy in (node_proxy, Proxy(announced_address, upstream_address)):
                await proxy.start()
                self._proxies.append(proxy)
        upstream = StandIn(
            self._cluster.service(number),
            upstream_address,
            announced_address,
            self._cluster.address(number, "control"),
            self.checker,
        )
        await upstream.start()
        self._upstreams.append(upstream)

    def _call_address(self, number):
        """Returns the address at which callers reach a node."""
        offset = NETWORK_COUNT if self._network_faults else 0
        return self._cluster.address(number, "outbound", offset)

    async def _run_traffic(self):
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        tasks = [
            asyncio.ensure_future(self._apply_fault(fault)) for fault in self._faults
        ]
        tasks += [
            asyncio.ensure_future(self._apply_network_fault(fault))
            for fault in self._network_faults
        ]
        tasks.append(asyncio.ensure_future(self._change_periodically(started_at)))
        callers = []
        number = 0
        while loop.time() - started_at < self._seconds:
            callers.append(asyncio.ensure_future(self._make_call(number)))
            number += 1
            await asyncio.sleep(CALL_INTERVAL_S)
        await asyncio.gather(*tasks)
        await asyncio.gather(*callers)
        await self._check_recovery()

    async def _apply_fault(self, fault):
        await asyncio.sleep(fault.at_s)
        if fault.kind == "reset":
            self._upstreams[fault.target].reset()
        elif fault.kind == "crash":
            await self._upstreams[fault.target].crash(fault.for_s)
        else:
            await self._processes[fault.target].apply_fault(fault)

    async def _apply_network_fault(self, fault):
        await asyncio.sleep(fault.at_s)
        await self._proxies[fault.target].apply_fault(fault)

    async def _make_call(self, number):
        host = CONTROL_COUNT + self._rng.randrange(len(SERVICES))
        caller = Caller(self._call_address(host), self.checker)
        is_non_idempotent = self._rng.random() < 0.4
        service = self._rng.choice(("front", "deep"))
        await caller.call(f"a{number}", service, is_non_idempotent)

    async def _change_periodically(self, started_at):
        loop = asyncio.get_running_loop()
        while loop.time() - started_at < self._seconds:
            await asyncio.sleep(CHANGE_INTERVAL_S)
            await self._put_configuration()

    async def _put_configuration(self):
        """Sends the next version, or retries the last one until it is acknowledged.

        :return: whether the version was acknowledged.
        """
        if self._pending_document is None:
            version = self._version
            self._pending_document = make_document(version + 1, version)
        number = self._rng.randrange(CONTROL_COUNT)
        status, _ = await send_request(
            "PUT",
            self._cluster.address(number, "control"),
            "/config",
            self._pending_document,
            2.0,
        )
        if status != 200:
            self.checker.record_rejected_change(
                status, self._pending_document["version"]
            )
            return False
        self._version = int(self._pending_document["version"][1:])
        self.checker.record_acknowledged_version(self._version)
        self._pending_document = None
        return True

    async def _check_recovery(self):
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        consecutive_successes = 0
        number = 0
        while (
            consecutive_successes < 20 and loop.time() - started_at < RECOVERY_TIMEOUT_S
        ):
            host = CONTROL_COUNT + number % len(SERVICES)
            caller = Caller(self._call_address(host), self.checker)
            status = await caller.call(f"r{number}", "deep", False)
            consecutive_successes = consecutive_successes + 1 if status == 200 else 0
            number += 1
            await asyncio.sleep(0.05)
        self.checker.record_recovery(
            consecutive_successes >= 20, loop.time() - started_at
        )
        for number in range(CONTROL_COUNT):
            status, body = await send_request(
                "GET", self._cluster.address(number, "control"), "/config", None, 2.0
            )
            if status == 200:
                version = int(json.loads(body)["version"][1:])
                self.checker.record_read_version(version)


def main(seed, seconds, options):
    """Runs the soak test with one seed and prints its verdict.

    :param options: words of the command line after the duration.
    :return: exit code.
    """
    started_at = time.time()
    with tempfile.TemporaryDirectory(prefix="soak-") as name:
        if "stops" in options:
            soak = StopSoak(seed, seconds, Path(name), "large" in options)
        else:
            soak = Soak(seed, seconds, Path(name), "network" in options)
        asyncio.run(soak.run())
        broken = soak.list_violations()
        if broken and (keep_folder := os.environ.get("SOAK_KEEP")):
            shutil.copytree(name, f"{keep_folder}/seed-{seed}", dirs_exist_ok=True)
    verdict = {"seed": seed, "seconds": round(time.time() - started_at, 1)}
    print(json.dumps({**verdict, **soak.summary(), "broken": broken}))
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1]), float(sys.argv[2]), sys.argv[3:]))

"""A randomised soak: real processes, faults from outside, promises checked meanwhile.

``python -m bench.soak SEED SECONDS [network]`` starts control processes and nodes
of the platform's folder as separate processes on loopback, with stand-in upstreams and
clients in this one. One seed draws the whole schedule, which is printed first: nodes
and control processes are killed, paused, stopped and started again, upstreams reset
their connections or crash and come back, and the configuration changes; faults overlap.
With ``network``, loopback proxies before the nodes and before the upstreams delay,
reset, cut one way and silence connections as well.
What callers and upstreams see is checked against the promises; the exit code is 1 when
one is broken.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import sys
import tempfile
import time
from pathlib import Path
from typing import NamedTuple

from bench.soak_checks import Checks
from bench.soak_endpoints import Caller, StandIn, fetch, free_ports
from bench.soak_proxy import Proxy, draw_network_faults

ROOT = Path(__file__).parents[1]
CONTROLS = 3
SERVICES = ("front", "front", "deep", "deep")
SETTLE_S = 8.0
# Loopback networks 127.1 to 127.100 for processes, the next hundred behind proxies.
NETWORKS = 100
FAULT_GAP_S = 0.7
CALL_GAP_S = 0.02
CHANGE_GAP_S = 1.5
# A process that was told to end is killed after its grace time of 6 s and a margin.
EXIT_LIMIT_S = 8.0
# Longer than the bound of the platform for service after the last fault.
RECOVERY_S = 15.0
COLUMNS = ["name", "host", "pathPrefix", "routeType", "timeoutS", "targetLatencyS"]
COLUMNS += ["priority", "trafficSplit", "attempts", "service"]


class Fault(NamedTuple):
    """One entry of the schedule.

    :param at_s: seconds from the start of traffic.
    :param kind: ``kill``, ``pause``, ``stop``, ``reset`` or ``crash``.
    :param target: number of the process or upstream.
    :param for_s: seconds until it is undone.
    """

    at_s: float
    kind: str
    target: int
    for_s: float


def draw_schedule(seed, seconds):
    """Draws the faults of a run.

    At most one control process is down or paused at a time, so that a quorum of three
    stays; nodes and upstreams may be hurt together.
    """
    source = random.Random(seed)
    faults = []
    control_free_at = 0.0
    at_s = 1.0
    while at_s < seconds:
        kind = source.choice(("kill", "pause", "stop", "reset", "crash"))
        for_s = round(source.uniform(0.3, 2.5), 2)
        count = CONTROLS + len(SERVICES)
        target = source.randrange(count)
        if kind in ("reset", "crash"):
            target = source.randrange(len(SERVICES))
        elif target < CONTROLS:
            if at_s < control_free_at:
                target = CONTROLS + source.randrange(len(SERVICES))
            else:
                control_free_at = at_s + for_s + 4.0
        faults.append(Fault(round(at_s, 2), kind, target, for_s))
        at_s += source.expovariate(1 / FAULT_GAP_S)
    return faults


class Program:
    """One process of figpick that can be ended and started again.

    :param name: unique name.
    :param role: ``control`` or ``node``.
    :param settings: text of its settings file.
    :param checks: :class:`~bench.soak_checks.Checks`.
    """

    def __init__(self, folder, name, role, settings, checks):
        self.name = name
        self._role = role
        self._path = folder / f"{name}.toml"
        self._path.write_text(settings)
        self._log = (folder / f"{name}.log").open("ab")
        self._checks = checks
        # Faults that keep it down; the last one to pass starts it again.
        self._holds = 0
        self.process = None

    async def start(self):
        """Starts the process; it writes its log beside its settings."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(ROOT / "platform" / "run.py"),
            self._role,
            env={**os.environ, "FIGPICK_BOOT": str(self._path)},
            stdout=self._log,
            stderr=self._log,
        )

    async def hurt(self, fault):
        """Applies a fault and undoes it; faults may overlap."""
        if self.process.returncode is not None and not self._holds:
            self._checks.ended(self.name, self.process.returncode)
        if fault.kind == "pause":
            self._signal(signal.SIGSTOP)
            await asyncio.sleep(fault.for_s)
            self._signal(signal.SIGCONT)
            return
        self._holds += 1
        self._signal(signal.SIGTERM if fault.kind == "stop" else signal.SIGKILL)
        try:
            async with asyncio.timeout(EXIT_LIMIT_S):
                await self.process.wait()
        except TimeoutError:
            self._signal(signal.SIGKILL)
            await self.process.wait()
        await asyncio.sleep(fault.for_s)
        self._holds -= 1
        if not self._holds:
            await self.start()

    def _signal(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self):
        """Ends the process for good."""
        if self.process.returncode is None:
            self._signal(signal.SIGCONT)
            self._signal(signal.SIGKILL)
            await self.process.wait()
        else:
            self._checks.ended(self.name, self.process.returncode)
        self._log.close()


class Soak:
    """One run.

    :param seed: draws the schedule and the requests.
    :param seconds: time of traffic with faults.
    :param folder: folder for settings, logs and data.
    :param hurts_network: whether proxies hurt the connections of callers and upstreams.
    """

    def __init__(self, seed, seconds, folder, hurts_network=False):
        self._source = random.Random(seed + 1)
        # Runs at the same time share no addresses: the metrics port is a fixed one.
        self._network = 1 + os.getpid() % NETWORKS
        self._seconds = seconds
        self._folder = folder
        self._faults = draw_schedule(seed, seconds)
        self.checks = Checks()
        names = ("app", "link", "outbound", "ready", "control")
        self._ports = dict(zip(names, free_ports(len(names)), strict=True))
        self._programs = []
        self._upstreams = []
        self._proxies = []
        self._network_faults = []
        if hurts_network:
            count = 2 * len(SERVICES)
            self._network_faults = draw_network_faults(seed, seconds, count)
        self._version = 0
        self._document = None

    async def run(self):
        """Plays the schedule; :attr:`checks` then holds what was seen."""
        for fault in (*self._faults, *self._network_faults):
            print(json.dumps(fault._asdict()), flush=True)
        try:
            if await self._start():
                await self._traffic()
        finally:
            for program in self._programs:
                await program.end()
            for part in (*self._proxies, *self._upstreams):
                part.stop()

    async def _start(self):
        """Starts all processes; tells whether they take a configuration."""
        for number in range(CONTROLS + len(SERVICES)):
            is_control = number < CONTROLS
            role = "control" if is_control else "node"
            service = "" if is_control else SERVICES[number - CONTROLS]
            name = f"{role}-{number}"
            ip = self._ip(number)
            text = self._settings(name, role, ip, service)
            self._programs.append(Program(self._folder, name, role, text, self.checks))
            if not is_control:
                await self._start_upstream(number, ip, service)
        await asyncio.gather(*(program.start() for program in self._programs))
        try:
            async with asyncio.timeout(SETTLE_S):
                while not await self._change():
                    await asyncio.sleep(0.1)
        except TimeoutError:
            self.checks.never_started(SETTLE_S)
            return False
        await asyncio.sleep(2.0)
        return True

    async def _start_upstream(self, number, ip, service):
        app = (ip, self._ports["app"])
        real = app
        if self._network_faults:
            real = (self._ip(number, NETWORKS), self._ports["app"])
            entry = (ip, self._ports["outbound"])
            before_node = Proxy(self._entry(number), entry)
            for proxy in (before_node, Proxy(app, real)):
                await proxy.start()
                self._proxies.append(proxy)
        control = (ip, self._ports["control"])
        upstream = StandIn(service, real, app, control, self.checks)
        await upstream.start()
        self._upstreams.append(upstream)

    def _entry(self, number):
        """Address at which callers reach a node."""
        offset = NETWORKS if self._network_faults else 0
        return (self._ip(number, offset), self._ports["outbound"])

    def _ip(self, number, offset=0):
        return f"127.{self._network + offset}.{number}.1"

    def _settings(self, name, role, ip, service):
        seeds = [
            f'"{self._ip(each)}:{self._ports["control"]}"' for each in range(CONTROLS)
        ]
        listen = {key: f"{ip}:{self._ports[key]}" for key in ("ready", "control")}
        lines = [
            "[self]",
            f'nodeName = "{name}"',
            f'role = "{role}"',
            f'ip = "{ip}"',
            'zone = "z"',
            'region = "r"',
            f'service = "{service}"',
            f'appAddr = "{ip}:{self._ports["app"]}"',
            "bootstrap = true",
            f'dataDir = "{self._folder / name}"',
            "[network]",
            f"portRange = [{self._ports['link']}, {self._ports['link']}]",
            f"seeds = [{', '.join(seeds)}]",
            "[network.listen]",
            f'outbound = "{ip}:{self._ports["outbound"]}"',
            *(f'{key} = "{value}"' for key, value in listen.items()),
            "[terms.bounds]",
            "retryBudgetRatio = 0.2",
            "retryWindowS = 10",
            "graceS = 6",
        ]
        return "\n".join(lines) + "\n"

    async def _traffic(self):
        loop = asyncio.get_running_loop()
        began = loop.time()
        tasks = [asyncio.ensure_future(self._hurt(fault)) for fault in self._faults]
        tasks += [
            asyncio.ensure_future(self._hurt_network(fault))
            for fault in self._network_faults
        ]
        tasks.append(asyncio.ensure_future(self._change_often(began)))
        callers = []
        number = 0
        while loop.time() - began < self._seconds:
            callers.append(asyncio.ensure_future(self._call(number)))
            number += 1
            await asyncio.sleep(CALL_GAP_S)
        await asyncio.gather(*tasks)
        await asyncio.gather(*callers)
        await self._recover()

    async def _hurt(self, fault):
        await asyncio.sleep(fault.at_s)
        if fault.kind == "reset":
            self._upstreams[fault.target].reset()
        elif fault.kind == "crash":
            await self._upstreams[fault.target].crash(fault.for_s)
        else:
            await self._programs[fault.target].hurt(fault)

    async def _hurt_network(self, fault):
        await asyncio.sleep(fault.at_s)
        await self._proxies[fault.target].hurt(fault)

    async def _call(self, number):
        host = CONTROLS + self._source.randrange(len(SERVICES))
        caller = Caller(self._entry(host), self.checks)
        once = self._source.random() < 0.4
        service = self._source.choice(("front", "deep"))
        await caller.call(f"a{number}", service, once)

    async def _change_often(self, began):
        loop = asyncio.get_running_loop()
        while loop.time() - began < self._seconds:
            await asyncio.sleep(CHANGE_GAP_S)
            await self._change()

    async def _change(self):
        """Sends the next version, or the last one again while its answer is unknown."""
        if self._document is None:
            self._document = self._next_document()
        number = self._source.randrange(CONTROLS)
        status, _ = await fetch(
            "PUT", self._control(number), "/config", self._document, 2.0
        )
        if status != 200:
            self.checks.refused_change(status, self._document["version"])
            return False
        self._version = int(self._document["version"][1:])
        self.checks.acknowledged(self._version)
        self._document = None
        return True

    def _next_document(self):
        rows = []
        for service in sorted(set(SERVICES)):
            for kind, path in (("idempotent", "get"), ("non_idempotent", "once")):
                prefix = f"/{service}/{path}/"
                name = f"{service}-{path}"
                rows.append([name, "soak", prefix, kind, 3, 1, 1, None, 2, service])
        names = sorted(set(SERVICES))
        return {
            "version": f"r{self._version + 1}",
            "baseVersion": f"r{self._version}" if self._version else 0,
            "routes": {"columns": COLUMNS, "rows": rows},
            "services": {
                "columns": ["name", "healthPath"],
                "rows": [[name, "/health"] for name in names],
            },
            "limits": {},
        }

    def _control(self, number):
        return (self._ip(number), self._ports["control"])

    async def _recover(self):
        loop = asyncio.get_running_loop()
        began = loop.time()
        streak = 0
        number = 0
        while streak < 20 and loop.time() - began < RECOVERY_S:
            host = CONTROLS + number % len(SERVICES)
            caller = Caller(self._entry(host), self.checks)
            status = await caller.call(f"r{number}", "deep", False)
            streak = streak + 1 if status == 200 else 0
            number += 1
            await asyncio.sleep(0.05)
        self.checks.recovered(streak >= 20, loop.time() - began)
        for number in range(CONTROLS):
            status, body = await fetch(
                "GET", self._control(number), "/config", None, 2.0
            )
            if status == 200:
                version = int(json.loads(body)["version"][1:])
                self.checks.read_back(version)


def main(seed, seconds, hurts_network):
    """Runs one seed and prints its verdict.

    :return: exit code.
    """
    began = time.time()
    with tempfile.TemporaryDirectory(prefix="soak-") as name:
        soak = Soak(seed, seconds, Path(name), hurts_network)
        asyncio.run(soak.run())
        broken = soak.checks.broken()
        if broken and (kept := os.environ.get("SOAK_KEEP")):
            shutil.copytree(name, f"{kept}/seed-{seed}", dirs_exist_ok=True)
    verdict = {"seed": seed, "seconds": round(time.time() - began, 1)}
    print(json.dumps({**verdict, **soak.checks.summary(), "broken": broken}))
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1]), float(sys.argv[2]), "network" in sys.argv[3:]))

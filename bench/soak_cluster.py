"""Processes of figpick on loopback addresses that a soak test signals and restarts."""

import asyncio
import os
import signal
import sys
from pathlib import Path

from bench.soak_endpoints import free_ports

ROOT = Path(__file__).parents[1]
# Processes use the loopback networks 127.1 to 127.100. With network faults, the
# proxies in front of nodes and the upstreams behind proxies use the next hundred.
NETWORK_COUNT = 100
GRACE_S = 6.0
# A process that does not exit after SIGTERM is killed after its grace time and a
# margin.
EXIT_TIMEOUT_S = 8.0
PORT_NAMES = ("app", "link", "outbound", "ready", "control")


class Cluster:
    """Addresses and settings of the processes of one run.

    Control processes have the numbers from 0, nodes follow.

    :param folder: folder for settings, logs and data.
    :param control_count: number of control processes.
    :param services: service of each node.
    """

    def __init__(self, folder, control_count, services):
        # The metrics port is fixed, so concurrent runs need networks of their own.
        self._network = 1 + os.getpid() % NETWORK_COUNT
        self._folder = folder
        self.control_count = control_count
        self.services = services
        ports = free_ports(len(PORT_NAMES))
        self._ports = dict(zip(PORT_NAMES, ports, strict=True))

    @property
    def count(self):
        """Number of processes."""
        return self.control_count + len(self.services)

    @property
    def node_numbers(self):
        """Numbers of the nodes."""
        return range(self.control_count, self.count)

    def ip(self, number, offset=0):
        """Returns the IP address of a process.

        :param offset: distance of the loopback network from that of the processes.
        """
        return f"127.{self._network + offset}.{number}.1"

    def address(self, number, port_name, offset=0):
        """Returns a tuple of IP address and port of a process."""
        return (self.ip(number, offset), self._ports[port_name])

    def service(self, number):
        """Returns the service of a node, an empty string for a control process."""
        if number < self.control_count:
            return ""
        return self.services[number - self.control_count]

    def make_process(self, number, checker, process_class=None, *arguments):
        """Returns a process that is not started yet.

        :param process_class: subclass of :class:`ManagedProcess`.
        :param arguments: first arguments of the subclass.
        """
        role = "control" if number < self.control_count else "node"
        name = f"{role}-{number}"
        settings = self._settings(name, role, number)
        process_class = process_class or ManagedProcess
        return process_class(*arguments, self._folder, name, role, settings, checker)

    def _settings(self, name, role, number):
        ip = self.ip(number)
        seeds = [
            f'"{self.ip(control)}:{self._ports["control"]}"'
            for control in range(self.control_count)
        ]
        listen = {key: f"{ip}:{self._ports[key]}" for key in ("ready", "control")}
        lines = [
            "[self]",
            f'nodeName = "{name}"',
            f'role = "{role}"',
            f'ip = "{ip}"',
            'zone = "z"',
            'region = "r"',
            f'service = "{self.service(number)}"',
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
            f"graceS = {GRACE_S:.0f}",
        ]
        return "\n".join(lines) + "\n"


class ManagedProcess:
    """Process of figpick that faults can pause, stop, kill and restart.

    :param folder: folder for the settings file and the log.
    :param name: unique name.
    :param role: ``control`` or ``node``.
    :param settings: content of the settings file.
    :param checker: :class:`~bench.soak_checks.SoakChecker`.
    """

    def __init__(self, folder, name, role, settings, checker):
        self.name = name
        self._role = role
        self._path = folder / f"{name}.toml"
        self._path.write_text(settings)
        self._log = (folder / f"{name}.log").open("ab")
        self._checker = checker
        # Number of faults that keep the process down; the last one restarts it.
        self._active_outages = 0
        self.process = None

    async def start(self):
        """Starts the process; its log is stored next to its settings file."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(ROOT / "platform" / "run.py"),
            self._role,
            env={**os.environ, "FIGPICK_BOOT": str(self._path)},
            stdout=self._log,
            stderr=self._log,
        )

    async def apply_fault(self, fault):
        """Applies a fault and reverts it after its duration; faults may overlap."""
        if self.process.returncode is not None and not self._active_outages:
            self._checker.record_unexpected_exit(self.name, self.process.returncode)
        if fault.kind == "pause":
            self._signal(signal.SIGSTOP)
            await asyncio.sleep(fault.for_s)
            self._signal(signal.SIGCONT)
            return
        self._active_outages += 1
        self._signal(signal.SIGTERM if fault.kind == "stop" else signal.SIGKILL)
        try:
            async with asyncio.timeout(EXIT_TIMEOUT_S):
                await self.process.wait()
        except TimeoutError:
            self._signal(signal.SIGKILL)
            await self.process.wait()
        await asyncio.sleep(fault.for_s)
        self._active_outages -= 1
        if not self._active_outages:
            await self.start()

    def _signal(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def close(self):
        """Kills the process and closes its log."""
        if self.process.returncode is None:
            self._signal(signal.SIGCONT)
            self._signal(signal.SIGKILL)
            await self.process.wait()
        else:
            self._checker.record_unexpected_exit(self.name, self.process.returncode)
        self._log.close()

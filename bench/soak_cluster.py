"""Processes of figpick on loopback addresses that a soak test signals and restarts."""

import asyncio
import os
import signal
import socket
import sys
from collections import Counter
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
# Bound by the run that uses a network.
CLAIM_PORT = 39000
PORT_NAMES = ("app", "link", "outbound", "ready", "control")


def _claim_network():
    """Returns the number of a loopback network, and the socket that reserves it.

    The metrics port is fixed, so concurrent runs need networks of their own.

    :raises OSError: when all networks are in use.
    """
    claim = socket.socket()
    for offset in range(NETWORK_COUNT):
        network = 1 + (os.getpid() + offset) % NETWORK_COUNT
        try:
            claim.bind((f"127.{network}.255.1", CLAIM_PORT))
        except OSError:
            continue
        return network, claim
    raise OSError("all loopback networks are in use")


class Cluster:
    """Addresses and settings of the processes of one run.

    Control processes have the numbers from 0, nodes follow.

    :param folder: folder for settings, logs and data.
    :param control_count: number of control processes.
    :param services: service of each node.
    """

    def __init__(self, folder, control_count, services):
        self._network, self._claim = _claim_network()
        self._folder = folder
        self.control_count = control_count
        self.services = services
        ports = free_ports(len(PORT_NAMES))
        self._ports = dict(zip(PORT_NAMES, ports, strict=True))
        # Number of replacements of each control host.
        self._replacements = Counter()
        self.is_first_start = True

    @property
    def tolerated_losses(self):
        """Number of disks of control hosts that may be lost at once."""
        return (self.control_count - 1) // 2

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
        host = 1 + self._replacements[number]
        return f"127.{self._network + offset}.{number}.{host}"

    def replace_host(self, number):
        """Gives a control process another name, address and disk."""
        self._replacements[number] += 1

    def data_folder(self, number):
        """Returns the folder for durable state of a process."""
        return self._folder / self._name(number)

    def _name(self, number):
        role = "control" if number < self.control_count else "node"
        replacements = self._replacements[number]
        return f"{role}-{number}" + (f"-{replacements}" if replacements else "")

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
        name = self._name(number)
        settings = self.settings(number)
        process_class = process_class or ManagedProcess
        return process_class(*arguments, self._folder, name, role, settings, checker)

    def settings(self, number):
        """Returns the content of the settings file of a process, as it is now."""
        name = self._name(number)
        role = name.partition("-")[0]
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
            f"bootstrap = {str(self.is_first_start).lower()}",
            f'dataDir = "{self.data_folder(number)}"',
            "[network]",
            f"portRange = [{self._ports['link']}, {self._ports['link']}]",
            f"seeds = [{', '.join(seeds)}]",
            "[network.listen]",
            f'outbound = "{ip}:{self._ports["outbound"]}"',
            *(f'{key} = "{value}"' for key, value in listen.items()),
            "[terms.faultTolerance]",
            f"machines = {self.tolerated_losses}",
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
        self._has_ended_for_good = False
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

    def rewrite(self, settings):
        """Replaces the settings file, which the next start reads."""
        self._path.write_text(settings)

    async def end(self, number, for_good=False):
        """Ends the process with a signal.

        :param for_good: whether it is not started again.
        """
        self._has_ended_for_good = for_good
        self._signal(number)
        try:
            async with asyncio.timeout(EXIT_TIMEOUT_S):
                await self.process.wait()
        except TimeoutError:
            self._signal(signal.SIGKILL)
            await self.process.wait()

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
        await self.end(signal.SIGTERM if fault.kind == "stop" else signal.SIGKILL)
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
        elif not self._has_ended_for_good:
            self._checker.record_unexpected_exit(self.name, self.process.returncode)
        self._log.close()

"""Runs many nodes inside a few worker processes.

One machine can't run several hundred node processes. Each worker runs one event
loop. Each node in it is a complete :class:`figpick.roles._compose.Process` with its
own listeners, connections and timers, but without an upstream and without calls.
A worker is started as ``python -m bench.fleet``. It reads JSON commands from its
standard input, one per line, and writes a JSON reply to each.
"""

import asyncio
import os
import subprocess
import sys
import time

import msgspec

from bench.cluster import KEY
from figpick.base import _logs
from figpick.roles._compose import Process

WORKERS = 6
CALL_PORT = 8100
PEER_PORT = 8101
MAX_LINE_BYTES = 256 * 1024 * 1024
COMMAND_TIMEOUT_S = 30.0


class Fleet:
    """Runs nodes in worker processes; an async context manager.

    :param count: number of nodes.
    :param services: names of services; each node has the documents of all of them.
    :param control: control processes, in the form of the settings.
    :param has_upstreams: whether each node is on the host of an upstream.
    """

    def __init__(self, count, services, control, has_upstreams=True):
        self._services = services
        self._has_upstreams = has_upstreams
        self._control = control
        self._workers = []
        # Each node has its own loopback address: on a shared address, an outgoing
        # connection of another node could use the port before the node listens.
        self._second_octet = os.getpid() % 200 + 20
        self.names = [f"node-{number}" for number in range(count)]
        self._next_number = count

    async def __aenter__(self):
        try:
            for _ in range(min(WORKERS, len(self.names))):
                self._workers.append(await _start_worker())
            await self._start(self.names)
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *exception):
        for worker in self._workers:
            worker.stdin.close()
        for worker in self._workers:
            try:
                await asyncio.wait_for(worker.wait(), 5.0)
            except TimeoutError:
                worker.kill()
                await worker.wait()

    async def send_command(self, name, **command):
        """Sends a command to the worker that runs a node and returns the reply."""
        number = int(name.rpartition("-")[2])
        worker = self._workers[number % len(self._workers)]
        return await _send_command(worker, {"name": name, **command})

    async def add_node(self):
        """Starts one more node and returns its name."""
        names = await self.add_nodes(1)
        return names[0]

    async def add_nodes(self, count):
        """Starts more nodes and returns their names."""
        first = self._next_number
        self._next_number += count
        names = [f"node-{number}" for number in range(first, first + count)]
        self.names.extend(names)
        await self._start(names)
        return names

    async def collect_events(self):
        """Returns the events that all nodes recorded since the last call.

        :return: list of ``[Unix time in seconds, observer, kind, subject, value]``.
        """
        command = {"action": "report"}
        parts = await asyncio.gather(
            *(_send_command(worker, command) for worker in self._workers)
        )
        return [event for part in parts for event in part["notes"]]

    async def wait_for_members(self, separate_nodes=0, timeout_s=20.0):
        """Waits until each node knows all members.

        :param separate_nodes: number of nodes with a process of their own.
        :raises TimeoutError: when a node does not know them in time.
        """
        deadline = time.monotonic() + timeout_s
        expected = len(self.names) + len(self._control) + separate_nodes
        while True:
            parts = await asyncio.gather(
                *(_send_command(each, {"action": "sizes"}) for each in self._workers)
            )
            sizes = [size for part in parts for size in part["sizes"]]
            if min(sizes) >= expected:
                return
            if time.monotonic() > deadline:
                raise TimeoutError(
                    f"a node knows only {min(sizes)} of {expected} members"
                )
            await asyncio.sleep(0.2)

    async def _start(self, names):
        settings_by_worker = {}
        for name in names:
            number = int(name.rpartition("-")[2]) % len(self._workers)
            settings_by_worker.setdefault(number, []).append(self._settings(name))
        commands = [
            _send_command(
                self._workers[number], {"action": "start", "settings": settings}
            )
            for number, settings in settings_by_worker.items()
        ]
        await asyncio.gather(*commands)

    def _settings(self, name):
        number = int(name.rpartition("-")[2])
        service = self._services[number % len(self._services)]
        return {
            **({"service": service} if self._has_upstreams else {}),
            "name": name,
            "region": "region-1",
            "data_center": f"dc-{number % 3 + 1}",
            "roles": ["node"],
            "call_address": f"{self._ip(number)}:{CALL_PORT}",
            "peer_address": f"{self._ip(number)}:{PEER_PORT}",
            "calls": self._services,
            "control": self._control,
            "shared_key": KEY,
        }

    def _ip(self, number):
        return f"127.{self._second_octet}.{number // 250}.{number % 250 + 1}"


async def _start_worker():
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "bench.fleet",
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        limit=MAX_LINE_BYTES,
    )


async def _send_command(worker, command):
    worker.stdin.write(msgspec.json.encode(command) + b"\n")
    await worker.stdin.drain()
    line = await asyncio.wait_for(worker.stdout.readline(), COMMAND_TIMEOUT_S)
    return msgspec.json.decode(line)


class Worker:
    """Runs the nodes of one worker process."""

    def __init__(self):
        self._processes = {}
        self._supervisor_tasks = {}
        self._events = []

    async def run(self):
        """Executes commands until the standard input ends."""
        loop = asyncio.get_running_loop()
        reader = asyncio.StreamReader(limit=MAX_LINE_BYTES)
        await loop.connect_read_pipe(
            lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
        )
        while line := await reader.readline():
            command = msgspec.json.decode(line)
            reply = await getattr(self, command.pop("action"))(**command)
            sys.stdout.buffer.write(msgspec.json.encode(reply or {}) + b"\n")
            sys.stdout.buffer.flush()

    async def start(self, settings, name=""):
        """Starts one node for each item of ``settings``."""
        await asyncio.gather(*(self._start(each) for each in settings))

    async def crash(self, name):
        """Stops a node without a message to other members."""
        process = self._processes.pop(name)
        self._supervisor_tasks.pop(name).cancel()
        process.close()
        await process.close_listeners()

    async def leave(self, name):
        """Stops a node gracefully."""
        self._supervisor_tasks.pop(name).cancel()
        await self._processes.pop(name).stop()

    async def report(self):
        """Returns the events recorded since the last report."""
        events, self._events = self._events, []
        return {"notes": events}

    async def sizes(self):
        """Returns the number of members that each node knows, itself included."""
        sizes = [
            len(process.members.others()) + 1 for process in self._processes.values()
        ]
        return {"sizes": sizes}

    async def _start(self, settings):
        name = settings["name"]
        process = Process(settings)
        node = process.node
        adopt = node.adopt_document

        def recording_adopt(document, version):
            adopted = adopt(document, version)
            if adopted:
                self._record_event(name, "document", document["service"], version)
            return adopted

        node.adopt_document = recording_adopt
        process.members.add_listener(
            lambda member: self._record_event(name, "member", member.name, member.state)
        )
        self._processes[name] = process
        await process.start()
        self._supervisor_tasks[name] = asyncio.ensure_future(process.supervisor.run())

    def _record_event(self, observer, kind, subject, value):
        self._events.append([time.time(), observer, kind, subject, value])


if __name__ == "__main__":
    _logs.start("error", "fleet")
    asyncio.run(Worker().run())

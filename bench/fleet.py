"""Runs many figpick processes as objects inside a few worker processes.

Several hundred real processes do not fit one machine. Each worker runs one
event loop; each node in it is a whole :class:`figpick.roles._compose.Process` with its
own listeners, connections and timers, but without an upstream and without calls.
A worker is started as ``python -m bench.fleet`` and takes JSON commands, one a
line, on its standard input.
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
LINE_BYTES = 256 * 1024 * 1024
COMMAND_TIMEOUT_S = 30.0


class Fleet:
    """Nodes spread over worker processes; use as an async context manager.

    :param count: number of nodes.
    :param services: names of services; each node holds the documents of all.
    :param control: control processes as in the settings.
    :param has_upstreams: whether each node is beside an upstream of a service.
    """

    def __init__(self, count, services, control, has_upstreams=True):
        self._services = services
        self._has_upstreams = has_upstreams
        self._control = control
        self._workers = []
        # Free ports would be taken by outgoing connections of other nodes before
        # a node listens, so each node has an address of its own.
        self._network = os.getpid() % 200 + 20
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
        """Sends a command to the worker of a node."""
        number = int(name.rpartition("-")[2])
        worker = self._workers[number % len(self._workers)]
        return await _command(worker, {"name": name, **command})

    async def add_node(self):
        """Starts one more node and gives its name."""
        names = await self.add_nodes(1)
        return names[0]

    async def add_nodes(self, count):
        """Starts more nodes and gives their names."""
        first = self._next_number
        self._next_number += count
        names = [f"node-{number}" for number in range(first, first + count)]
        self.names.extend(names)
        await self._start(names)
        return names

    async def collect_events(self):
        """Collects what all nodes noted since the last report.

        :return: list of ``[wall seconds, observer, kind, subject, value]``.
        """
        command = {"action": "report"}
        parts = await asyncio.gather(
            *(_command(worker, command) for worker in self._workers)
        )
        return [note for part in parts for note in part["notes"]]

    async def wait_for_members(self, real_nodes=0, timeout_s=20.0):
        """Waits until each node knows each other node.

        :param real_nodes: number of nodes with a process of their own.
        :raises TimeoutError: when they do not in time.
        """
        limit = time.monotonic() + timeout_s
        expected = len(self.names) + len(self._control) + real_nodes
        while True:
            parts = await asyncio.gather(
                *(_command(each, {"action": "sizes"}) for each in self._workers)
            )
            sizes = [size for part in parts for size in part["sizes"]]
            if min(sizes) >= expected:
                return
            if time.monotonic() > limit:
                raise TimeoutError(f"views have {min(sizes)} of {expected} members")
            await asyncio.sleep(0.2)

    async def _start(self, names):
        shares = {}
        for name in names:
            number = int(name.rpartition("-")[2]) % len(self._workers)
            shares.setdefault(number, []).append(self._settings(name))
        commands = [
            _command(self._workers[number], {"action": "start", "settings": settings})
            for number, settings in shares.items()
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
        return f"127.{self._network}.{number // 250}.{number % 250 + 1}"


async def _start_worker():
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "bench.fleet",
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        limit=LINE_BYTES,
    )


async def _command(worker, command):
    worker.stdin.write(msgspec.json.encode(command) + b"\n")
    await worker.stdin.drain()
    line = await asyncio.wait_for(worker.stdout.readline(), COMMAND_TIMEOUT_S)
    return msgspec.json.decode(line)


class Worker:
    """The nodes of one worker process."""

    def __init__(self):
        self._processes = {}
        self._trees = {}
        self._notes = []

    async def run(self):
        """Runs commands until the standard input ends."""
        loop = asyncio.get_running_loop()
        reader = asyncio.StreamReader(limit=LINE_BYTES)
        await loop.connect_read_pipe(
            lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
        )
        while line := await reader.readline():
            command = msgspec.json.decode(line)
            answer = await getattr(self, command.pop("action"))(**command)
            sys.stdout.buffer.write(msgspec.json.encode(answer or {}) + b"\n")
            sys.stdout.buffer.flush()

    async def start(self, settings, name=""):
        """Starts nodes."""
        await asyncio.gather(*(self._start(each) for each in settings))

    async def crash(self, name):
        """Ends a node without telling others."""
        process = self._processes.pop(name)
        self._trees.pop(name).cancel()
        process.close()
        await process.close_listeners()

    async def leave(self, name):
        """Stops a node gracefully."""
        self._trees.pop(name).cancel()
        await self._processes.pop(name).stop()

    async def report(self):
        """Gives the notes since the last report."""
        notes, self._notes = self._notes, []
        return {"notes": notes}

    async def sizes(self):
        """Gives the number of members that each node knows."""
        sizes = [
            len(process.members.others()) + 1 for process in self._processes.values()
        ]
        return {"sizes": sizes}

    async def _start(self, settings):
        name = settings["name"]
        process = Process(settings)
        node = process.node
        adopt = node.adopt

        def noting_adopt(document, version):
            adopted = adopt(document, version)
            if adopted:
                self._note(name, "document", document["service"], version)
            return adopted

        node.adopt = noting_adopt
        process.members.listen(
            lambda member: self._note(name, "member", member.name, member.state)
        )
        self._processes[name] = process
        await process.start()
        self._trees[name] = asyncio.ensure_future(process.supervisor.run())

    def _note(self, observer, kind, subject, value):
        self._notes.append([time.time(), observer, kind, subject, value])


if __name__ == "__main__":
    _logs.start("error", "fleet")
    asyncio.run(Worker().run())

"""Three control processes on loopback whose messages to each other can be cut."""

import asyncio
import random
import shutil
import sys
import time
from contextlib import AsyncExitStack

import msgspec
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, ResponseStartLine, responses
from tornado.iostream import StreamClosedError

from bench.client import HttpClient
from bench.cluster import KEY, Cluster, free_address, wait_for
from bench.rows import Row
from bench.schedules import make_document
from figpick.base._errors import PeerError, PeerRefusedError, PeerUnreachableError
from figpick.base._settings import split_address
from figpick.consensus._formation import name_of

READY_TIMEOUT_S = 15.0
RESEND_S = 0.2
SEEDS = (1, 2, 3, 4, 5)


class Relay:
    """Passes messages to one process and silently drops those of some senders.

    :param address: ``ip:port`` that the other processes know.
    :param target: ``ip:port`` on which the process listens.
    """

    def __init__(self, address, target):
        self._address = address
        self._target = target
        self._client = HttpClient()
        self._tasks = set()
        self._server = HTTPServer(self._receive, max_body_size=1 << 26)
        self.cut_off = set()

    def start(self):
        """Starts to listen."""
        ip, port = split_address(self._address)
        self._server.listen(port, ip)

    async def stop(self):
        """Stops to listen and closes all connections."""
        self._server.stop()
        for task in self._tasks:
            task.cancel()
        await self._server.close_all_connections()
        self._client.close()

    def _receive(self, request):
        task = asyncio.ensure_future(self._pass_on(request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _pass_on(self, request):
        if self._sender(request.body) in self.cut_off:
            return
        answer = await self._send(request)
        if answer.status == 0:
            # Kept connections do not show that the process was restarted.
            self._client.close()
            answer = await self._send(request)
        if self._sender(request.body) in self.cut_off:
            return
        if answer.status == 0:
            request.connection.stream.close()
            return
        line = ResponseStartLine("HTTP/1.1", answer.status, responses[answer.status])
        headers = HTTPHeaders({"Content-Length": str(len(answer.body))})
        try:
            request.connection.write_headers(line, headers, answer.body)
            request.connection.finish()
        except StreamClosedError:
            pass

    async def _send(self, request):
        headers = list(request.headers.get_all())
        return await self._client.request(
            self._target, "POST", request.path, headers, request.body, 10.0
        )

    def _sender(self, body):
        message = msgspec.json.decode(body)
        sender = message.get("sender") or message.get("forwarded") or ""
        return name_of(sender)


class ControlCluster(Cluster):
    """Control processes behind relays; use as an async context manager."""

    def __init__(self, seed):
        super().__init__([], controls=3)
        self.random = random.Random(seed)
        self.names = [control["name"] for control in self.controls]
        self.addresses = {name: free_address() for name in self.names}
        self._relays = {
            control["name"]: Relay(control["address"], self.addresses[control["name"]])
            for control in self.controls
        }

    async def __aenter__(self):
        for relay in self._relays.values():
            relay.start()
        await super().__aenter__()
        await wait_for(self.has_leader, READY_TIMEOUT_S)
        return self

    async def __aexit__(self, *exception):
        await super().__aexit__(*exception)
        for relay in self._relays.values():
            await relay.stop()

    def isolate(self, name):
        """Drops every message between one process and the others."""
        for other, relay in self._relays.items():
            if other == name:
                relay.cut_off.update(self.names)
            else:
                relay.cut_off.add(name)

    def mend(self):
        """Passes all messages again."""
        for relay in self._relays.values():
            relay.cut_off.clear()

    def erase_disk(self, name):
        """Deletes the data folder of a process that is not running."""
        shutil.rmtree(self.folder / name)

    async def ask(self, name, kind, message, timeout_s=6.0):
        """Sends a message to a process, past its relay."""
        return await self.peers.send(self.addresses[name], kind, message, timeout_s)

    def relay_address(self, name):
        """Gives the address at which the other processes know a process."""
        controls = {each["name"]: each["address"] for each in self.controls}
        return controls[name]

    async def change_members(self, name, message):
        """Sends a change of members to a process until it is done."""

        attempts = 0

        async def change():
            nonlocal attempts
            attempts += 1
            try:
                await self.ask(name, "members", message, 30.0)
            except PeerUnreachableError:
                return False
            except PeerRefusedError as error:
                # The first attempt may have removed it and lost its answer.
                removed = message["action"] == "remove" and error.status == 404
                if error.status != 503 and not (removed and attempts > 1):
                    raise
                return removed
            return True

        await wait_for(change, READY_TIMEOUT_S)

    async def control_state(self, name):
        """Gives the state of the control role of a process."""
        return (await self.ask(name, "state", {}))["control"]

    async def leader(self):
        """Gives the name of the leader that a quorum confirms."""
        for name in self.names:
            try:
                return (await self.ask(name, "status", {}))["leader"]
            except PeerError:
                continue
        return None

    async def has_leader(self):
        """Tells whether a quorum confirms a leader."""
        return await self.leader() is not None

    async def refuses(self, name, kind, message):
        """Tells whether a process answers that it has no quorum."""
        try:
            await self.ask(name, kind, message)
        except PeerRefusedError as error:
            return error.status == 503 and "no quorum" in error.body["error"]
        return False

    def _add_control(self, control):
        controls = self.controls
        address = self.addresses[control["name"]]
        settings = {
            "name": control["name"],
            "region": "region-1",
            "data_center": "dc-1",
            "roles": ["control"],
            "peer_address": address,
            "control": controls,
            "data_folder": str(self.folder / control["name"]),
            "shared_key": KEY,
        }
        self._add_command(control["name"], "figpick", ["run"], settings)


class Workload:
    """Operators that change documents until they are stopped.

    :param cluster: :class:`ControlCluster`.
    """

    def __init__(self, cluster):
        self._cluster = cluster
        self._stopped = False
        self._tasks = []
        self._accepted = {}
        self.problems = []

    @property
    def accepted_count(self):
        """Number of changes that were accepted."""
        return len(self._accepted)

    def start(self, operators, service="parts"):
        """Starts operators that all change one service."""
        for number in range(operators):
            task = asyncio.ensure_future(self._operate(number, service))
            self._tasks.append(task)

    async def stop(self):
        """Stops after the change that each operator is at."""
        self._stopped = True
        await asyncio.gather(*self._tasks)

    async def change(self, change, service, base, first=None):
        """Makes one change and resends it until it is answered.

        :param first: name of the process that is asked first.
        :return: version that is current now.
        """
        message = {"document": make_document(service, 5), "base": base}
        message["change"] = change
        limit = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < limit:
            name = first or self._cluster.random.choice(self._cluster.names)
            first = None
            try:
                answer = await self._cluster.ask(name, "put", message, 1.5)
            except PeerRefusedError as error:
                if "current" in error.body:
                    return error.body["current"]["version"]
            except PeerError:
                pass
            else:
                self._note(change, answer)
                return answer["version"]
            await asyncio.sleep(RESEND_S)
        self.problems.append(f"{change} was not answered in {READY_TIMEOUT_S} s")
        return base

    async def check(self, service="parts"):
        """Compares the history with what the operators were told.

        :return: tuple of the number of violations and what they are.
        """
        await wait_for(self._cluster.has_leader, READY_TIMEOUT_S)
        leader = await self._cluster.leader()
        history = await self._cluster.ask(leader, "history", {"service": service})
        versions = {}
        previous = 0
        for record in history:
            if record["change"] in versions or record["base"] != previous:
                self.problems.append(f"{record} after {previous}")
            previous = versions[record["change"]] = record["version"]
        for change, version in self._accepted.items():
            if versions.get(change) != version:
                self.problems.append(f"{change} accepted as {version} is not there")
        if not self._accepted:
            self.problems.append("no change was accepted")
        return len(self.problems), self.problems

    async def _operate(self, number, service):
        base = 0
        count = 0
        while not self._stopped:
            count += 1
            base = await self.change(f"{number}-{count}", service, base)

    def _note(self, change, answer):
        known = self._accepted.setdefault(change, answer["version"])
        if known != answer["version"]:
            self.problems.append(f"{change} got {known} and {answer}")


async def _run_together(scenario, seeds):
    # The relays of all clusters share one loop, which the end of a cluster blocks
    # for up to a second, so all clusters end after the last scenario.
    async with AsyncExitStack() as stack:
        clusters = [ControlCluster(seed) for seed in seeds]
        await asyncio.gather(*map(stack.enter_async_context, clusters))
        return await asyncio.gather(
            *(scenario(cluster, Workload(cluster)) for cluster in clusters)
        )


def run_processes(scenario, seeds):
    """Runs a scenario with several seeds at the same time.

    :param scenario: coroutine function from a :class:`ControlCluster` and a
        :class:`Workload`.
    :return: list of its results, by seed.
    """
    return asyncio.run(_run_together(scenario, seeds))


def rows(experiment, scenario):
    """Runs five schedules with real processes.

    :param scenario: coroutine function that returns the number of violations
        and a list of what they are.
    :return: list of :class:`~bench.rows.Row`.
    """
    found = []
    results = run_processes(scenario, SEEDS)
    for seed, (violations, problems) in zip(SEEDS, results, strict=True):
        case = "processes: accepted changes lost, reverted or applied twice"
        found.append(Row(experiment, case, seed, None, violations, 0, "changes"))
        for problem in problems:
            print(f"{experiment} processes seed {seed}: {problem}", file=sys.stderr)
    return found

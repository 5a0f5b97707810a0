"""Three control processes on loopback whose messages to each other can be dropped."""

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
RETRY_DELAY_S = 0.2
SEEDS = (1, 2, 3, 4, 5)


class Relay:
    """Forwards messages to one process and drops those of blocked senders.

    A dropped message gets no reply.

    :param address: ``ip:port`` to which the other processes send.
    :param target: ``ip:port`` on which the process listens.
    """

    def __init__(self, address, target):
        self._address = address
        self._target = target
        self._client = HttpClient()
        self._tasks = set()
        self._server = HTTPServer(self._receive, max_body_size=1 << 26)
        self.blocked_senders = set()

    def start(self):
        """Starts listening."""
        ip, port = split_address(self._address)
        self._server.listen(port, ip)

    async def stop(self):
        """Stops listening and closes all connections."""
        self._server.stop()
        for task in self._tasks:
            task.cancel()
        await self._server.close_all_connections()
        self._client.close()

    def _receive(self, request):
        task = asyncio.ensure_future(self._forward(request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _forward(self, request):
        if self._sender(request.body) in self.blocked_senders:
            return
        response = await self._send(request)
        if response.status == 0:
            # The process may have been restarted, which breaks idle connections.
            self._client.close()
            response = await self._send(request)
        if self._sender(request.body) in self.blocked_senders:
            return
        if response.status == 0:
            request.connection.stream.close()
            return
        line = ResponseStartLine(
            "HTTP/1.1", response.status, responses[response.status]
        )
        headers = HTTPHeaders({"Content-Length": str(len(response.body))})
        try:
            request.connection.write_headers(line, headers, response.body)
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
        """Drops all messages between one process and the others."""
        for other, relay in self._relays.items():
            if other == name:
                relay.blocked_senders.update(self.names)
            else:
                relay.blocked_senders.add(name)

    def heal(self):
        """Forwards all messages again."""
        for relay in self._relays.values():
            relay.blocked_senders.clear()

    def erase_disk(self, name):
        """Deletes the data folder of a process that is not running."""
        shutil.rmtree(self.folder / name)

    async def send_directly(self, name, kind, message, timeout_s=6.0):
        """Sends a message to a process, bypassing its relay."""
        return await self.peers.send(self.addresses[name], kind, message, timeout_s)

    def relay_address(self, name):
        """Returns the address of the relay of a process."""
        controls = {each["name"]: each["address"] for each in self.controls}
        return controls[name]

    async def change_members(self, name, message):
        """Sends a membership change to a process and retries until it is done."""

        attempts = 0

        async def change():
            nonlocal attempts
            attempts += 1
            try:
                await self.send_directly(name, "members", message, 30.0)
            except PeerUnreachableError:
                return False
            except PeerRefusedError as error:
                # The reply of an attempt that removed the member may have been lost.
                removed = message["action"] == "remove" and error.status == 404
                if error.status != 503 and not (removed and attempts > 1):
                    raise
                return removed
            return True

        await wait_for(change, READY_TIMEOUT_S)

    async def control_state(self, name):
        """Returns the state of the control role of a process."""
        return (await self.send_directly(name, "state", {}))["control"]

    async def leader(self):
        """Returns the name of the leader confirmed by a quorum, or ``None``."""
        for name in self.names:
            try:
                return (await self.send_directly(name, "status", {}))["leader"]
            except PeerError:
                continue
        return None

    async def has_leader(self):
        """Returns whether a quorum confirms a leader."""
        return await self.leader() is not None

    async def reports_no_quorum(self, name, kind, message):
        """Returns whether a process refuses a message because it has no quorum."""
        try:
            await self.send_directly(name, kind, message)
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
    """Runs operators that change documents until they are stopped.

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
        """Number of accepted changes."""
        return len(self._accepted)

    def start(self, operators, service="parts"):
        """Starts operators that all change one service."""
        for number in range(operators):
            task = asyncio.ensure_future(self._run_operator(number, service))
            self._tasks.append(task)

    async def stop(self):
        """Stops each operator after its current change."""
        self._stopped = True
        await asyncio.gather(*self._tasks)

    async def change(self, change, service, base, first_process=None):
        """Makes one change and retries it until a process replies.

        :param first_process: name of the process that receives the first attempt;
            random by default.
        :return: current version of the document.
        """
        message = {"document": make_document(service, 5), "base": base}
        message["change"] = change
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            name = first_process or self._cluster.random.choice(self._cluster.names)
            first_process = None
            try:
                reply = await self._cluster.send_directly(name, "put", message, 1.5)
            except PeerRefusedError as error:
                if "current" in error.body:
                    return error.body["current"]["version"]
            except PeerError:
                pass
            else:
                self._record_accepted(change, reply)
                return reply["version"]
            await asyncio.sleep(RETRY_DELAY_S)
        self.problems.append(f"{change} got no reply within {READY_TIMEOUT_S} s")
        return base

    async def check(self, service="parts"):
        """Compares the stored history with the replies to the operators.

        :return: tuple of the number of violations and a list of their descriptions.
        """
        await wait_for(self._cluster.has_leader, READY_TIMEOUT_S)
        leader = await self._cluster.leader()
        history = await self._cluster.send_directly(
            leader, "history", {"service": service}
        )
        versions = {}
        previous = 0
        for record in history:
            if record["change"] in versions or record["base"] != previous:
                self.problems.append(f"{record} follows version {previous}")
            previous = versions[record["change"]] = record["version"]
        for change, version in self._accepted.items():
            if versions.get(change) != version:
                self.problems.append(f"{change}, accepted as {version}, is missing")
        if not self._accepted:
            self.problems.append("no change was accepted")
        return len(self.problems), self.problems

    async def _run_operator(self, number, service):
        base = 0
        count = 0
        while not self._stopped:
            count += 1
            base = await self.change(f"{number}-{count}", service, base)

    def _record_accepted(self, change, reply):
        known = self._accepted.setdefault(change, reply["version"])
        if known != reply["version"]:
            self.problems.append(f"{change} was accepted as {known}, then as {reply}")


async def _run_concurrently(scenario, seeds):
    # The relays of all clusters share one event loop. Stopping a cluster blocks it
    # for up to a second, so all clusters stop after the last scenario.
    async with AsyncExitStack() as stack:
        clusters = [ControlCluster(seed) for seed in seeds]
        await asyncio.gather(*map(stack.enter_async_context, clusters))
        return await asyncio.gather(
            *(scenario(cluster, Workload(cluster)) for cluster in clusters)
        )


def run_scenario(scenario, seeds):
    """Runs a scenario with several seeds concurrently.

    :param scenario: coroutine function of a :class:`ControlCluster` and a
        :class:`Workload`.
    :return: list of its results in the order of the seeds.
    """
    return asyncio.run(_run_concurrently(scenario, seeds))


def rows(experiment, scenario):
    """Runs a scenario on real processes with five seeds.

    :param scenario: coroutine function that returns the number of violations and
        a list of their descriptions.
    :return: list of :class:`~bench.rows.Row`.
    """
    result_rows = []
    results = run_scenario(scenario, SEEDS)
    for seed, (violations, problems) in zip(SEEDS, results, strict=True):
        case = "processes: accepted changes lost, reverted or applied twice"
        result_rows.append(Row(experiment, case, seed, None, violations, 0, "changes"))
        for problem in problems:
            print(f"{experiment} processes seed {seed}: {problem}", file=sys.stderr)
    return result_rows

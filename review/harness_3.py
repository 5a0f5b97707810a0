"""A small deployment on loopback addresses, with stand-ins, for the cases 11 to 15.

The programs are started with the commands of the deploy file. Servers and clients are
stand-ins that keep to the users' pages; each one notes what it does in the record.
"""

import asyncio
import hashlib
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
from contextlib import asynccontextmanager
from pathlib import Path

ROOT = Path(__file__).parents[1]
CONTROL_COUNT = 3
# The project's own tests and soak use the networks up to 200.
FIRST_NETWORK = 201
NETWORK_COUNT = 50
CLAIM_PORT = 39100
HEARTBEAT_S = 0.5
START_TIMEOUT_S = 40.0
POLL_S = 0.1
GRACE_S = 6
METRICS_PORT = 9464
CHUNK_BYTES = 16 * 1024
PATTERN = bytes(range(256)) * 256
BROKEN, HELD, NOT_RUN = 1, 0, 2


class Record:
    """Lines on what was sent, answered and run, for one run of a script."""

    def __init__(self, folder):
        self._file = (Path(folder) / "record.txt").open("w")
        self._started = time.monotonic()
        self.lines = []

    def note(self, kind, **fields):
        """Notes one event with the seconds since the start."""
        now = time.monotonic()
        line = (now, kind, fields)
        self.lines.append(line)
        shown = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{now - self._started:8.3f} {kind} {shown}\n")
        self._file.flush()
        return line

    def of(self, kind, **fields):
        """Returns the noted events of a kind with the given fields."""
        wanted = fields.items()
        return [
            (at, noted)
            for at, name, noted in self.lines
            if name == kind and all(noted.get(key) == value for key, value in wanted)
        ]


def body_of(request_id, size):
    """Returns the whole body with which a server answers a request."""
    start = hashlib.sha256(request_id.encode()).digest()
    return (start + PATTERN * (size // len(PATTERN) + 1))[:size]


class Server:
    """A server of one service, beside a node.

    The path of a request says how it is served: ``/SERVICE/KIND/SIZE/WORK_MS/...``.
    """

    def __init__(self, service, ip, ports, record):
        self.service = service
        self._ip = ip
        self._port = ports["app"]
        self._control = (ip, ports["control"])
        self._record = record
        self.id = f"i-{random.getrandbits(32):08x}"
        self._sequence = 0
        self._server = None
        self._beats = None
        self._writers = set()
        # Factor by which work takes longer.
        self.work_factor = 1
        # Bytes a second at which bodies are sent, ``None`` for no limit.
        self.send_rate = None

    async def start(self):
        """Listens, and reports until the node has acknowledged once."""
        self._server = await asyncio.start_server(
            self._serve, self._ip, self._port, limit=1 << 20
        )
        while not await self._report():
            await asyncio.sleep(POLL_S)
        self._beats = asyncio.ensure_future(self._report_periodically())

    def crash(self):
        """Ends at once; the kernel resets the open connections."""
        self._record.note("server-crash", service=self.service, server=self.id)
        self.stop()
        for writer in list(self._writers):
            connection = writer.get_extra_info("socket")
            if connection is not None:
                linger = b"\1\0\0\0\0\0\0\0"
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()

    def stop(self):
        """Stops listening and reporting."""
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()

    async def _report_periodically(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self._report()

    async def _report(self):
        self._sequence += 1
        report = {
            "service": self.service,
            "address": f"{self._ip}:{self._port}",
            "zone": "z",
            "version": "v1",
            "slots": 100,
            "state": "ready",
            "coldLeftS": 0,
            "sequence": self._sequence,
        }
        path = f"/instances/{self.id}"
        return (await ask("PUT", self._control, path, report))[0] == 200

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (EOFError, OSError, asyncio.LimitOverrunError, asyncio.CancelledError):
            # The connection has ended, or the case has.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        first, *lines = head[:-4].decode("latin-1").split("\r\n")
        method, target, _ = first.split(" ")
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers.setdefault(name.lower(), value.strip())
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        request_id = headers.get("attempt-id", "")
        if target == "/health":
            await self._send(writer, request_id, b"")
            return True
        if headers.get("expect-instance") != self.id:
            writer.write(
                f"HTTP/1.1 421 Misdirected\r\nAttempt-Id: {request_id}\r\n"
                f"Instance-Id: {self.id}\r\nContent-Length: 0\r\n\r\n".encode()
            )
            return True
        _, _, _, size, work_ms, *_ = target.split("/")
        self._record.note(
            "run",
            id=request_id,
            service=self.service,
            server=self.id,
            method=method,
            bytes=len(body),
        )
        await asyncio.sleep(int(work_ms) / 1000 * self.work_factor)
        answer = body_of(request_id, int(size))
        await self._send(writer, request_id, answer)
        self._record.note("served", id=request_id, service=self.service)
        return True

    def answer_head(self, request_id, size):
        """Returns the head of an answer."""
        return (
            f"HTTP/1.1 200 OK\r\nAttempt-Id: {request_id}\r\nServer-Stamp: s.{self.id}"
            f"\r\nInstance-Id: {self.id}\r\nContent-Length: {size}\r\n\r\n"
        ).encode()

    async def _send(self, writer, request_id, answer):
        writer.write(self.answer_head(request_id, len(answer)))
        for start in range(0, len(answer), CHUNK_BYTES):
            writer.write(answer[start : start + CHUNK_BYTES])
            await writer.drain()
            if self.send_rate is not None:
                await asyncio.sleep(CHUNK_BYTES / self.send_rate)
        await writer.drain()


async def ask(method, address, path, value=None, timeout_s=1.0):
    """Sends a request with a JSON body; returns status and body, 0 without answer."""
    body = json.dumps(value).encode() if value is not None else b""
    head = f"{method} {path} HTTP/1.1\r\nHost: {address[0]}\r\nConnection: close\r\n"
    head += f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(head.encode() + body)
            status, _, answer, _ = await read_answer(reader)
            return status, answer
    except (OSError, EOFError, TimeoutError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()


async def read_answer(reader, on_head=None):
    """Reads one answer; returns status, headers, body and whether it is whole."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    if on_head is not None:
        on_head(headers)
    status = int(first.split()[1])
    body = bytearray()
    try:
        if headers.get("transfer-encoding") == "chunked":
            while size := int(await reader.readuntil(b"\r\n"), 16):
                body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readexactly(2)
        else:
            left = int(headers.get("content-length", "0"))
            while left:
                part = await reader.read(min(left, 1 << 16))
                if not part:
                    return status, headers, bytes(body), False
                body += part
                left -= len(part)
    except (EOFError, OSError):
        return status, headers, bytes(body), False
    return status, headers, bytes(body), True


async def ask_in_order(reader, send, requests, deadline_ms, record):
    """Sends requests behind each other on one connection, then reads their answers.

    :param send: coroutine function that sends bytes.
    :param requests: tuples of the id, the service, the size of the answer and the
        milliseconds of work.
    """
    for request_id, service, size, work_ms in requests:
        record.note("sent", id=request_id)
        path = f"/{service}/get/{size}/{work_ms}/x"
        await send(render_request("GET", path, request_id, deadline_ms))
    for request_id, _, size, _ in requests:
        try:
            status, _, body, is_whole = await read_answer(reader)
        except (EOFError, OSError) as error:
            record.note("no-answer", id=request_id, error=repr(error))
            continue
        if not is_whole:
            record.note("broken-off", id=request_id, bytes=len(body))
            continue
        is_right = status != 200 or body == body_of(request_id, size)
        kind = "answered" if is_right else "wrong-answer"
        record.note(kind, id=request_id, status=status)


async def use_connection(address, batches, deadline_ms, record):
    """Sends batches of requests on a kept connection, one after the other."""
    reader, writer = await asyncio.open_connection(*address)

    async def send(data):
        writer.write(data)

    for requests in batches:
        await ask_in_order(reader, send, requests, deadline_ms, record)
    writer.close()


async def send_one(address, request_id, method, path, size, deadline_ms, record):
    """Sends a request with a body of a size on a connection of its own."""
    reader, writer = await asyncio.open_connection(*address)
    record.note("sent", id=request_id)
    try:
        writer.write(render_request(method, path, request_id, deadline_ms, bytes(size)))
        status, *_ = await read_answer(reader)
        record.note("answered", id=request_id, status=status)
    except (EOFError, OSError) as error:
        record.note("no-answer", id=request_id, error=repr(error))
    writer.close()


def count_lost(record, prefix):
    """Counts the GET requests that a server ran and that were not answered whole.

    :param prefix: beginning of the ids of those of which no byte may have come.
    :return: how many of these have been lost.
    """
    answered = {fields["id"] for _, fields in record.of("answered")}
    run_ids = [fields["id"] for _, fields in record.of("run", method="GET")]
    lost = [each for each in run_ids if each not in answered]
    begun = {fields["id"] for _, fields in record.of("broken-off")}
    unbegun = [each for each in lost if each.startswith(prefix) and each not in begun]
    record.note("lost", count=len(lost), without_a_byte=len(unbegun))
    return len(unbegun)


def render_request(method, path, request_id, deadline_ms, body=b""):
    """Returns a request of a client."""
    return (
        f"{method} {path} HTTP/1.1\r\nHost: review.example\r\nAttempt-Id: {request_id}"
        f"\r\nDeadline-Ms: {deadline_ms}\r\nContent-Length: {len(body)}\r\n\r\n"
    ).encode() + body


class Program:
    """One process of the deploy file."""

    def __init__(self, role, folder, settings, record):
        self.role = role
        self.name = settings["self"]["nodeName"]
        self._folder = folder
        self._record = record
        self._path = folder / f"{self.name}.toml"
        self._path.write_text(render_toml(settings))
        self.process = None

    async def start(self):
        """Starts the process with the command of the deploy file."""
        with (ROOT / "deploy" / "system.toml").open("rb") as file:
            command = tomllib.load(file)["roles"][self.role]["run"].split(" ")
        env = {key: os.environ[key] for key in ("PATH", "HOME") if key in os.environ}
        env |= {"FIGPICK_BOOT": str(self._path), "PYTHONPATH": "target/deps"}
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self._record.note("start", process=self.name)

    def send(self, number):
        """Sends a signal."""
        self._record.note("signal", process=self.name, number=number.name)
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self):
        """Ends the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()

    def log_lines(self, text):
        """Returns the lines of the log that contain a text."""
        lines = (self._folder / f"{self.name}.log").read_text().splitlines()
        return [line for line in lines if text in line]


def render_toml(tables):
    """Returns tables as TOML."""
    lines = []

    def add(prefix, table):
        if prefix:
            lines.append(f"[{prefix}]")
        nested = {}
        for key, value in table.items():
            if isinstance(value, dict):
                nested[key] = value
            else:
                lines.append(f"{key} = {json.dumps(value)}")
        for key, value in nested.items():
            add(f"{prefix}.{key}" if prefix else key, value)

    add("", tables)
    return "\n".join(lines) + "\n"


class Deployment:
    """Control processes, and a node with a server for each given service."""

    def __init__(self, services, folder, record, memory_mb, limits=None):
        self._limits = limits or {}
        self._folder = folder
        self.record = record
        self._memory_mb = memory_mb
        self._network, self._claim = claim_network()
        names = ("app", "link", "outbound", "inbound", "ready", "control")
        self.ports = dict(zip(names, free_ports(len(names)), strict=True))
        self.services = services
        self.controls = [
            Program("control", folder, self._settings("core", number), record)
            for number in range(CONTROL_COUNT)
        ]
        self.nodes = [
            Program("node", folder, self._settings("sidecar", number, name), record)
            for number, name in enumerate(services, CONTROL_COUNT)
        ]
        self.servers = [
            Server(name, self.ip(number), self.ports, record)
            for number, name in enumerate(services, CONTROL_COUNT)
        ]

    def ip(self, number):
        """Returns the address of a machine."""
        return f"127.{self._network}.{number}.1"

    def outbound(self, index):
        """Returns the address to which the clients of a node send."""
        return self.ip(CONTROL_COUNT + index), self.ports["outbound"]

    def control_address(self, index):
        """Returns the address that a control process serves."""
        return self.ip(index), self.ports["control"]

    async def start(self, routes):
        """Starts everything and waits until each node is ready and knows the rest."""
        for program in (*self.controls, *self.nodes):
            await program.start()
        await self.configure(routes, "r1", 0)
        for server in self.servers:
            await server.start()
        for index in range(len(self.nodes)):
            await self.wait_until_ready(index)
        await asyncio.sleep(2.0)

    async def configure(self, routes, version, base):
        """Sends a configuration until it is acknowledged."""
        names = sorted(set(self.services))
        columns = "name host pathPrefix routeType timeoutS targetLatencyS priority"
        columns = [*columns.split(), "trafficSplit", "attempts", "service"]
        document = {
            "version": version,
            "routes": {"columns": columns, "rows": routes},
            "services": {
                "columns": ["name", "healthPath", "maxConns", "protocol", "tls"],
                "rows": [[name, "/health", 600, "h1", False] for name in names],
            },
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 67108864,
                "headerTimeoutS": 3,
                "idleTimeoutS": 15,
            }
            | self._limits,
            "baseVersion": base,
        }
        number = 0
        while True:
            address = self.control_address(number % CONTROL_COUNT)
            status, _ = await ask("PUT", address, "/config", document)
            if status == 200:
                self.record.note("acknowledged", version=version)
                return
            number += 1
            await asyncio.sleep(POLL_S)

    async def wait_until_ready(self, index):
        """Waits until a node is ready."""
        address = self.ip(CONTROL_COUNT + index), self.ports["ready"]
        while (await ask("GET", address, "/ready"))[0] != 200:
            await asyncio.sleep(POLL_S)

    async def end(self):
        """Ends all servers and processes."""
        for server in self.servers:
            server.stop()
        for program in (*self.controls, *self.nodes):
            await program.end()
        self._claim.close()

    def _settings(self, machine_class, number, service=None):
        ip, ports = self.ip(number), self.ports
        name = f"{machine_class}-{number}"
        own = {
            "nodeName": name,
            "role": "node" if service else "control",
            "machineClass": machine_class,
            "serves": ["sidecar" if service else "control_plane"],
            "ip": ip,
            "zone": "z",
            "region": "r",
            "countsAsLoss": service is None,
            "bootstrap": True,
        }
        if service:
            own |= {"appAddr": f"{ip}:{ports['app']}", "service": service}
        else:
            own["dataDir"] = str(self._folder / f"{name}.data")
        own["limits"] = {
            "cpuShare": 0.86,
            "cores": 2,
            "memoryMb": self._memory_mb,
            "maxFds": 4100,
            "linkMbps": 1000.0,
            "diskMb": 0 if service else 256,
        }
        seeds = [f"{self.ip(each)}:{ports['control']}" for each in range(CONTROL_COUNT)]
        listen = {
            key: f"{ip}:{ports[key]}"
            for key in ("inbound", "outbound", "ready", "control")
        }
        bounds = {"drainS": 2, "graceS": GRACE_S, "stableWindowS": 3}
        bounds |= {"retryBudgetRatio": 0.2, "retryWindowS": 10, "retryBudgetSlack": 55}
        bounds |= {"lossSlackS": 0.2, "configApplyS": 2, "recoveryS": 15}
        return {
            "self": own,
            "network": {
                "portRange": [ports["link"], ports["link"]],
                "seeds": seeds,
                "listen": listen,
                "zones": {"z": "r"},
            },
            "platform": {"discovery": "static", "entry": "static", "heartbeatS": 0.5},
            "terms": {
                "contracts": ["base", "drain", "config", "cost", "retry", "recover"],
                "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
                "bounds": bounds,
            },
        }


def claim_network():
    """Returns the number of an unused loopback network and the socket that holds it.

    The metrics port is fixed, so that runs at the same time need networks of their own.
    """
    for offset in range(NETWORK_COUNT):
        network = FIRST_NETWORK + (os.getpid() + offset) % NETWORK_COUNT
        claim = socket.socket()
        try:
            claim.bind((f"127.{network}.255.1", CLAIM_PORT))
            with socket.socket() as metrics:
                metrics.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                metrics.bind((f"127.{network}.0.1", METRICS_PORT))
        except OSError:
            claim.close()
            continue
        return network, claim
    raise OSError("all loopback networks are in use")


def free_ports(count):
    """Returns ports that nothing listens on."""
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind(("127.0.0.1", 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


@asynccontextmanager
async def deployment(services, folder, record, routes, memory_mb=300, limits=None):
    """Yields a running :class:`Deployment`.

    :param limits: entries of ``limits`` of the configuration that differ.
    """
    with tempfile.TemporaryDirectory() as temporary:
        deployed = Deployment(services, Path(temporary), record, memory_mb, limits)
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                await deployed.start(routes)
            yield deployed
        finally:
            await deployed.end()
            if kept := os.environ.get("KEEP_LOGS"):
                for log in Path(temporary).glob("*.log"):
                    (Path(kept) / log.name).write_bytes(log.read_bytes())


def run(play, folder):
    """Plays a case and exits with its result.

    :param play: coroutine function of a record and whether the disruption comes; it
        returns whether the rule was broken.
    """
    record = Record(folder)
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    try:

        async def bounded():
            async with asyncio.timeout(115):
                return await play(record, with_trouble)

        # SIGTERM ends the processes of the case as well.
        signal.signal(signal.SIGTERM, signal.default_int_handler)
        is_broken = asyncio.run(bounded())
    except (Exception, KeyboardInterrupt) as error:
        record.note("not-run", error=repr(error))
        print(f"the case could not run: {error!r}")
        sys.exit(NOT_RUN)
    record.note("result", broken=is_broken)
    print("the rule was broken" if is_broken else "the rule held")
    sys.exit(BROKEN if is_broken else HELD)

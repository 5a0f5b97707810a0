"""A stand-in upstream that executes requests in slots and calls other services.

Started as ``python -m bench.standin CONFIG`` with a JSON file of
:class:`StandinConfig`. Requests under ``/standin/`` are commands to the stand-in. The
header ``X-Plan`` of a request holds its :class:`StandinRoute` as JSON, so a replayed
trace needs no configured routes.
"""

import asyncio
import os
import random
import sys
import time
from collections import Counter
from typing import NotRequired, TypedDict

import msgspec
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders

from bench.client import HttpClient
from bench.responses import write_response

ANNOUNCE_PERIOD_S = 1.0
ANNOUNCE_PATH = "/.well-known/figpick/announce"
FILLER = b"figpick-" * 1024


class StandinCall(TypedDict):
    """A call that a route makes to another service."""

    service: str
    method: str
    path: str
    headers: NotRequired[dict]
    plan: NotRequired[dict]


class StandinRoute(TypedDict):
    """A route of a stand-in.

    :param prefix: prefix of the paths that use the route.
    :param service_ms: mean milliseconds of work in a slot, without calls.
    :param calls: calls made one after another while the slot is held.
    :param size: bytes of the response.
    :param attempts: attempts that the stand-in makes at each call.
    """

    prefix: str
    service_ms: float
    calls: NotRequired[list[StandinCall]]
    size: NotRequired[int]
    attempts: NotRequired[int]


class StandinConfig(TypedDict):
    """Configuration of one stand-in upstream.

    :param node_address: call address of the node on the same host.
    :param shed: whether requests get status 503 while all slots are busy.
    :param journal: file to which one line is appended for each execution and each
        call, so that they can be counted after the stand-in was killed.
    """

    service: str
    address: str
    node_address: str
    slots: int
    connections: int
    routes: list[StandinRoute]
    shed: NotRequired[bool]
    seed: NotRequired[int]
    journal: NotRequired[str]


class Standin:
    """An upstream with a number of slots and an adjustable service time.

    :param config: :class:`StandinConfig`.
    """

    def __init__(self, config):
        self._config = config
        self._slots = asyncio.Semaphore(config["slots"])
        self._client = HttpClient()
        self._random = random.Random(config.get("seed", 1))
        self._slow_factor = 1.0
        self._state = "ready"
        self._in_flight = 0
        self._executions_by_id = Counter()
        self._executions_by_request = Counter()
        self._execution_times = []
        self._journal = None
        if "journal" in config:
            self._journal = open(config["journal"], "ab", buffering=0)  # noqa: SIM115

    async def run(self):
        """Serves requests and announces itself until the process ends."""
        ip, port = self._config["address"].split(":")
        server = HTTPServer(self._handle_request, max_body_size=1 << 30)
        server.listen(int(port), ip)
        while True:
            await self._announce()
            await asyncio.sleep(ANNOUNCE_PERIOD_S)

    async def _announce(self):
        fields = ("service", "address", "slots", "connections")
        message = {name: self._config[name] for name in fields}
        message["state"] = self._state
        await self._client.request(
            self._config["node_address"],
            "POST",
            ANNOUNCE_PATH,
            body=msgspec.json.encode(message),
            timeout_s=1,
        )

    def _handle_request(self, request):
        task = asyncio.ensure_future(self._respond(request))
        request.connection.set_close_callback(task.cancel)

    async def _respond(self, request):
        if request.path.startswith("/standin/"):
            status, body = await self._handle_command(request)
        else:
            status, body = await self._execute(request)
        write_response(request, status, HTTPHeaders(), body)

    async def _execute(self, request):
        route = self._route(request)
        request_id = request.headers.get("X-Request", "")
        self._record("run", request_id, self._config["service"])
        if request.headers.get("X-Standin-Crash") == "yes":
            os._exit(1)
        self._executions_by_id[request_id] += 1
        self._executions_by_request[
            f"{request_id} {request.method} {request.path}"
        ] += 1
        self._execution_times.append(time.time())
        if self._config.get("shed") and self._slots.locked():
            return 503, b"busy"
        self._in_flight += 1
        try:
            async with self._slots:
                return await self._work(request, route, request_id)
        finally:
            self._in_flight -= 1

    async def _work(self, request, route, request_id):
        mean_s = route["service_ms"] / 1000 * self._slow_factor
        await asyncio.sleep(self._random.uniform(0.8, 1.2) * mean_s)
        for call in route.get("calls", ()):
            status = await self._call(request, call, route, request_id)
            if status != 200:
                return 503, b"a call below failed"
        size = route.get("size", 32)
        text = f"{request_id} {request.path} ".encode()
        return 200, (text + FILLER * (size // len(FILLER) + 1))[: max(size, len(text))]

    async def _call(self, request, call, route, request_id):
        headers = {
            "Host": call["service"],
            "X-Request": request_id,
            "Figpick-Context": request.headers.get("Figpick-Context", ""),
            **call.get("headers", {}),
        }
        if "plan" in call:
            headers["X-Plan"] = msgspec.json.encode(call["plan"]).decode()
        self._record("call", request_id, call["service"])
        for _ in range(route.get("attempts", 1)):
            response = await self._client.request(
                self._config["node_address"], call["method"], call["path"], headers
            )
            if response.status == 200:
                break
        return response.status

    def _record(self, kind, request_id, service):
        if self._journal is not None:
            line = f"{kind} {time.time():.6f} {request_id or '-'} {service}\n"
            self._journal.write(line.encode())

    def _route(self, request):
        plan = request.headers.get("X-Plan")
        if plan is not None:
            return msgspec.json.decode(plan)
        for route in self._config["routes"]:
            if request.path.startswith(route["prefix"]):
                return route
        return {"prefix": "/", "service_ms": 1}

    async def _handle_command(self, request):
        action = request.path.removeprefix("/standin/")
        if action == "slow":
            self._slow_factor = float(request.body)
        elif action == "state":
            self._state = request.body.decode()
            await self._announce()
        elif action == "crash":
            os._exit(1)
        stats = {
            "in_flight": self._in_flight,
            "executions": self._executions_by_id,
            "runs": self._executions_by_request,
            "started_at": self._execution_times,
        }
        return 200, msgspec.json.encode(stats)


def main(path):
    """Runs a stand-in with the configuration of a file."""
    with open(path, "rb") as file:
        config = msgspec.json.decode(file.read(), type=StandinConfig)
    asyncio.run(Standin(config).run())


if __name__ == "__main__":
    main(sys.argv[1])

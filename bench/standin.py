"""A stand-in upstream: runs requests in slots and calls other services.

Started as ``python -m bench.standin CONFIG``, a JSON file of
:class:`StandinConfig`. Requests under ``/standin/`` steer it. A request with the
header ``X-Plan`` carries its own :class:`StandinRoute` as JSON, so a replayed
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
from bench.serving import write_answer

ANNOUNCE_PERIOD_S = 1.0
ANNOUNCE_PATH = "/.well-known/figpick/announce"
CHUNK = b"figpick-" * 1024


class StandinCall(TypedDict):
    """A call that a route makes to another service."""

    service: str
    method: str
    path: str
    headers: NotRequired[dict]
    plan: NotRequired[dict]


class StandinRoute(TypedDict):
    """A route of a stand-in.

    :param prefix: start of the path.
    :param service_ms: mean milliseconds of work in a slot.
    :param calls: calls made in order while the slot is held.
    :param size: bytes of the answer.
    :param attempts: attempts that the application itself makes at each call.
    """

    prefix: str
    service_ms: float
    calls: NotRequired[list[StandinCall]]
    size: NotRequired[int]
    attempts: NotRequired[int]


class StandinConfig(TypedDict):
    """Configuration of one stand-in upstream.

    :param node_address: call address of the node beside it.
    :param shed: whether it answers 503 when all slots are busy.
    :param journal: file that gets one line for each execution and each call, so
        that they can be counted after the stand-in was killed.
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
    """One upstream with slots, a service time and a way to slow it.

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
        self._executions = Counter()
        self._runs = Counter()
        self._started_at = []
        self._journal = None
        if "journal" in config:
            self._journal = open(config["journal"], "ab", buffering=0)  # noqa: SIM115

    async def run(self):
        """Serves until the process is ended."""
        ip, port = self._config["address"].split(":")
        server = HTTPServer(self._receive, max_body_size=1 << 30)
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

    def _receive(self, request):
        task = asyncio.ensure_future(self._answer(request))
        request.connection.set_close_callback(task.cancel)

    async def _answer(self, request):
        if request.path.startswith("/standin/"):
            status, body = await self._steer(request)
        else:
            status, body = await self._execute(request)
        write_answer(request, status, HTTPHeaders(), body)

    async def _execute(self, request):
        route = self._route(request)
        identity = request.headers.get("X-Request", "")
        self._note("run", identity, self._config["service"])
        if request.headers.get("X-Standin-Crash") == "yes":
            os._exit(1)
        self._executions[identity] += 1
        self._runs[f"{identity} {request.method} {request.path}"] += 1
        self._started_at.append(time.time())
        if self._config.get("shed") and self._slots.locked():
            return 503, b"busy"
        self._in_flight += 1
        try:
            async with self._slots:
                return await self._work(request, route, identity)
        finally:
            self._in_flight -= 1

    async def _work(self, request, route, identity):
        mean_s = route["service_ms"] / 1000 * self._slow_factor
        await asyncio.sleep(self._random.uniform(0.8, 1.2) * mean_s)
        for call in route.get("calls", ()):
            status = await self._call(request, call, route, identity)
            if status != 200:
                return 503, b"a call below failed"
        size = route.get("size", 32)
        text = f"{identity} {request.path} ".encode()
        return 200, (text + CHUNK * (size // len(CHUNK) + 1))[: max(size, len(text))]

    async def _call(self, request, call, route, identity):
        headers = {
            "Host": call["service"],
            "X-Request": identity,
            "Figpick-Context": request.headers.get("Figpick-Context", ""),
            **call.get("headers", {}),
        }
        if "plan" in call:
            headers["X-Plan"] = msgspec.json.encode(call["plan"]).decode()
        self._note("call", identity, call["service"])
        for _ in range(route.get("attempts", 1)):
            answer = await self._client.request(
                self._config["node_address"], call["method"], call["path"], headers
            )
            if answer.status == 200:
                break
        return answer.status

    def _note(self, kind, identity, service):
        if self._journal is not None:
            line = f"{kind} {time.time():.6f} {identity or '-'} {service}\n"
            self._journal.write(line.encode())

    def _route(self, request):
        plan = request.headers.get("X-Plan")
        if plan is not None:
            return msgspec.json.decode(plan)
        for route in self._config["routes"]:
            if request.path.startswith(route["prefix"]):
                return route
        return {"prefix": "/", "service_ms": 1}

    async def _steer(self, request):
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
            "executions": self._executions,
            "runs": self._runs,
            "started_at": self._started_at,
        }
        return 200, msgspec.json.encode(stats)


def main(path):
    """Runs the stand-in of a configuration file."""
    with open(path, "rb") as file:
        config = msgspec.json.decode(file.read(), type=StandinConfig)
    asyncio.run(Standin(config).run())


if __name__ == "__main__":
    main(sys.argv[1])

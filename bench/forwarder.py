"""Plain forwarding with three attempts per layer, the baseline of experiments.

Started in place of a node as ``python -m bench.forwarder CONFIG`` with a JSON file of
:class:`ForwarderConfig`.
"""

import asyncio
import random
import sys
from typing import TypedDict

import msgspec
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders

from bench.client import HttpClient
from bench.cluster import READY_TIMEOUT_S, Cluster, wait_for
from bench.responses import write_response
from bench.standin import ANNOUNCE_PATH

ATTEMPTS = 3
ATTEMPT_TIMEOUT_S = 3.0
DROPPED_HEADERS = frozenset(("Connection", "Content-Length", "Transfer-Encoding"))


class ForwarderConfig(TypedDict):
    """Configuration of one forwarder.

    :param address: ``ip:port`` on which the forwarder accepts calls.
    :param own: service of calls whose ``Host`` is not the name of a service.
    :param services: upstream addresses of each service.
    """

    address: str
    own: str
    services: dict[str, list[str]]


class Forwarder:
    """Forwards each call to a random upstream, with up to three attempts.

    :param config: :class:`ForwarderConfig`.
    """

    def __init__(self, config):
        self._config = config
        self._client = HttpClient()

    async def run(self):
        """Serves calls until the process ends."""
        ip, port = self._config["address"].split(":")
        server = HTTPServer(self._handle_request, max_body_size=1 << 30)
        server.listen(int(port), ip)
        await asyncio.Event().wait()

    def _handle_request(self, request):
        task = asyncio.ensure_future(self._respond(request))
        request.connection.set_close_callback(task.cancel)

    async def _respond(self, request):
        if request.path == ANNOUNCE_PATH:
            write_response(request, 200, HTTPHeaders(), b"{}")
            return
        response = None
        for _ in range(ATTEMPTS):
            response = await self._forward(request)
            if 0 < response.status < 500:
                break
        headers = _copy_headers(response.headers)
        write_response(request, response.status or 502, headers, response.body)

    async def _forward(self, request):
        host = request.headers.get("Host", "").partition(":")[0]
        services = self._config["services"]
        addresses = services.get(host) or services[self._config["own"]]
        return await self._client.request(
            random.choice(addresses),
            request.method,
            request.uri,
            _copy_headers(request.headers),
            request.body,
            ATTEMPT_TIMEOUT_S,
        )


def _copy_headers(headers):
    copied = HTTPHeaders()
    for name, value in headers.get_all():
        if name not in DROPPED_HEADERS:
            copied.add(name, value)
    return copied


class ForwarderCluster(Cluster):
    """A cluster whose hosts run a plain forwarder instead of a node."""

    def __init__(self, services, data_centers=3):
        super().__init__(services, 0, data_centers)

    async def __aenter__(self):
        try:
            self._start_all()
            await wait_for(self._is_responding, READY_TIMEOUT_S)
        except BaseException:
            self.stop_all()
            raise
        return self

    async def _is_responding(self):
        for host in self.hosts:
            if await self.send_command(host, "stats") is None:
                return False
            response = await self.client.request(
                host.call_address, "POST", ANNOUNCE_PATH, (), b"{}"
            )
            if response.status != 200:
                return False
        return True

    def _add_node(self, host, settings):
        services = {}
        for each in self.hosts:
            services.setdefault(each.service, []).append(each.upstream_address)
        config = {
            "address": host.call_address,
            "own": host.service,
            "services": services,
        }
        self._add_command(host.name, "bench.forwarder", [], config)


def main(path):
    """Runs a forwarder with the configuration of a file."""
    with open(path, "rb") as file:
        config = msgspec.json.decode(file.read(), type=ForwarderConfig)
    asyncio.run(Forwarder(config).run())


if __name__ == "__main__":
    main(sys.argv[1])

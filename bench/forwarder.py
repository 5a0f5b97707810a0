"""A plain forwarder: the baseline without any decision of figpick.

Started as ``python -m bench.forwarder CONFIG``, a JSON file of
:class:`ForwarderConfig`, in the place of a node. It forwards each call to the
upstreams of the service in turn, makes three attempts, and limits nothing.
"""

import asyncio
import itertools
import sys
from typing import TypedDict

import msgspec
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, ResponseStartLine, responses
from tornado.iostream import StreamClosedError

from bench.client import HttpClient

ATTEMPTS = 3
TIMEOUT_S = 1.5
ANNOUNCE_PATH = "/.well-known/figpick/announce"


class ForwarderConfig(TypedDict):
    """Configuration of one forwarder.

    :param address: ``ip:port`` on which it takes calls.
    :param upstreams: addresses of the upstreams by service.
    """

    address: str
    upstreams: dict[str, list[str]]


class Forwarder:
    """Forwards calls round robin.

    :param config: :class:`ForwarderConfig`.
    """

    def __init__(self, config):
        self._config = config
        self._client = HttpClient()
        self._turns = {
            service: itertools.cycle(addresses)
            for service, addresses in config["upstreams"].items()
        }

    async def run(self):
        """Serves until the process is ended."""
        ip, port = self._config["address"].split(":")
        HTTPServer(self._receive, max_body_size=1 << 30).listen(int(port), ip)
        await asyncio.Event().wait()

    def _receive(self, request):
        task = asyncio.ensure_future(self._answer(request))
        request.connection.set_close_callback(task.cancel)

    async def _answer(self, request):
        if request.path == ANNOUNCE_PATH:
            self._write(request, 200, b"{}")
            return
        headers = {
            name: value
            for name, value in request.headers.get_all()
            if name.startswith(("X-", "Host", "Idempotency-"))
        }
        turns = self._turns[request.headers["Host"]]
        for _ in range(ATTEMPTS):
            answer = await self._client.request(
                next(turns),
                request.method,
                request.uri,
                headers,
                request.body,
                TIMEOUT_S,
            )
            if answer.status == 200:
                break
        self._write(request, answer.status or 504, answer.body)

    def _write(self, request, status, body):
        headers = HTTPHeaders()
        headers["Content-Length"] = str(len(body))
        line = ResponseStartLine("HTTP/1.1", status, responses[status])
        try:
            request.connection.write_headers(line, headers, body)
            request.connection.finish()
        except StreamClosedError:
            pass


def main(path):
    """Runs the forwarder of a configuration file."""
    with open(path, "rb") as file:
        config = msgspec.json.decode(file.read(), type=ForwarderConfig)
    asyncio.run(Forwarder(config).run())


if __name__ == "__main__":
    main(sys.argv[1])

"""A TCP proxy that injects faults between a node and an upstream.

Runs inside a process, or as ``python -m bench.faultproxy CONFIG`` with a JSON file of
:class:`ProxyConfig`. The process accepts commands as ``POST /<action>`` on its control
address, with a JSON object of keyword arguments. Actions are the methods of
:class:`FaultProxy` that ``ACTIONS`` lists.
"""

import asyncio
import random
import socket
import struct
import sys
from typing import NotRequired, TypedDict

import msgspec
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, ResponseStartLine
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpserver import TCPServer

READ_BYTES = 64 * 1024
# Value of SO_LINGER with which closing a socket resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
TO_SERVER = "up"
TO_CLIENT = "down"
ACTIONS = ("configure", "silence", "silence_share", "cut", "reset", "stats")


class ProxyConfig(TypedDict):
    """Configuration of one proxy process.

    :param listen: ``ip:port`` on which connections are accepted.
    :param target: ``ip:port`` to which they are forwarded.
    :param control: ``ip:port`` on which commands are accepted.
    :param delay_ms: milliseconds by which each direction is delayed.
    """

    listen: str
    target: str
    control: str
    delay_ms: NotRequired[float]


class Link:
    """A proxied connection.

    :param client: stream from the node.
    """

    def __init__(self, client):
        self.client = client
        self.server = None
        self.silenced_directions = set()
        self.cut_after_bytes = None
        self.reset_on_close = False
        self.forwarded_bytes = {TO_SERVER: 0, TO_CLIENT: 0}
        self.deliver_at = {TO_SERVER: 0.0, TO_CLIENT: 0.0}

    def close(self, reset=False):
        """Closes both sides.

        :param reset: whether to reset the connections.
        """
        for stream in (self.client, self.server):
            if stream is None or stream.closed():
                continue
            if reset:
                level, option = socket.SOL_SOCKET, socket.SO_LINGER
                stream.socket.setsockopt(level, option, RESET_ON_CLOSE)
            stream.close()


class FaultProxy(TCPServer):
    """Forwards connections to one target and injects faults.

    :param target: ``ip:port``.
    :param on_link: callback for each new :class:`Link`, or ``None``.
    """

    def __init__(self, target, on_link=None):
        super().__init__()
        ip, port = target.split(":")
        self._target = (ip, int(port))
        self._on_link = on_link
        self._delay_s = 0.0
        self._bytes_per_s = None
        self._accepts_connections = True
        self._silence_on = None
        self._links = set()
        self._tasks = set()
        self._silenced_count = 0

    @property
    def links(self):
        """The open connections."""
        return self._links

    def configure(self, delay_ms=None, bytes_per_s=None, accepts=None, silence_on=None):
        """Changes the settings of the proxy. ``None`` leaves a setting unchanged.

        :param delay_ms: milliseconds by which each direction is delayed.
        :param bytes_per_s: maximum rate of each direction, 0 for no limit.
        :param accepts: whether new connections are accepted.
        :param silence_on: text that silences a connection when a request contains it.
        """
        if delay_ms is not None:
            self._delay_s = delay_ms / 1000
        if bytes_per_s is not None:
            self._bytes_per_s = bytes_per_s or None
        if accepts is not None:
            self._accepts_connections = accepts
        if silence_on is not None:
            self._silence_on = silence_on.encode()

    def silence(self, directions=(TO_SERVER, TO_CLIENT)):
        """Drops all further data of the open connections, which stay open.

        :param directions: directions in which data is dropped.
        :return: number of open connections.
        """
        for link in self._links:
            link.silenced_directions.update(directions)
        self._silenced_count += len(self._links)
        return len(self._links)

    def silence_share(self, share, seed=1):
        """Silences each open connection with the probability ``share``."""
        rng = random.Random(seed)
        for link in self._links:
            if not link.silenced_directions and rng.random() < share:
                link.silenced_directions.update((TO_SERVER, TO_CLIENT))
                self._silenced_count += 1

    def cut(self):
        """Closes all open connections."""
        for link in list(self._links):
            link.close()

    def reset(self):
        """Resets all open connections."""
        for link in list(self._links):
            link.close(reset=True)

    def stats(self):
        """Returns the numbers of open and of silenced connections."""
        return {"open": len(self._links), "silenced": self._silenced_count}

    async def handle_stream(self, stream, address):
        if not self._accepts_connections:
            stream.close()
            return
        link = Link(stream)
        self._links.add(link)
        try:
            link.server = IOStream(socket.socket())
            await link.server.connect(self._target)
        except StreamClosedError:
            link.close(reset=True)
            self._links.discard(link)
            return
        for side in (link.client, link.server):
            side.set_nodelay(True)
        if self._on_link is not None:
            self._on_link(link)
        self._start(self._pump(link, TO_SERVER, link.client, link.server))
        self._start(self._pump(link, TO_CLIENT, link.server, link.client))

    def _start(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _pump(self, link, direction, source, sink):
        try:
            while True:
                data = await source.read_bytes(READ_BYTES, partial=True)
                await self._forward(link, direction, sink, data)
        except StreamClosedError:
            pass
        if source.error is not None:
            link.reset_on_close = True
        self._links.discard(link)
        if not link.silenced_directions:
            delay_s = link.deliver_at[direction] - _now()
            if delay_s > 0:
                await asyncio.sleep(delay_s)
            link.close(reset=link.reset_on_close)

    async def _forward(self, link, direction, sink, data):
        limit = link.cut_after_bytes if direction == TO_CLIENT else None
        if limit is not None and link.forwarded_bytes[direction] + len(data) > limit:
            data = data[: limit - link.forwarded_bytes[direction]]
        link.forwarded_bytes[direction] += len(data)
        if direction == TO_SERVER and self._silence_on and self._silence_on in data:
            link.silenced_directions.update((TO_SERVER, TO_CLIENT))
        if direction not in link.silenced_directions:
            await self._write(link, direction, sink, data)
        if limit is not None and link.forwarded_bytes[direction] >= limit:
            await asyncio.sleep(max(0, link.deliver_at[direction] - _now()))
            link.close(reset=link.reset_on_close)

    async def _write(self, link, direction, sink, data):
        if self._bytes_per_s is not None:
            await asyncio.sleep(len(data) / self._bytes_per_s)
        if self._delay_s == 0 and link.deliver_at[direction] <= _now():
            await sink.write(data)
            return
        deliver_at = max(_now() + self._delay_s, link.deliver_at[direction])
        link.deliver_at[direction] = deliver_at
        asyncio.get_running_loop().call_at(deliver_at, self._deliver, link, sink, data)

    def _deliver(self, link, sink, data):
        if not sink.closed() and not link.silenced_directions:
            sink.write(data)


def _now():
    return asyncio.get_running_loop().time()


async def serve(config):
    """Runs a proxy and its command server until the process ends.

    :param config: :class:`ProxyConfig`.
    """
    proxy = FaultProxy(config["target"])
    proxy.configure(delay_ms=config.get("delay_ms"))
    ip, port = config["listen"].split(":")
    proxy.listen(int(port), ip)
    control = HTTPServer(lambda request: _handle_command(proxy, request))
    ip, port = config["control"].split(":")
    control.listen(int(port), ip)
    await asyncio.Event().wait()


def _handle_command(proxy, request):
    action = request.path.removeprefix("/")
    arguments = msgspec.json.decode(request.body or b"{}")
    status, result = 404, {"error": f"unknown action {action!r}"}
    if action in ACTIONS:
        status, result = 200, getattr(proxy, action)(**arguments)
    body = msgspec.json.encode(result)
    headers = HTTPHeaders({"Content-Length": str(len(body))})
    line = ResponseStartLine("HTTP/1.1", status, "")
    request.connection.write_headers(line, headers, body)
    request.connection.finish()


def main(path):
    """Runs a proxy with the configuration of a file."""
    with open(path, "rb") as file:
        config = msgspec.json.decode(file.read(), type=ProxyConfig)
    asyncio.run(serve(config))


if __name__ == "__main__":
    main(sys.argv[1])

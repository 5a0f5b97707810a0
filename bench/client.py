"""HTTP client with persistent connections, for load generators and stand-ins."""

import asyncio
import time
from typing import NamedTuple

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders, HTTPMessageDelegate, RequestStartLine
from tornado.iostream import StreamClosedError

from figpick.messaging._connections import CONNECTION_PARAMETERS, ConnectionPool


class Response(NamedTuple):
    """A response, complete or not.

    :param status: HTTP status; 0 when no complete response was received.
    """

    status: int
    headers: HTTPHeaders
    body: bytes

    @property
    def outcome(self):
        """Value of ``Figpick-Outcome``; empty for a response of an upstream."""
        return self.headers.get("Figpick-Outcome", "")


class HttpClient:
    """Sends requests over persistent connections."""

    def __init__(self):
        self._pools = {}

    async def request(self, address, method, path, headers=(), body=b"", timeout_s=30):
        """Sends a request.

        :param address: ``ip:port``.
        :param headers: mapping of headers, or pairs of name and value.
        :param timeout_s: seconds after which the connection is closed.
        :return: :class:`Response`; its status is 0 when no complete response was
            received.
        """
        pool = self._pools.setdefault(address, ConnectionPool(address))
        connection = None
        collector = _ResponseCollector()
        try:
            async with asyncio.timeout(timeout_s):
                connection = pool.take_idle(time.monotonic())
                if connection is None:
                    connection = await pool.connect(time.monotonic())
                await _send(connection, method, path, headers, body, collector)
        except (StreamClosedError, TimeoutError):
            collector.is_complete = False
        except asyncio.CancelledError:
            if connection is not None:
                connection.close()
            raise
        if collector.is_complete and not collector.closes_connection:
            pool.put_back(connection, time.monotonic())
        elif connection is not None:
            connection.close()
        return collector.response()

    def close(self):
        """Closes the idle connections."""
        for pool in self._pools.values():
            pool.close_idle()


async def _send(connection, method, path, headers, body, collector):
    http = HTTP1Connection(connection.stream, True, CONNECTION_PARAMETERS)
    all_headers = HTTPHeaders(headers)
    if "Host" not in all_headers:
        all_headers["Host"] = "127.0.0.1"
    if body or method in ("POST", "PUT", "PATCH"):
        all_headers["Content-Length"] = str(len(body))
    start_line = RequestStartLine(method, path, "HTTP/1.1")
    http.write_headers(start_line, all_headers, body or None)
    http.finish()
    await http.read_response(collector)


class _ResponseCollector(HTTPMessageDelegate):
    def __init__(self):
        self.is_complete = False
        self.closes_connection = False
        self._status = 0
        self._headers = HTTPHeaders()
        self._chunks = []

    def headers_received(self, start_line, headers):
        self._status = start_line.code
        self._headers = headers
        self.closes_connection = headers.get("Connection", "").lower() == "close"

    def data_received(self, chunk):
        self._chunks.append(chunk)

    def finish(self):
        self.is_complete = True

    def on_connection_close(self):
        self.is_complete = False

    def response(self):
        status = self._status if self.is_complete else 0
        return Response(status, self._headers, b"".join(self._chunks))

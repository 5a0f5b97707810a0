"""An upstream whose responses can be compared byte by byte.

``GET /body/<size>/<framing>/<seed>`` returns the bytes of :func:`make_body`;
``framing`` is ``length``, ``tagged`` (with a strong ETag and ranges), ``chunked`` or
``close``. Any other path, as with ``POST``, returns the size and the digest of the
request body. ``?ms=N`` delays the response by N milliseconds.
"""

import asyncio
import hashlib
from collections import Counter

from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    ResponseStartLine,
    responses,
)
from tornado.iostream import StreamClosedError

CHUNK_BYTES = 64 * 1024
MAX_BODY_BYTES = 1 << 40


def make_body(seed, start, size):
    """Returns bytes ``start`` to ``start + size`` of the body of a seed.

    :param seed: integer that selects the body.
    """
    unit = hashlib.blake2b(str(seed).encode(), digest_size=61).digest()
    first = start % len(unit)
    repeats = (first + size) // len(unit) + 1
    return (unit * repeats)[first : first + size]


class Origin(HTTPServerConnectionDelegate):
    """Serves bodies and counts executions by the header ``X-Request``."""

    def __init__(self):
        self.executions = Counter()
        self.completed = Counter()
        self.in_flight = 0
        self._server = HTTPServer(
            self, chunk_size=CHUNK_BYTES, max_body_size=MAX_BODY_BYTES
        )

    def listen(self, address):
        """Starts serving on ``ip:port``."""
        ip, port = address.split(":")
        self._server.listen(int(port), ip)

    async def stop(self):
        """Stops serving and closes the connections."""
        self._server.stop()
        await self._server.close_all_connections()

    def start_request(self, server_conn, request_conn):
        return _Request(self, request_conn)

    def on_close(self, server_conn):
        pass


class _Request(HTTPMessageDelegate):
    def __init__(self, origin, connection):
        self._origin = origin
        self._connection = connection
        self._digest = hashlib.blake2b(digest_size=16)
        self._size = 0
        self._start_line = None
        self._headers = None

    def headers_received(self, start_line, headers):
        self._start_line = start_line
        self._headers = headers
        request_id = headers.get("X-Request")
        if request_id is not None:
            self._origin.executions[request_id] += 1

    def data_received(self, chunk):
        self._size += len(chunk)
        self._digest.update(chunk)

    def finish(self):
        task = asyncio.ensure_future(self._respond())
        self._connection.set_close_callback(task.cancel)

    def on_connection_close(self):
        pass

    async def _respond(self):
        self._origin.in_flight += 1
        try:
            path, _, query = self._start_line.path.partition("?")
            if query.startswith("ms="):
                await asyncio.sleep(float(query[3:]) / 1000)
            if path.startswith("/body/"):
                size, framing, seed = path.split("/")[2:5]
                await self._send_body(int(size), framing, int(seed))
            else:
                self._send(200, {}, f"{self._size} {self._digest.hexdigest()}".encode())
            self._origin.completed[self._headers.get("X-Request")] += 1
        except StreamClosedError:
            pass
        finally:
            self._origin.in_flight -= 1

    def _send(self, status, headers, body):
        headers = HTTPHeaders(headers)
        headers["Content-Length"] = str(len(body))
        line = ResponseStartLine("HTTP/1.1", status, responses[status])
        head_only = self._start_line.method == "HEAD"
        self._connection.write_headers(line, headers, None if head_only else body)
        self._connection.finish()

    async def _send_body(self, size, framing, seed):
        status, start, headers = 200, 0, HTTPHeaders()
        if framing == "tagged":
            headers["Etag"] = f'"{seed}-{size}"'
            requested_range = self._headers.get("Range", "")
            if requested_range and self._headers.get("If-Range") == headers["Etag"]:
                status, start = 206, int(requested_range[6:-1])
                headers["Content-Range"] = f"bytes {start}-{size - 1}/{size}"
        if framing in ("length", "tagged"):
            headers["Content-Length"] = str(size - start)
        if framing == "close":
            await self._send_until_close(size, seed)
            return
        line = ResponseStartLine("HTTP/1.1", status, responses[status])
        self._connection.write_headers(line, headers)
        if self._start_line.method != "HEAD":
            await self._write_chunks(self._connection.write, start, size, seed)
        self._connection.finish()

    async def _write_chunks(self, write, start, size, seed):
        while start < size:
            chunk = make_body(seed, start, min(CHUNK_BYTES, size - start))
            await write(chunk)
            start += len(chunk)

    async def _send_until_close(self, size, seed):
        stream = self._connection.stream
        await stream.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n")
        await self._write_chunks(stream.write, 0, size, seed)
        stream.close()

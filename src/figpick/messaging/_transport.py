"""Messages between figpick processes, sent as signed HTTP POSTs with JSON."""

import asyncio
from functools import singledispatch

import msgspec
from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
    responses,
)
from tornado.iostream import StreamClosedError

from ..base._errors import (
    AuthenticationError,
    ConflictError,
    FigpickError,
    InvalidDocumentError,
    NoQuorumError,
    PeerRefusedError,
    PeerUnreachableError,
)
from ..base._logs import logger
from ..base._settings import split_address
from . import _auth
from ._connections import CHUNK_BYTES, ConnectionPool

PATH_PREFIX = "/peer/"
DEFAULT_TIMEOUT_S = 1.0
MAX_PEER_IDLE_S = 5.0
# Messages of these kinds are sent to random processes. Pooled connections would
# rarely be reused, and after a burst of updates each process would hold hundreds of
# open connections.
UNPOOLED_KINDS = frozenset(("news", "ping", "probe"))
SERVER_IDLE_TIMEOUT_S = 60.0
# Each read allocates a buffer of this size; most messages are smaller than 1 KiB.
READ_BYTES = 8 * 1024
# Limit for a message and for a reply.
MAX_MESSAGE_BYTES = 64 * 1024 * 1024
# Time from the head of a message to its end.
MESSAGE_TIMEOUT_S = 60.0
REPLY_PARAMETERS = HTTP1ConnectionParameters(
    chunk_size=CHUNK_BYTES, max_body_size=MAX_MESSAGE_BYTES
)

log = logger("transport")


class PeerClient:
    """Sends messages to other processes over pooled connections.

    :param authenticator: :class:`Authenticator` that signs messages.
    :param clock: :class:`Clock`.
    """

    def __init__(self, authenticator, clock):
        self._authenticator = authenticator
        self._clock = clock
        self._pools = {}
        self._listeners = []
        self.sent_count = 0
        self.sent_bytes = 0
        self.received_bytes = 0

    def add_listener(self, listener):
        """Registers ``listener(address, kind, has_reply)`` for sent messages."""
        self._listeners.append(listener)

    async def send(self, address, kind, message, timeout_s=DEFAULT_TIMEOUT_S):
        """Sends a message and waits for the reply.

        :param address: peer address, ``ip:port``.
        :param kind: message kind, such as ``gossip``.
        :param message: JSON value.
        :param timeout_s: seconds to wait.
        :return: decoded JSON reply.
        :raises PeerUnreachableError: when no reply arrives in time.
        :raises PeerRefusedError: when the peer replies with an error.
        """
        try:
            async with asyncio.timeout(timeout_s):
                status, body = await self._exchange(address, kind, message)
        except (StreamClosedError, TimeoutError) as error:
            self._notify_listeners(address, kind, False)
            raise PeerUnreachableError(f"{address} did not answer {kind}") from error
        self._notify_listeners(address, kind, True)
        if status != 200:
            raise PeerRefusedError(status, body)
        return body

    def close_idle(self, now):
        """Closes the connections that have been idle for too long.

        :param now: monotonic seconds.
        """
        for address, pool in list(self._pools.items()):
            if not pool.close_idle_before(now - MAX_PEER_IDLE_S):
                del self._pools[address]

    def close(self):
        """Closes all idle connections."""
        for pool in self._pools.values():
            pool.close_idle()

    def _notify_listeners(self, address, kind, has_reply):
        for listener in self._listeners:
            listener(address, kind, has_reply)

    async def _exchange(self, address, kind, message):
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools[address] = ConnectionPool(address, READ_BYTES)
        connection = pool.take_idle(self._clock.monotonic())
        if connection is not None:
            try:
                return await self._exchange_on(connection, address, kind, message)
            except StreamClosedError:
                # The peer may have restarted, which is detected only on use.
                pool.close_idle()
        connection = await pool.connect(self._clock.monotonic())
        return await self._exchange_on(connection, address, kind, message)

    async def _exchange_on(self, connection, address, kind, message):
        try:
            reply = await self._post(connection, kind, message)
        except BaseException:
            connection.close()
            raise
        if connection.is_new and kind in UNPOOLED_KINDS:
            connection.close()
            return reply.status, reply.decode()
        now = self._clock.monotonic()
        pool = self._pools.setdefault(address, ConnectionPool(address, READ_BYTES))
        pool.put_back(connection, now)
        return reply.status, reply.decode()

    async def _post(self, connection, kind, message):
        path = PATH_PREFIX + kind
        body = msgspec.json.encode(message)
        signature = self._authenticator.sign("POST", path, body, self._clock.wall())
        headers = HTTPHeaders()
        headers["Host"] = "figpick"
        headers["Content-Length"] = str(len(body))
        headers[_auth.HEADER] = signature
        http = HTTP1Connection(connection.stream, True, REPLY_PARAMETERS)
        http.write_headers(RequestStartLine("POST", path, "HTTP/1.1"), headers, body)
        http.finish()
        reply = _ReplyReader()
        await http.read_response(reply)
        if not reply.is_complete:
            raise StreamClosedError()
        self.sent_count += 1
        self.sent_bytes += len(body)
        self.received_bytes += reply.size
        return reply


class _ReplyReader(HTTPMessageDelegate):
    """Collects the reply to a message."""

    def __init__(self):
        self.status = 0
        self.is_complete = False
        self.size = 0
        self._chunks = []

    def headers_received(self, start_line, headers):
        self.status = start_line.code

    def data_received(self, chunk):
        self.size += len(chunk)
        self._chunks.append(chunk)

    def finish(self):
        self.is_complete = True

    def decode(self):
        return msgspec.json.decode(b"".join(self._chunks))


class PeerServer:
    """Receives messages from other processes and operators.

    :param address: ``ip:port`` to listen on.
    :param authenticator: :class:`Authenticator` that verifies messages.
    :param clock: :class:`Clock`.
    """

    def __init__(self, address, authenticator, clock):
        self._address = address
        self._authenticator = authenticator
        self._clock = clock
        self._handlers = {}
        self._server = None
        self._tasks = set()
        self.received_count = 0
        self.received_bytes = 0
        self.sent_bytes = 0

    def set_handler(self, kind, handler):
        """Sets the handler of a message kind.

        :param handler: coroutine function that takes the decoded message and
            returns the reply as a JSON value.
        """
        self._handlers[kind] = handler

    def start(self):
        """Starts listening."""
        ip, port = split_address(self._address)
        self._server = HTTPServer(
            self._receive,
            chunk_size=READ_BYTES,
            max_body_size=MAX_MESSAGE_BYTES,
            idle_connection_timeout=SERVER_IDLE_TIMEOUT_S,
            body_timeout=MESSAGE_TIMEOUT_S,
        )
        self._server.listen(port, ip)

    async def stop(self):
        """Stops listening and closes all connections."""
        if self._server is not None:
            self._server.stop()
            await self._server.close_all_connections()

    def _receive(self, request):
        task = asyncio.ensure_future(self._handle_request(request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _handle_request(self, request):
        try:
            reply = await self._dispatch(request)
            status = 200
        except FigpickError as error:
            status, reply = error_reply(error)
        except Exception:
            log.exception("Handler of {} failed.", request.path)
            status, reply = 500, {"error": "internal error"}
        self._write(request.connection, status, msgspec.json.encode(reply))

    async def _dispatch(self, request):
        self._authenticator.verify(
            request.headers.get(_auth.HEADER),
            request.method,
            request.path,
            request.body,
            self._clock.wall(),
        )
        self.received_count += 1
        self.received_bytes += len(request.body)
        handler = self._handlers.get(request.path.removeprefix(PATH_PREFIX))
        if handler is None:
            raise PeerRefusedError(404, {"error": f"no handler for {request.path}"})
        try:
            message = msgspec.json.decode(request.body or b"null")
        except msgspec.DecodeError as error:
            raise PeerRefusedError(400, {"error": str(error)}) from error
        return await handler(message)

    def _write(self, connection, status, body):
        self.sent_bytes += len(body)
        headers = HTTPHeaders()
        headers["Content-Type"] = "application/json"
        headers["Content-Length"] = str(len(body))
        start_line = ResponseStartLine("HTTP/1.1", status, responses.get(status, ""))
        try:
            connection.write_headers(start_line, headers, body)
            connection.finish()
        except StreamClosedError:
            pass


@singledispatch
def error_reply(error):
    """Translates an error into the status and body of a reply.

    :return: tuple of HTTP status and JSON value.
    """
    return 500, {"error": str(error)}


@error_reply.register
def _(error: PeerRefusedError):
    return error.status, error.body


@error_reply.register
def _(error: AuthenticationError):
    return 401, {"error": str(error)}


@error_reply.register
def _(error: ConflictError):
    return 409, {"error": str(error), "current": error.current}


@error_reply.register
def _(error: NoQuorumError):
    return 503, {"error": str(error)}


@error_reply.register
def _(error: InvalidDocumentError):
    return 400, {"error": str(error), "faults": error.faults}

"""Asks the upstream on the host of a node which instance it is."""

import asyncio
import re
from typing import NamedTuple

from ..base._logs import logger

# Upstreams wait one second for the acknowledgement of a report.
RESPONSE_TIMEOUT_S = 0.5
STATUS_OK = 200
STATUS_MISDIRECTED = 421
# RFC 9112: the target of a request in origin form.
TARGET = re.compile(r"/[\x21-\x7e]*")

log = logger("owner")


class IdentityResponse(NamedTuple):
    """What the upstream responded.

    :param asked: identity that the request was addressed to.
    :param stated: identity that the response states, ``None`` without one.
    :param status: HTTP status of the response, 0 without a response.
    """

    asked: str
    stated: str | None = None
    status: int = 0

    @property
    def is_ready(self):
        """Whether the upstream says that it is healthy and not leaving."""
        return self.status == STATUS_OK

    def confirms(self, instance):
        """Returns whether the upstream has an identity, ``None`` if that is open."""
        if self.stated is not None:
            return self.stated == instance
        if self.status == STATUS_MISDIRECTED and self.asked == instance:
            return False
        return None


class IdentityCheck:
    """Sends health checks, at most one at a time.

    :param pool: :class:`~figpick.nodes._upstream.UpstreamPool`.
    :param names: :class:`~figpick.wire.HeaderNames`.
    """

    def __init__(self, pool, names):
        self._pool = pool
        self._names = names
        self._task = None

    def __repr__(self):
        return f"<IdentityCheck {'running' if self._task else 'idle'}>"

    async def ask(self, instance, path):
        """Asks the upstream for its identity.

        All callers share a check that is running, since the response states who runs.

        :param instance: identity to which the request is addressed.
        :param path: path of the health check.
        :return: :class:`IdentityResponse`.
        :raises ConnectionRefusedError: if nothing listens at the address.
        """
        if not TARGET.fullmatch(path):
            log.warning("The path of the health check is not valid.")
            return IdentityResponse(instance)
        if self._task is None:
            self._task = asyncio.ensure_future(self._ask(instance, path))
            self._task.add_done_callback(self._forget)
        return await asyncio.shield(self._task)

    def _forget(self, task):
        self._task = None
        if not task.cancelled():
            # The error belongs to the callers, which may all have gone.
            task.exception()

    async def _ask(self, instance, path):
        connection = None
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                connection = await self._pool.connect()
                exchange = _HealthExchange()
                head = (
                    f"GET {path} HTTP/1.1\r\nHost: {self._pool.host}\r\n"
                    f"{self._names.instance.decode()}: {instance}\r\n\r\n"
                )
                connection.start(exchange, head.encode(), None, False)
                reader = await exchange.response
        except ConnectionRefusedError:
            raise
        except (OSError, TimeoutError):
            return IdentityResponse(instance)
        finally:
            if connection is not None:
                connection.close()
        stated = reader.header(self._names.responding_instance)
        if stated is not None:
            stated = stated.decode("utf-8", "replace")
        return IdentityResponse(instance, stated, reader.status)


class _HealthExchange:
    """Waits for the head of a response."""

    def __init__(self):
        self.response = asyncio.get_running_loop().create_future()

    def on_response(self, reader):
        """Handles received bytes of the response."""
        if not self.response.done():
            self.response.set_result(reader)

    def on_connection_lost(self, reason):
        """Handles a connection that was lost before the response."""
        if not self.response.done():
            self.response.set_exception(ConnectionResetError(reason))

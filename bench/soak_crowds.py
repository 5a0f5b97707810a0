"""Clients of the soak that keep to no limit, beside those that do."""

import asyncio
import random
import time

CROWD_SIZE = (4, 12)
PAUSE_S = (0.2, 2.0)
HOLD_S = (0.5, 6.0)
BODY_BYTES = 400_000
ODD_LINES = b"a:\r\n" * 2000


def _head(service, extra):
    return b"POST /%b/once/crowd HTTP/1.1\r\nHost: soak\r\n%b" % (
        service.encode(),
        extra,
    )


def make_shapes(service):
    """Returns what hostile clients send, none of it a whole request."""
    length = b"Content-Length: %d\r\n\r\n"
    chunked = b"Transfer-Encoding: chunked\r\n\r\n"
    return [
        b"",
        _head(service, ODD_LINES),
        _head(service, length % BODY_BYTES) + bytes(BODY_BYTES - 1),
        _head(service, length % 99_000_000_000),
        _head(service, chunked) + b"1\r\nx\r\n" * 5000,
        _head(service, chunked) + b"1\r\nx\r\n0\r\n" + ODD_LINES,
        b"\0" * 1000,
    ]


class Crowd:
    """Opens hostile connections at one node, a few at a time.

    :param address: tuple of IP address and port of the node.
    :param service: service that the requests name.
    """

    def __init__(self, seed, number, address, service):
        self._rng = random.Random(f"crowd {seed} {number}")
        self._address = address
        self._shapes = make_shapes(service)
        self.opened = 0

    async def run(self, until):
        """Sends until a time.

        :param until: seconds since the epoch.
        """
        while time.time() < until:
            count = self._rng.randint(*CROWD_SIZE)
            hold_s = self._rng.uniform(*HOLD_S)
            shapes = self._rng.choices(self._shapes, k=count)
            await asyncio.gather(*(self._hold(shape, hold_s) for shape in shapes))
            await asyncio.sleep(self._rng.uniform(*PAUSE_S))

    async def _hold(self, shape, hold_s):
        """Sends a shape and keeps the connection open for a while."""
        writer = None
        try:
            async with asyncio.timeout(hold_s):
                reader, writer = await asyncio.open_connection(*self._address)
                self.opened += 1
                writer.write(shape)
                await writer.drain()
                await reader.read()
                await asyncio.sleep(hold_s)
        except (OSError, TimeoutError):
            return
        finally:
            if writer is not None:
                writer.transport.abort()

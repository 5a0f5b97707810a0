"""A loopback proxy that delays, resets, cuts one way or silences connections."""

import asyncio
import random
from typing import NamedTuple

KINDS = ("delay", "reset", "cut-in", "cut-out", "silence")
FAULT_GAP_S = 1.0
DELAY_S = 0.2
# The direction towards the server and the one back.
IN, OUT = "in", "out"
HELD = {"cut-in": (IN,), "cut-out": (OUT,), "silence": (IN, OUT)}


class NetworkFault(NamedTuple):
    """One entry of the schedule of the network.

    :param at_s: seconds from the start of traffic.
    :param kind: one of :data:`KINDS`.
    :param target: number of the proxy.
    :param for_s: seconds until it is undone.
    """

    at_s: float
    kind: str
    target: int
    for_s: float


def draw_network_faults(seed, seconds, count):
    """Draws the faults of the network of a run.

    Their own source of random numbers leaves the other faults of a seed as they are.

    :param count: number of proxies.
    """
    source = random.Random(f"network {seed}")
    faults = []
    at_s = 1.0
    while at_s < seconds:
        kind = source.choice(KINDS)
        for_s = round(source.uniform(0.2, 2.5), 2)
        faults.append(
            NetworkFault(round(at_s, 2), kind, source.randrange(count), for_s)
        )
        at_s += source.expovariate(1 / FAULT_GAP_S)
    return faults


class Proxy:
    """Passes the connections to one address on to another.

    Bytes are never lost: a cut holds them until it ends, as retransmission does.

    :param address: tuple of IP address and port to listen on.
    :param target: address to connect to.
    """

    def __init__(self, address, target):
        self._address = address
        self._target = target
        self._passes = {IN: asyncio.Event(), OUT: asyncio.Event()}
        for event in self._passes.values():
            event.set()
        self._holds = {IN: 0, OUT: 0}
        self._delays = 0
        self._writers = set()
        self._server = None

    async def start(self):
        """Starts to listen."""
        self._server = await asyncio.start_server(self._serve, *self._address)

    def stop(self):
        """Stops to listen and resets every connection."""
        self._server.close()
        for event in self._passes.values():
            event.set()
        self.reset()

    def reset(self):
        """Resets every connection."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def hurt(self, fault):
        """Applies a fault and undoes it; faults may overlap."""
        if fault.kind == "reset":
            self.reset()
            return
        self._change(fault.kind, 1)
        await asyncio.sleep(fault.for_s)
        self._change(fault.kind, -1)

    def _change(self, kind, step):
        if kind == "delay":
            self._delays += step
            return
        for direction in HELD[kind]:
            self._holds[direction] += step
            if self._holds[direction]:
                self._passes[direction].clear()
            else:
                self._passes[direction].set()

    async def _serve(self, reader, writer):
        try:
            near, far = await asyncio.open_connection(*self._target)
        except OSError:
            # A server that refuses connections shows as a reset, not as silence.
            writer.transport.abort()
            return
        self._writers |= {writer, far}
        pumps = (self._pump(reader, far, IN), self._pump(near, writer, OUT))
        await asyncio.gather(*pumps)
        self._writers -= {writer, far}

    async def _pump(self, reader, writer, direction):
        try:
            while data := await reader.read(65536):
                if self._delays:
                    await asyncio.sleep(DELAY_S)
                await self._passes[direction].wait()
                writer.write(data)
                await writer.drain()
            writer.close()
        except OSError:
            writer.transport.abort()

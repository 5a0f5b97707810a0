"""Loopback proxy that delays, resets or silences connections.

Connections are silenced in one direction or in both.
"""

import asyncio
import random
from typing import NamedTuple

FAULT_KINDS = ("delay", "reset", "cut-in", "cut-out", "silence")
MEAN_FAULT_INTERVAL_S = 1.0
DELAY_S = 0.2
TO_SERVER, TO_CLIENT = "in", "out"
BLOCKED_DIRECTIONS = {
    "cut-in": (TO_SERVER,),
    "cut-out": (TO_CLIENT,),
    "silence": (TO_SERVER, TO_CLIENT),
}


class NetworkFault(NamedTuple):
    """Network fault in the schedule of a run.

    :param at_s: start, in seconds from the start of traffic.
    :param kind: one of :data:`FAULT_KINDS`.
    :param target: index of the proxy.
    :param for_s: duration in seconds.
    """

    at_s: float
    kind: str
    target: int
    for_s: float


def draw_network_faults(seed, seconds, count):
    """Returns the random network faults of a run, in order of their start.

    They are drawn from a separate random generator, so that the other faults of a seed
    do not change.

    :param seconds: duration of traffic in seconds.
    :param count: number of proxies.
    """
    rng = random.Random(f"network {seed}")
    faults = []
    at_s = 1.0
    while at_s < seconds:
        kind = rng.choice(FAULT_KINDS)
        for_s = round(rng.uniform(0.2, 2.5), 2)
        faults.append(NetworkFault(round(at_s, 2), kind, rng.randrange(count), for_s))
        at_s += rng.expovariate(1 / MEAN_FAULT_INTERVAL_S)
    return faults


class Proxy:
    """Forwards connections from one address to another and injects faults.

    Bytes are never lost: a blocked direction keeps them until it is unblocked, as TCP
    retransmission does.

    :param address: tuple of IP address and port to listen on.
    :param target: address to connect to.
    """

    def __init__(self, address, target):
        self._address = address
        self._target = target
        self._unblocked = {TO_SERVER: asyncio.Event(), TO_CLIENT: asyncio.Event()}
        for event in self._unblocked.values():
            event.set()
        self._active_blocks = {TO_SERVER: 0, TO_CLIENT: 0}
        self._active_delays = 0
        self._writers = set()
        self._server = None

    async def start(self):
        """Starts to listen."""
        self._server = await asyncio.start_server(self._serve, *self._address)

    def stop(self):
        """Stops listening and resets every connection."""
        self._server.close()
        for event in self._unblocked.values():
            event.set()
        self.reset()

    def reset(self):
        """Resets every connection."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def apply_fault(self, fault):
        """Applies a fault and reverts it after its duration; faults may overlap."""
        if fault.kind == "reset":
            self.reset()
            return
        self._adjust(fault.kind, 1)
        await asyncio.sleep(fault.for_s)
        self._adjust(fault.kind, -1)

    def _adjust(self, kind, step):
        if kind == "delay":
            self._active_delays += step
            return
        for direction in BLOCKED_DIRECTIONS[kind]:
            self._active_blocks[direction] += step
            if self._active_blocks[direction]:
                self._unblocked[direction].clear()
            else:
                self._unblocked[direction].set()

    async def _serve(self, reader, writer):
        try:
            target_reader, target_writer = await asyncio.open_connection(*self._target)
        except OSError:
            # A refused connection must reach the client as a reset, not as a connection
            # that ends without a response.
            writer.transport.abort()
            return
        self._writers |= {writer, target_writer}
        forwarders = (
            self._forward(reader, target_writer, TO_SERVER),
            self._forward(target_reader, writer, TO_CLIENT),
        )
        await asyncio.gather(*forwarders)
        self._writers -= {writer, target_writer}

    async def _forward(self, reader, writer, direction):
        try:
            while data := await reader.read(65536):
                if self._active_delays:
                    await asyncio.sleep(DELAY_S)
                await self._unblocked[direction].wait()
                writer.write(data)
                await writer.drain()
            writer.close()
        except OSError:
            writer.transport.abort()

"""The end of links: nothing sent before it is lost, and it takes a bounded time."""

import asyncio
import socket
import struct
import time

import pytest
import uvloop

from figpick.base._clock import Clock
from figpick.links import Link, finish_links, listen

from .fleet import free_address, wait_until


class LinkPair:
    """Both ends of a link; messages of each end are collected.

    :param loop_factory: event loop to run on.
    """

    def __init__(self):
        self.received = []
        self.near = self.far = self._server = None

    async def __aenter__(self):
        address = free_address()

        def make_far():
            self.far = self._make_link()
            return self.far

        self._server = await listen(address, make_far)
        loop = asyncio.get_running_loop()
        self.near = self._make_link()
        await loop.create_connection(lambda: self.near, *address)
        await wait_until(lambda: self.far is not None and self.far.is_open)
        return self

    async def __aexit__(self, *error):
        self._server.close()
        for link in (self.near, self.far):
            link.close()

    def _make_link(self):
        return Link(
            lambda link, message: self.received.append(message),
            lambda link: None,
            Clock(),
        )


def run(scenario, loop_factory):
    with asyncio.Runner(loop_factory=loop_factory) as runner:
        runner.run(scenario())


@pytest.fixture(params=[None, uvloop.new_event_loop], ids=["asyncio", "uvloop"])
def loop_factory(request):
    return request.param


def test_peer_that_sends_while_a_link_finishes_receives_everything(loop_factory):
    """Guards against a close with unread bytes, which resets the connection."""

    async def scenario():
        async with LinkPair() as pair:
            for number in range(20):
                pair.near.send(("data", number, b"x" * 50_000))
                pair.far.send(("credit", number))
            unsent_bytes = await finish_links([pair.near], 0.5, 4.0, Clock())
            assert unsent_bytes == 0
            assert not pair.near.is_open
            numbers = [each[1] for each in pair.received if each[0] == "data"]
            assert numbers == list(range(20))

    run(scenario, loop_factory)


def test_finishing_a_link_whose_peer_does_not_read_is_bounded(loop_factory):
    """Guards against an exit that waits for a peer that is gone or frozen."""

    async def scenario():
        async with LinkPair() as pair:
            pair.far._transport.pause_reading()
            started = time.monotonic()
            assert await finish_links([pair.near], 0.2, 4.0, Clock()) == 0
            assert time.monotonic() - started < 0.5
        async with LinkPair() as pair:
            pair.far._transport.pause_reading()
            pair.near._transport.set_write_buffer_limits(high=2**30)
            for _ in range(40):
                pair.near.send(("data", 0, b"x" * 500_000))
            started = time.monotonic()
            assert await finish_links([pair.near], 0.2, 0.6, Clock()) > 0
            assert 0.5 < time.monotonic() - started < 1.0

    run(scenario, loop_factory)


def test_link_that_was_reset_can_be_finished(loop_factory):
    """Guards against a stop that fails because one peer has been killed."""

    async def scenario():
        async with LinkPair() as pair:
            connection = pair.far._transport.get_extra_info("socket")
            linger = struct.pack("ii", 1, 0)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            pair.far._transport.abort()
            # The link is finished before the event loop sees the reset.
            await asyncio.sleep(0)
            time.sleep(0.05)
            assert await finish_links([pair.near], 0.2, 1.0, Clock()) == 0
            assert not pair.near.is_open

    run(scenario, loop_factory)


class SlowLink:
    """A link whose bytes are all written, and received by its peer in one second."""

    unsent_bytes = 0

    def __init__(self):
        self._started_at = time.monotonic()

    @property
    def unacknowledged_bytes(self):
        elapsed_s = time.monotonic() - self._started_at
        return max(0, int(100_000 * (1.0 - elapsed_s)))

    @property
    def is_open(self):
        return self.unacknowledged_bytes > 0

    def finish(self):
        """Does nothing; the link is finished from the start."""


def test_finishing_waits_while_the_network_delivers_what_was_written():
    """Guards against an exit whose reset discards bytes in the send queue."""
    link = SlowLink()
    asyncio.run(finish_links([link], 0.3, 4.0, Clock()))
    assert not link.is_open

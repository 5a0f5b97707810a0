"""Links and owners whose peer takes less than is sent."""

import asyncio
from types import SimpleNamespace

from figpick.base._clock import Clock
from figpick.links import FrameReader, Link
from figpick.links._link import MAX_UNSENT_BYTES
from figpick.nodes._body_sending import BodySender, first_part, iterate_rest
from figpick.nodes._messages import BODY_PART, BODY_PART_BYTES

from .fleet import async_test


class FakeTransport:
    """Transport whose buffer the test controls."""

    def __init__(self):
        self.written = []
        self.buffered_bytes = 0
        self.is_aborted = False

    def set_write_buffer_limits(self, high):
        pass

    def get_write_buffer_size(self):
        return self.buffered_bytes

    def write(self, data):
        self.written.append(data)

    def abort(self):
        self.is_aborted = True


def make_link(closed):
    link = Link(lambda link, message: None, closed.append, Clock())
    link.connection_made(FakeTransport())
    return link


@async_test
async def test_link_that_is_written_slowly_stays_open():
    """Guards against responses that are cut off because others are large."""
    closed = []
    link = make_link(closed)
    link.pause_writing()
    link.send(("part", 1, bytes(1000), False))
    await asyncio.sleep(0)
    assert link.is_open
    assert not closed


@async_test
async def test_link_whose_peer_does_not_read_closes():
    """Guards against unsent messages that pile up without a bound."""
    closed = []
    link = make_link(closed)
    link.pause_writing()
    link._transport.buffered_bytes = MAX_UNSENT_BYTES + 1
    link.send(("part", 1, b"", False))
    # Not within the call that sends, whose caller goes on to use the link.
    assert link.is_open
    await asyncio.sleep(0)
    assert closed == [link]


@async_test
async def test_body_waits_for_credit_and_for_the_link():
    """Guards against a body that is written to a link all at once."""
    link = make_link([])
    link.grants_body_credit = True
    parts = [bytes([number]) * 50_000 for number in range(20)]
    body = b"".join(parts)
    begin = first_part(parts)
    assert begin == body[:BODY_PART_BYTES]
    attempt = SimpleNamespace(number=3)
    sender = BodySender(attempt, link, parts, len(begin), len(body))
    sender.send()
    assert not link._transport.written
    sender.add_credit(200_000)
    first_written = len(link._transport.written)
    assert 0 < first_written < 10
    link.pause_writing()
    sender.add_credit(10_000_000)
    assert len(link._transport.written) == first_written
    link.resume_writing()
    messages = FrameReader().feed(b"".join(link._transport.written))
    assert b"".join([begin, *(message[2] for message in messages)]) == body
    assert [message[:2] for message in messages] == [[BODY_PART, 3]] * len(messages)
    assert [message[3] for message in messages] == [False] * (len(messages) - 1) + [
        True
    ]
    assert sender.is_done


@async_test
async def test_body_to_an_earlier_release_needs_no_credit():
    """Guards against calls that wait for ever for credit of an earlier release."""
    link = make_link([])
    parts = [bytes(300_000)]
    sender = BodySender(SimpleNamespace(number=3), link, parts, 65_536, 300_000)
    sender.send()
    assert sender.is_done


def test_pieces_of_a_body_are_views():
    """Guards against a second copy of a body while it is sent."""
    parts = [bytearray(200_000), bytes(10)]
    pieces = list(iterate_rest(parts, 70_000))
    assert all(isinstance(piece, memoryview) for piece in pieces)
    assert sum(map(len, pieces)) == 130_010

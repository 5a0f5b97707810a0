"""Forwarding of messages by control processes."""

import asyncio
import time

import pytest

from figpick.base._clock import Clock
from figpick.base._errors import PeerError
from figpick.control._messages import CrashReport, Hello, RecordUpdate, decode, encode
from figpick.directory import NODE, HostRecord
from figpick.links import Link

from .fleet import Client, Fleet, async_test, wait_until


class _NodeLink:
    """Link of a simulated node that records the kinds of received messages."""

    def __init__(self, name):
        self.name = name
        self.kinds = []
        self.link = Link(self._receive, lambda link: None, Clock())

    def _receive(self, link, message):
        self.kinds.append(message[0])

    async def open(self, address):
        loop = asyncio.get_running_loop()
        await loop.create_connection(lambda: self.link, *address)
        self.link.send(encode(Hello(self.name, 1)))
        started_ms = int(time.time() * 1000)
        record = HostRecord(self.name, started_ms, 0, 1, NODE, "127.0.0.1", 1, "dc")
        self.link.send(encode(RecordUpdate(list(record))))

    @property
    def crash_count(self):
        return self.kinds.count("crash")


@async_test
async def test_crash_report_reaches_each_node_once(tmp_path):
    """Guards against control processes that forward a report to each other endlessly.

    With this fault, the report of one upstream crash filled the links of all control
    hosts, and configurations were not accepted for seconds.
    """
    async with Fleet(tmp_path, services=("parts",), controls=3) as fleet:
        addresses = fleet.hosts[0].settings.control_addresses
        sender, receiver = _NodeLink("sender"), _NodeLink("receiver")
        await sender.open(addresses[0])
        await receiver.open(addresses[0])
        await wait_until(lambda: receiver.kinds.count("record") > 0)
        sender.link.send(encode(CrashReport("i-1", ["a", "b"])))
        await wait_until(lambda: receiver.crash_count > 0)
        await asyncio.sleep(0.3)
        assert receiver.crash_count == 1
        assert sender.crash_count == 0


@async_test
async def test_node_reports_a_crash_to_two_control_processes(tmp_path):
    """Guards against a report that every control process forwards to every node."""
    async with Fleet(tmp_path, services=("parts",), controls=4) as fleet:
        host = fleet.hosts[0]
        receiver = _NodeLink("receiver")
        for address in host.settings.control_addresses:
            other = _NodeLink(f"receiver-{address[1]}")
            other.kinds = receiver.kinds
            await other.open(address)
        await wait_until(lambda: host.node.state()["controls"] == 4)

        async def crash(connection, request):
            host.upstream.stop()

        host.upstream.handler = crash
        for request_id in (b"crashes", b"is refused"):
            async with Client(host.settings.call_address) as client:
                await client.call(b"/parts/1", request_id)
        await wait_until(lambda: receiver.crash_count > 0)
        await asyncio.sleep(0.3)
        assert receiver.crash_count == 2


@pytest.mark.parametrize(
    "items", [["no-such-kind"], ["crash"], ["crash", "i-1", [], "more"]]
)
def test_unreadable_message_is_refused(items):
    """Guards against a message of another version that closes the link."""
    with pytest.raises(PeerError):
        decode(items)


def test_decoded_message_equals_the_encoded_one():
    message = CrashReport("i-1", ["a", "b"])
    assert decode(list(encode(message))) == message

"""Links between control processes after many of them were lost at the same time."""

import asyncio
from types import SimpleNamespace

from figpick.base._clock import Clock
from figpick.configuration._departures import Departures
from figpick.control import ControlProcess, ControlSettings
from figpick.control._messages import Hello, QuorumMessage, RecordUpdate, encode
from figpick.directory import CONTROL, HostRecord
from figpick.links import Dialer, Link

from .fleet import async_test

UNREACHABLE = ("127.9.9.9", 9)


class AcceptedLink:
    """A link that another process has opened."""

    is_open = True
    peer = None

    def __init__(self):
        self.sent = []

    def send(self, message):
        self.sent.append(message)

    def close(self):
        self.is_open = False


class Transport:
    """A transport that discards what is written."""

    def set_write_buffer_limits(self, high):
        pass

    def write(self, data):
        pass

    def abort(self):
        pass


@async_test
async def test_quorum_messages_use_a_link_that_the_peer_has_opened(tmp_path):
    """Guards against a quorum that waits for connections to hosts that were down.

    After a loss of power an attempt to connect to a host that is still down waits for
    its timeout. The host starts meanwhile and opens a link of its own.
    """
    settings = ControlSettings(
        "a", "dc-1", ("127.0.0.1", 0), (UNREACHABLE,), False, str(tmp_path)
    )
    process = ControlProcess(settings, Clock())
    link = AcceptedLink()
    record = HostRecord("b", 1, 0, 7, CONTROL, *UNREACHABLE, "dc-1")
    process._receive(link, list(encode(Hello("b", 7))))
    process._receive(link, list(encode(RecordUpdate(list(record)))))
    message = QuorumMessage("vote", {})
    process._send_to("{}:{}".format(*UNREACHABLE), message)
    process.close()
    assert list(encode(message)) in [list(each) for each in link.sent]


@async_test
async def test_operator_requests_use_a_link_that_the_leader_has_opened(tmp_path):
    """Guards against a 503 for lack of a link, while one to the leader is open."""
    settings = ControlSettings(
        "a", "dc-1", ("127.0.0.1", 0), (UNREACHABLE,), False, str(tmp_path)
    )
    process = ControlProcess(settings, Clock())
    link = AcceptedLink()
    record = HostRecord("b", 1, 0, 7, CONTROL, *UNREACHABLE, "dc-1")
    process._receive(link, list(encode(Hello("b", 7))))
    process._receive(link, list(encode(RecordUpdate(list(record)))))
    process._member = SimpleNamespace(leader_address="{}:{}".format(*UNREACHABLE))
    assert process._leader_link() is link
    process.close()


@async_test
async def test_revision_is_announced_again_after_the_registry_was_reopened(tmp_path):
    """Guards against a node that never learns of a revision announced before."""
    settings = ControlSettings(
        "a", "dc-1", ("127.0.0.1", 0), (UNREACHABLE,), False, str(tmp_path)
    )
    process = ControlProcess(settings, Clock())
    departures = Departures()
    member = process._member = SimpleNamespace(
        registry=SimpleNamespace(revision=5, departures=departures)
    )
    process._on_applied()
    # The log on disk does not tell that its last entries are committed.
    member.registry = SimpleNamespace(revision=3, departures=departures)
    process._on_applied()
    link = AcceptedLink()
    process._receive(link, list(encode(Hello("node", 7))))
    member.registry.revision = 5
    process._on_applied()
    process.close()
    updates = [each[1] for each in link.sent if each[0] == "revision"]
    assert updates == [3, 5]


@async_test
async def test_host_that_starts_after_a_first_attempt_is_reached_soon(monkeypatch):
    """Guards against a second without a link after a host without power has started.

    The first opening packet is lost, and the next attempt succeeds.
    """
    loop = asyncio.get_running_loop()
    attempts = []

    async def connect(make_protocol, *address):
        attempts.append(loop.time())
        if len(attempts) == 1:
            await asyncio.sleep(10.0)
        make_protocol().connection_made(Transport())

    monkeypatch.setattr(loop, "create_connection", connect)
    opened = asyncio.Event()
    clock = Clock()
    dialer = Dialer(
        UNREACHABLE,
        lambda: Link(lambda link, message: None, lambda link: None, clock),
        lambda link: opened.set(),
        clock,
    )
    dialer.start()
    async with asyncio.timeout(0.6):
        await opened.wait()
    dialer.stop()

"""Tests of updates and document fetching on a simulated network."""

import asyncio
import random

import pytest

from figpick.base._clock import Clock
from figpick.base._errors import (
    DocumentMissingError,
    DocumentUnavailableError,
    PeerRefusedError,
    PeerUnreachableError,
)
from figpick.membership._dissemination import Dissemination
from figpick.membership._events import EventStore
from figpick.membership._fetching import DocumentFetcher
from figpick.membership._gossip import Gossip
from figpick.membership._members import Members
from figpick.membership._versions import ServiceVersion, ServiceVersions
from figpick.registry._documents import Service

from .test_members import record


class Network:
    """Delivers messages to handlers by address and kind, and records them."""

    def __init__(self):
        self.handlers = {}
        self.sent = []

    async def send(self, address, kind, message, timeout_s=1.0):
        await asyncio.sleep(0)
        self.sent.append((address, kind))
        handler = self.handlers.get((address, kind))
        if handler is None:
            raise PeerUnreachableError(f"{address} did not answer {kind}")
        return await handler(message)


class Peer:
    """The membership components of one process."""

    def __init__(self, name, network, seeds=()):
        self.address = f"127.0.0.1:{name}"
        self.members = Members(record(name)._replace(peer_address=self.address))
        self.service_versions, events = ServiceVersions(), EventStore()
        gossip = Gossip(
            self.members, self.service_versions, events, seeds, random.Random(name)
        )
        self.dissemination = Dissemination(
            self.members, gossip, self.service_versions, events, network, Clock()
        )
        network.handlers[self.address, "gossip"] = self.dissemination.receive
        network.handlers[self.address, "news"] = self.dissemination.receive_updates
        self.payloads = []
        self.dissemination.subscribe("quarantine", self.payloads.append)


class NodeStub:
    """Adopts newer documents like a node."""

    def __init__(self):
        self.documents = {}
        self.rosters = []

    def adopt_document(self, document, version):
        name = document["service"]
        known = self.documents.get(name)
        if known is not None and version <= known.version:
            return False
        self.documents[name] = Service(document, version)
        return True

    def adopt_roster(self, **roster):
        self.rosters.append(roster)


def entry(service, version, epoch=0):
    roster = {"service": service, "epoch": epoch, "positions": []} if epoch else None
    document = {"service": service, "routes": []}
    return {"document": document, "version": version, "roster": roster}


def make_fetcher(network, services=("parts",), control=("control",)):
    node = NodeStub()
    service_versions = ServiceVersions()
    members = Members(record("own"))
    fetcher = DocumentFetcher(
        node,
        members,
        service_versions,
        network,
        list(control),
        ["peer-1", "peer-2", "peer-3"],
        services,
        random.Random(1),
    )
    return fetcher, node, service_versions


def serve(network, address, *entries):
    async def reply(message):
        return {"documents": list(entries)}

    network.handlers[address, "document"] = reply


def test_event_reaches_every_process_once_without_periodic_exchange():
    """Guards against quarantine entries that wait for the next periodic exchange."""

    async def scenario():
        network = Network()
        peers = [Peer(f"{number}", network) for number in range(60)]
        for peer in peers:
            for other in peers:
                peer.members.merge(other.members.own)
        peers[0].dissemination.publish("quarantine", {"fingerprint": "f"})
        peers[0].dissemination.publish("a later kind", {})
        await asyncio.sleep(0.9)
        assert [peer.payloads for peer in peers[1:]] == [[{"fingerprint": "f"}]] * 59

    asyncio.run(scenario())


def test_joining_process_receives_earlier_events_and_becomes_known():
    """Guards against a new host that runs requests that others refuse."""

    async def scenario():
        network = Network()
        first = Peer("1", network)
        first.dissemination.publish("quarantine", {"fingerprint": "f"})
        second = Peer("2", network, seeds=[first.address])
        await second.dissemination.exchange()
        assert second.payloads == [{"fingerprint": "f"}]
        assert first.members.get("2") is not None

    asyncio.run(scenario())


def test_unknown_updates_of_a_later_release_are_ignored():
    """Guards against two releases that cannot run together."""

    async def scenario():
        peer = Peer("1", Network())
        updates = [[3, "a later kind", {}], [3, "version", ["parts", 4, 0, True, "x"]]]
        await peer.dissemination.receive_updates({"v": 2, "from": "x", "news": updates})
        assert peer.service_versions.get("parts") == ServiceVersion(4, 0)

    asyncio.run(scenario())


def test_only_called_services_are_fetched():
    """Guards against nodes that fetch the documents of all services."""

    async def scenario():
        network = Network()
        serve(network, "control", entry("parts", 3))
        fetcher, node, service_versions = make_fetcher(network)
        for service in ("parts", "scans"):
            service_versions.merge(service, ServiceVersion(3, 0))
            fetcher.start_fetch(service, "")
        await asyncio.sleep(0.05)
        assert {name: each.version for name, each in node.documents.items()} == {
            "parts": 3
        }
        assert network.sent == [("control", "document")]

    asyncio.run(scenario())


def test_fetch_continues_after_processes_with_an_older_version():
    """Guards against an outdated node because one queried process is outdated."""

    async def scenario():
        network = Network()
        serve(network, "sender", entry("parts", 2))
        serve(network, "peer-2", entry("parts", 3, epoch=5))
        fetcher, node, service_versions = make_fetcher(network)
        service_versions.merge("parts", ServiceVersion(3, 5))
        fetcher.start_fetch("parts", "sender")
        await asyncio.sleep(0.05)
        assert network.sent[0] == ("sender", "document")
        assert node.documents["parts"].version == 3
        assert [roster["epoch"] for roster in node.rosters] == [5]
        assert fetcher.has_newest("parts")

    asyncio.run(scenario())


def test_first_call_fetches_the_document_or_finds_none():
    """Guards against a 404 for an existing service, and a fetch for each call."""

    async def scenario():
        network = Network()
        serve(network, "control", entry("scans", 7))
        fetcher, node, _ = make_fetcher(network)
        assert await fetcher.fetch("scans", 0.0)
        assert node.documents["scans"].version == 7
        serve(network, "control")
        assert not await fetcher.fetch("nowhere", 0.0)
        fetcher.require_recent_fetch("nowhere", 1.0)
        with pytest.raises(DocumentMissingError):
            fetcher.require_recent_fetch("nowhere", 60.0)

    asyncio.run(scenario())


def test_announced_service_is_fetched_although_it_was_unknown_before():
    """Guards against a 404 for a service whose document was put a moment later."""

    async def scenario():
        network = Network()
        serve(network, "control")
        fetcher, node, service_versions = make_fetcher(network)
        assert not await fetcher.fetch("scans", 0.0)
        fetcher.require_recent_fetch("scans", 0.1)
        service_versions.merge("scans", ServiceVersion(7, 0))
        with pytest.raises(DocumentMissingError):
            fetcher.require_recent_fetch("scans", 0.2)
        # The process that announced the version cannot be reached yet.
        assert not await fetcher.fetch("scans", 0.2)
        with pytest.raises(DocumentUnavailableError):
            fetcher.require_recent_fetch("scans", 0.3)
        with pytest.raises(DocumentMissingError):
            fetcher.require_recent_fetch("scans", 3.0)
        serve(network, "control", entry("scans", 7))
        assert await fetcher.fetch("scans", 3.0)
        assert node.documents["scans"].version == 7

    asyncio.run(scenario())


def test_service_announced_during_its_fetch_is_fetched_again():
    """Guards against a refusal by a process that replied before it had the document."""

    async def scenario():
        network = Network()
        fetcher, _, service_versions = make_fetcher(network)

        async def reply(message):
            service_versions.merge("scans", ServiceVersion(7, 0))
            return {"documents": []}

        network.handlers["control", "document"] = reply
        assert not await fetcher.fetch("scans", 0.0)
        with pytest.raises(DocumentMissingError):
            fetcher.require_recent_fetch("scans", 0.0)

    asyncio.run(scenario())


@pytest.mark.parametrize("control_replies", [True, False])
def test_service_is_absent_only_when_a_process_replied(control_replies):
    """Guards against a 404 from a node that cannot reach any other process."""

    async def scenario():
        network = Network()
        if control_replies:
            serve(network, "control")
        fetcher, _, _ = make_fetcher(network)
        assert not await fetcher.fetch("scans", 0.0)
        if control_replies:
            fetcher.require_reply("scans")
        else:
            with pytest.raises(DocumentUnavailableError):
                fetcher.require_reply("scans")

    asyncio.run(scenario())


@pytest.mark.parametrize("control_replies", [True, False])
def test_restarted_node_is_confirmed_or_uses_the_highest_of_three_peers(
    control_replies,
):
    """Guards against a restarted node that uses an older document."""

    async def scenario():
        network = Network()
        for number, version in ((1, 4), (2, 6), (3, 5)):
            serve(network, f"peer-{number}", entry("parts", version))
        if control_replies:
            serve(network, "control", entry("parts", 9))
        else:

            async def no_quorum(message):
                raise PeerRefusedError(503, {"error": "no quorum"})

            network.handlers["control", "document"] = no_quorum
        fetcher, node, _ = make_fetcher(network)
        await fetcher.confirm()
        assert fetcher.dump()["confirmed"] is control_replies
        assert node.documents["parts"].version == (9 if control_replies else 6)

    asyncio.run(scenario())

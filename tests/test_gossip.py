"""Tests of view exchanges between processes, without a network."""

import random

import msgspec

from figpick.membership._events import Event, EventStore
from figpick.membership._gossip import Gossip
from figpick.membership._members import FAILED_AFTER_S, LEFT, READY, Members
from figpick.membership._versions import ServiceVersion, ServiceVersions

from .test_members import record


class Peer:
    """A process in a simulated exchange."""

    def __init__(self, name, seeds=()):
        self.members = Members(record(name))
        self.service_versions = ServiceVersions()
        self.events = EventStore()
        rng = random.Random(name)
        self.gossip = Gossip(
            self.members, self.service_versions, self.events, seeds, rng
        )

    def exchange(self, other):
        """Exchanges views and returns the size of all messages in bytes."""
        greeting = self.gossip.greeting()
        reply, size = other.handle(greeting)
        self.gossip.receive(reply, 0.0)
        message = self.gossip.follow_up(reply)
        if message is not None:
            reply, more = other.handle(message)
            self.gossip.receive(reply, 0.0)
            size += more
        return size

    def handle(self, message):
        encoded = msgspec.json.encode(message)
        decoded = msgspec.json.decode(encoded)
        self.gossip.receive(decoded, 0.0)
        reply = msgspec.json.encode(self.gossip.reply(decoded))
        return msgspec.json.decode(reply), len(encoded) + len(reply)

    def view(self):
        members = sorted(self.members)
        return members, self.service_versions.dump(), sorted(self.events.ids)


def spread(peers, rng):
    for _ in range(12):
        for peer in peers:
            peer.exchange(rng.choice([each for each in peers if each is not peer]))


def test_views_are_equal_after_exchanges():
    """Guards against changes that never reach some processes."""
    peers = [Peer(f"node-{number}") for number in range(20)]
    rng = random.Random(1)
    spread(peers, rng)
    peers[3].service_versions.merge("parts", ServiceVersion(7, 2))
    peers[4].service_versions.merge("parts", ServiceVersion(6, 3))
    peers[5].events.add(Event("e1", "quarantine", 60.0, {"x": 1}), 0.0)
    peers[6].members.update_own(state=LEFT)
    spread(peers, rng)
    views = [peer.view() for peer in peers]
    assert all(view == views[0] for view in views)
    assert views[0][1] == {"parts": ServiceVersion(7, 3)}
    assert len(views[0][0]) == 20


def test_equal_views_exchange_only_digests():
    """Guards against sending full views every second."""
    one, two = Peer("one"), Peer("two")
    for number in range(1600):
        one.members.merge(record(f"node-{number}"))
    assert one.exchange(two) > 100_000
    assert one.view()[0] == two.view()[0]
    assert one.exchange(two) < 200


def test_one_change_sends_one_bucket():
    """Guards against sending the full view after a small change."""
    one, two = Peer("one"), Peer("two")
    for number in range(1600):
        one.members.merge(record(f"node-{number}"))
    one.exchange(two)
    one.members.merge(record("node-7", version=2))
    assert one.exchange(two) < 16_000
    assert two.members.get("node-7").version == 2


def test_member_that_left_is_not_restored_by_an_exchange():
    """Guards against a tombstone that an older view replaces."""
    one, two = Peer("one"), Peer("two")
    one.members.merge(record("gone", version=2, state=LEFT))
    two.members.merge(record("gone", version=1))
    one.exchange(two)
    assert one.members.get("gone").state == LEFT
    assert two.members.get("gone").state == LEFT


def test_unknown_fields_are_ignored():
    """Guards against two releases that cannot run together."""
    peer = Peer("one")
    message = {"v": 2, "later": True, "versions": {"parts": [3, 1, "later"]}}
    changes = peer.gossip.receive(message, 0.0)
    assert changes.services == ["parts"]
    assert peer.service_versions.get("parts") == ServiceVersion(3, 1)


def test_event_is_stored_once_and_expires():
    """Guards against handlers that run twice and a store that grows without bound."""
    store = EventStore()
    event = Event("e1", "quarantine", 60.0, None)
    assert store.add(event, 0.0)
    assert not store.add(event, 1.0)
    store.expire(61.0)
    assert len(store) == 0
    assert store.digest == EventStore().digest
    assert not store.add(event, 61.0)


def test_seeds_are_used_while_no_member_is_known():
    """Guards against a new host that finds no peer while control processes are down."""
    peer = Peer("one", seeds=["127.0.0.1:7"])
    assert peer.gossip.choose_peer() == "127.0.0.1:7"


def test_both_sides_of_a_partition_reconnect():
    """Guards against members that stay failed after a network partition has ended."""
    peers = [Peer(f"node-{number}") for number in range(20)]
    spread(peers, random.Random(1))
    for number, peer in enumerate(peers):
        for other in peers[10:] if number < 10 else peers[:10]:
            peer.members.suspect(other.members.own.name, 0.0)
        peer.members.expire(FAILED_AFTER_S)
    by_address = {peer.members.own.peer_address: peer for peer in peers}
    for _ in range(40):
        for peer in peers:
            peer.exchange(by_address[peer.gossip.choose_peer()])
    for peer in peers:
        assert {member.state for member in peer.members} == {READY}
        assert peer.view() == peers[0].view()

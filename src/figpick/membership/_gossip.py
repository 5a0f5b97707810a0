"""Contents and recipients of gossip messages.

Two processes first compare digests and then send only what differs: the records
of the differing buckets, all document versions, and the missing events. Unknown
message fields are ignored, so that two releases can run in the same deployment.
"""

from math import ceil, log2
from typing import NamedTuple, TypedDict

from . import _members
from ._digests import ViewDigest, bucket_of
from ._events import Event
from ._members import INACTIVE_STATES
from ._versions import ServiceVersion

PERIOD_S = 1.0
FANOUT = 3
# Enough to reach 2,048 processes.
JOIN_HOPS = 11
MESSAGE_VERSION = 1
# One exchange in ten is sent to a process that may be unreachable, so that both
# sides of a network partition find each other again.
RECONNECT_SHARE = 0.1


class GossipMessage(TypedDict, total=False):
    """A message of a view exchange.

    :param v: version of the message format.
    :param digests: digests of members, document versions and events.
    :param buckets: digests of member records by bucket.
    :param asked: buckets whose records the sender requests.
    :param records: member records.
    :param versions: document version and roster epoch by service.
    :param event_ids: IDs of the stored events.
    :param events: events that the receiver lacks.
    :param control_age_s: seconds since the last known contact with a control process.
    """

    v: int
    digests: list
    buckets: list
    asked: list
    records: list
    versions: dict
    event_ids: list
    events: list
    control_age_s: float


class MessageChanges(NamedTuple):
    """Changes that a message made to the local view.

    :param services: services with a newer document or roster.
    :param events: new :class:`~figpick.membership._events.Event` s.
    """

    services: list
    events: list


class Gossip:
    """Builds and applies the messages that synchronize views between processes.

    :param members: :class:`~figpick.membership._members.Members`.
    :param service_versions: :class:`~figpick.membership._versions.ServiceVersions`.
    :param events: :class:`~figpick.membership._events.EventStore`.
    :param seeds: peer addresses to contact when no other member is known.
    :param random: source of random choices, such as ``random.Random``.
    """

    def __init__(self, members, service_versions, events, seeds, random):
        self._members = members
        self._service_versions = service_versions
        self._events = events
        self._seeds = [seed for seed in seeds if seed != members.own.peer_address]
        self._random = random
        self._digest = ViewDigest()
        for member in members:
            self._digest.update(member)
        members.add_listener(self._digest.update)

    def choose_peer(self):
        """Returns the peer address for the next exchange, or ``None``."""
        live = self._members.others()
        if not live or self._random.random() < RECONNECT_SHARE:
            unreachable = self._unreachable_addresses()
            if unreachable:
                return self._random.choice(unreachable)
        return self._random.choice(live).peer_address if live else None

    def choose_peers(self, count=FANOUT):
        """Returns distinct peer addresses to forward updates to."""
        live = self._members.others()
        if not live:
            return self._random.sample(self._seeds, min(count, len(self._seeds)))
        chosen = self._random.sample(live, min(count, len(live)))
        return [member.peer_address for member in chosen]

    def hops(self):
        """Returns the number of hops for which an update is forwarded."""
        if not self._members.others():
            # A joining process does not know the number of processes yet.
            return JOIN_HOPS
        return max(1, ceil(log2(len(self._members) + 1)))

    def greeting(self):
        """Returns the first message of an exchange."""
        return GossipMessage(v=MESSAGE_VERSION, digests=self._digests())

    def reply(self, message):
        """Returns the reply to a message that :meth:`receive` has applied.

        :return: :class:`GossipMessage`.
        """
        reply = GossipMessage(v=MESSAGE_VERSION)
        if "digests" in message:
            self._add_differences(message["digests"], reply)
        if "asked" in message:
            reply["records"] = self._records_in(message["asked"])
        if "event_ids" in message:
            reply["events"] = self._events.list_missing(message["event_ids"])
        return reply

    def follow_up(self, reply):
        """Returns the message that sends and requests the differences.

        :param reply: reply to the greeting; :meth:`receive` has applied it.
        :return: :class:`GossipMessage`, or ``None`` when nothing differs.
        """
        message = GossipMessage(v=MESSAGE_VERSION)
        if "buckets" in reply:
            requested = self._digest.differing_buckets(reply["buckets"])
            if requested:
                message["asked"] = requested
                message["records"] = self._records_in(requested)
        if "versions" in reply and self._has_newer_than(reply["versions"]):
            message["versions"] = self._service_versions.dump()
        if "event_ids" in reply:
            message["event_ids"] = self._events.ids
            message["events"] = self._events.list_missing(reply["event_ids"])
        return message if len(message) > 1 else None

    def receive(self, message, now):
        """Applies the contents of a message.

        :param now: seconds since the epoch.
        :return: :class:`MessageChanges`.
        """
        for fields in message.get("records", ()):
            self._members.merge(_members.decode(fields))
        services = [
            service
            for service, pair in message.get("versions", {}).items()
            if self._service_versions.merge(service, ServiceVersion(*pair[:2]))
        ]
        events = [Event(*fields[:4]) for fields in message.get("events", ())]
        return MessageChanges(
            services, [each for each in events if self._events.add(each, now)]
        )

    def dump(self):
        """Returns the digests and sizes as a dict."""
        return {
            "digests": self._digests(),
            "members": len(self._members),
            "events": len(self._events),
            "versions": self._service_versions.dump(),
        }

    def _digests(self):
        return [self._digest.total, self._service_versions.digest, self._events.digest]

    def _add_differences(self, digests, reply):
        view, versions, events = digests[:3]
        if view != self._digest.total:
            reply["buckets"] = self._digest.buckets
        if versions != self._service_versions.digest:
            reply["versions"] = self._service_versions.dump()
        if events != self._events.digest:
            reply["event_ids"] = self._events.ids

    def _records_in(self, buckets):
        requested = set(buckets)
        return [each for each in self._members if bucket_of(each.name) in requested]

    def _has_newer_than(self, versions):
        known = {name: ServiceVersion(*pair[:2]) for name, pair in versions.items()}
        no_version = ServiceVersion()
        return any(
            own.is_newer_than(known.get(name, no_version))
            for name, own in self._service_versions.dump().items()
        )

    def _unreachable_addresses(self):
        failed = [
            member.peer_address
            for member in self._members
            if member.state in INACTIVE_STATES and member.state != _members.LEFT
        ]
        return failed + [
            seed for seed in self._seeds if self._members.find_by_address(seed) is None
        ]

"""Decides what to tell which process.

Two processes first compare digests. Only what differs is sent: the records of
the buckets that differ, all document versions, and the events that are missing.
Message fields that are unknown are ignored, so two releases run side by side.
"""

from math import ceil, log2
from typing import NamedTuple, TypedDict

from . import _members
from ._digests import ViewDigest, bucket
from ._events import Event
from ._members import INACTIVE_STATES
from ._versions import ServiceVersion

PERIOD_S = 1.0
FANOUT = 3
# Enough for 2,048 processes.
JOIN_HOPS = 11
MESSAGE_VERSION = 1
# One exchange in ten goes to a process that may be cut off, so both sides find
# each other again after a partition.
RECONNECT_SHARE = 0.1


class GossipMessage(TypedDict, total=False):
    """A message of the exchange of views.

    :param v: version of the message format.
    :param digests: digests of members, document versions and events.
    :param buckets: digests of members by bucket.
    :param asked: buckets whose records are asked for.
    :param records: member records.
    :param versions: document version and roster epoch by service.
    :param event_ids: identities of the kept events.
    :param events: events that the receiver lacks.
    :param control_age_s: seconds since the sender heard of a control process.
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


class News(NamedTuple):
    """What a message changed.

    :param services: services with a newer document or roster.
    :param events: new :class:`~figpick.membership._events.Event` s.
    """

    services: list
    events: list


class Gossip:
    """Compares the view of this process with those of others.

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
        """Chooses the peer address for the next exchange, or ``None``."""
        live = self._members.others()
        if not live or self._random.random() < RECONNECT_SHARE:
            lost = self._lost_addresses()
            if lost:
                return self._random.choice(lost)
        return self._random.choice(live).peer_address if live else None

    def choose_peers(self, count=FANOUT):
        """Chooses different peer addresses to forward news to."""
        live = self._members.others()
        if not live:
            return self._random.sample(self._seeds, min(count, len(self._seeds)))
        chosen = self._random.sample(live, min(count, len(live)))
        return [member.peer_address for member in chosen]

    def hops(self):
        """Number of times that news is forwarded."""
        if not self._members.others():
            # A process that joins does not know yet how many others there are.
            return JOIN_HOPS
        return max(1, ceil(log2(len(self._members) + 1)))

    def greeting(self):
        """Makes the first message of an exchange."""
        return GossipMessage(v=MESSAGE_VERSION, digests=self._digests())

    def reply(self, message):
        """Answers a message, after :meth:`receive` has taken it.

        :return: :class:`GossipMessage`.
        """
        answer = GossipMessage(v=MESSAGE_VERSION)
        if "digests" in message:
            self._compare(message["digests"], answer)
        if "asked" in message:
            answer["records"] = self._records(message["asked"])
        if "event_ids" in message:
            answer["events"] = self._events.missing(message["event_ids"])
        return answer

    def follow_up(self, answer):
        """Makes the message that sends and asks for what differs.

        :param answer: answer to the greeting, after :meth:`receive` has taken it.
        :return: :class:`GossipMessage`, or ``None`` when nothing is left to do.
        """
        message = GossipMessage(v=MESSAGE_VERSION)
        if "buckets" in answer:
            asked = self._digest.differing(answer["buckets"])
            if asked:
                message["asked"] = asked
                message["records"] = self._records(asked)
        if "versions" in answer and self._knows_newer(answer["versions"]):
            message["versions"] = self._service_versions.dump()
        if "event_ids" in answer:
            message["event_ids"] = self._events.ids
            message["events"] = self._events.missing(answer["event_ids"])
        return message if len(message) > 1 else None

    def receive(self, message, now):
        """Takes what a message tells.

        :param now: seconds since the epoch.
        :return: :class:`News`.
        """
        for fields in message.get("records", ()):
            self._members.merge(_members.decode(fields))
        services = [
            service
            for service, headline in message.get("versions", {}).items()
            if self._service_versions.merge(service, ServiceVersion(*headline[:2]))
        ]
        events = [Event(*fields[:4]) for fields in message.get("events", ())]
        return News(services, [each for each in events if self._events.add(each, now)])

    def dump(self):
        """Gives the digests and sizes as a dict."""
        return {
            "digests": self._digests(),
            "members": len(self._members),
            "events": len(self._events),
            "versions": self._service_versions.dump(),
        }

    def _digests(self):
        return [self._digest.total, self._service_versions.digest, self._events.digest]

    def _compare(self, digests, answer):
        view, versions, events = digests[:3]
        if view != self._digest.total:
            answer["buckets"] = self._digest.buckets
        if versions != self._service_versions.digest:
            answer["versions"] = self._service_versions.dump()
        if events != self._events.digest:
            answer["event_ids"] = self._events.ids

    def _records(self, asked):
        wanted = set(asked)
        return [each for each in self._members if bucket(each.name) in wanted]

    def _knows_newer(self, versions):
        known = {name: ServiceVersion(*pair[:2]) for name, pair in versions.items()}
        none = ServiceVersion()
        return any(
            own.newer(known.get(name, none))
            for name, own in self._service_versions.dump().items()
        )

    def _lost_addresses(self):
        failed = [
            member.peer_address
            for member in self._members
            if member.state in INACTIVE_STATES and member.state != _members.LEFT
        ]
        return failed + [seed for seed in self._seeds if self._members.at(seed) is None]

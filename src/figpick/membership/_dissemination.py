"""Spreads member records, document versions and events to all processes."""

import asyncio
import random
from collections import Counter

from ..base._errors import PeerError
from ..base._logs import logger
from . import _members
from ._events import Event
from ._versions import ServiceVersion

FORWARD_DELAY_S = 0.02
# Forwarding once to three peers misses 6% of the processes, and some of these
# would learn of the news only after more than 3 s; a second round leaves 0.3%.
REPEAT_DELAY_S = 0.25
ROUNDS = 2
DEFAULT_KEEP_S = 60.0

MEMBER = "member"
VERSION = "version"
EVENT = "event"

log = logger("gossip")


class Dissemination:
    """Exchanges views each second and forwards news at once.

    :param members: :class:`~figpick.membership._members.Members`.
    :param gossip: :class:`~figpick.membership._gossip.Gossip`.
    :param service_versions: :class:`~figpick.membership._versions.ServiceVersions`.
    :param events: :class:`~figpick.membership._events.EventStore`.
    :param client: :class:`~figpick.messaging._transport.PeerClient`.
    :param clock: :class:`~figpick.base._clock.Clock`.
    """

    def __init__(self, members, gossip, service_versions, events, client, clock):
        self._members = members
        self._gossip = gossip
        self._service_versions = service_versions
        self._events = events
        self._client = client
        self._clock = clock
        self._handlers = {}
        self._exchange_counts = Counter()
        self._control_heard_at = None
        self.is_control = members.own.role != "node"
        self._version_listeners = []
        self._outgoing = {}
        self._flush_timer = None
        self._stopped = False
        self._tasks = set()
        self._takers = {
            MEMBER: self._take_member,
            VERSION: self._take_version,
            EVENT: self._take_event,
        }
        self.has_newest = _holds_nothing
        members.add_listener(self._member_changed)

    def publish(self, kind, payload, keep_s=DEFAULT_KEEP_S):
        """Tells all processes of an event.

        :param kind: kind that subscribers name.
        :param payload: JSON value.
        :param keep_s: seconds for which processes that missed it still get it.
        :return: identity of the event.
        """
        now = self._clock.wall()
        event = Event(_new_id(), kind, now + keep_s, payload)
        self._events.add(event, now)
        self._queue(EVENT, event.event_id, event, self._gossip.hops())
        return event.event_id

    def subscribe(self, kind, handler):
        """Calls ``handler(payload)`` once for each event of other processes."""
        self._handlers.setdefault(kind, []).append(handler)

    def add_version_listener(self, listener):
        """Calls ``listener(service, address)`` for each newer version.

        The address is that of the process that told of it.
        """
        self._version_listeners.append(listener)

    def announce_version(self, service, version, epoch):
        """Tells all processes of a document version or roster epoch."""
        if self._service_versions.merge(service, ServiceVersion(version, epoch)):
            self._queue_version(service, self._gossip.hops())
            self._tell_versions([service], "")

    def announce_self(self):
        """Tells all processes of this one."""
        self._member_changed(self._members.own)

    def announce_suspect(self, name):
        """Tells all processes that a member does not answer."""
        self._queue(MEMBER, name, self._members.get(name), self._gossip.hops())

    def record_control_contact(self, age_s, now):
        """Notes that a control process was heard of.

        :param age_s: seconds since it was heard of by whoever tells.
        :param now: monotonic seconds.
        """
        heard_at = now - age_s
        if self._control_heard_at is None or heard_at > self._control_heard_at:
            self._control_heard_at = heard_at

    def control_age_s(self, now):
        """Seconds since this process or its peers heard of a control process.

        :param now: monotonic seconds.
        :return: seconds, ``None`` when none was ever heard of.
        """
        if self.is_control:
            return 0.0
        heard_at = self._control_heard_at
        return None if heard_at is None else now - heard_at

    async def exchange(self):
        """Exchanges views with one random peer."""
        address = self._gossip.choose_peer()
        if address is not None:
            await self.exchange_with(address)

    async def exchange_with(self, address):
        """Exchanges views with a peer.

        :return: whether it answered.
        """
        try:
            answer = await self._client.send(address, "gossip", self._gossip.greeting())
            self._take(answer, address)
            message = self._gossip.follow_up(answer)
            if message is not None:
                answer = await self._client.send(address, "gossip", message)
                self._take(answer, address)
        except PeerError as error:
            log.debug("Gossip with {} failed: {}.", address, error)
            self._exchange_counts["failed"] += 1
            return False
        self._exchange_counts["differing" if message else "equal"] += 1
        return True

    async def receive(self, message):
        """Answers a peer that exchanges views."""
        self._take(message, "")
        return self._with_control_age(self._gossip.reply(message))

    async def receive_updates(self, message):
        """Takes news that a peer forwards."""
        for hops, kind, payload in message["news"]:
            taker = self._takers.get(kind)
            # A later release may send kinds that this one does not know.
            if taker is not None:
                taker(payload, hops - 1, message["from"])
        return {}

    def expire(self):
        """Declares failed members and drops what was kept long enough."""
        self._members.expire(self._clock.monotonic())
        self._events.expire(self._clock.wall())

    async def flush(self):
        """Sends the news that wait to be forwarded."""
        if self._flush_timer is not None:
            self._flush_timer.cancel()
            self._flush_timer = None
        outgoing, self._outgoing = self._outgoing, {}
        if not outgoing:
            return
        self._schedule_repeat(outgoing)
        news = [item for item, _ in outgoing.values()]
        for _, kind, payload in news:
            if kind == VERSION:
                payload[-1] = self.has_newest(payload[0])
        message = {"v": 1, "from": self._members.own.peer_address, "news": news}
        sends = [
            self._send_news(address, message) for address in self._gossip.choose_peers()
        ]
        await asyncio.gather(*sends)

    def dump(self):
        """Gives the state as a dict."""
        return {
            **self._gossip.dump(),
            "exchanges": self._exchange_counts,
            "control_heard_s_ago": self.control_age_s(self._clock.monotonic()),
        }

    def stop(self):
        """Ends the sends under way."""
        self._stopped = True
        if self._flush_timer is not None:
            self._flush_timer.cancel()
        for task in list(self._tasks):
            task.cancel()

    def _with_control_age(self, message):
        age_s = self.control_age_s(self._clock.monotonic())
        if age_s is not None:
            message["control_age_s"] = round(age_s, 1)
        return message

    def _take(self, message, address):
        if "control_age_s" in message:
            self.record_control_contact(
                message["control_age_s"], self._clock.monotonic()
            )
        news = self._gossip.receive(message, self._clock.wall())
        self._tell_versions(news.services, address)
        for event in news.events:
            self._handle(event)

    def _take_member(self, fields, hops, address):
        record = _members.decode(fields)
        if self._members.merge(record) and record.name != self._members.own.name:
            self._queue(MEMBER, record.name, record, hops)

    def _take_version(self, fields, hops, address):
        service, version, epoch, held = fields[:4]
        if self._service_versions.merge(service, ServiceVersion(version, epoch)):
            self._queue_version(service, hops)
            self._tell_versions([service], address if held else "")

    def _take_event(self, fields, hops, address):
        event = Event(*fields[:4])
        if self._events.add(event, self._clock.wall()):
            self._queue(EVENT, event.event_id, event, hops)
            self._handle(event)

    def _handle(self, event):
        for handler in self._handlers.get(event.kind, ()):
            try:
                handler(event.payload)
            except Exception:
                log.exception("Handler of {} failed.", event.kind)

    def _tell_versions(self, services, address):
        for service in services:
            for listener in self._version_listeners:
                listener(service, address)

    def _member_changed(self, member):
        if member.name == self._members.own.name:
            self._queue(MEMBER, member.name, member, self._gossip.hops())

    def _queue_version(self, service, hops):
        headline = self._service_versions.get(service)
        self._queue(VERSION, service, [service, *headline, False], hops)

    def _queue(self, kind, key, payload, hops):
        if hops <= 0:
            return
        self._outgoing[kind, key] = [hops, kind, payload], ROUNDS
        self._schedule_flush()

    def _schedule_flush(self):
        if self._flush_timer is None:
            loop = asyncio.get_running_loop()
            self._flush_timer = loop.call_later(FORWARD_DELAY_S, self._start_flush)

    def _schedule_repeat(self, outgoing):
        again = {
            key: (item, rounds - 1)
            for key, (item, rounds) in outgoing.items()
            if rounds > 1
        }
        if again and not self._stopped:
            loop = asyncio.get_running_loop()
            loop.call_later(REPEAT_DELAY_S, self._repeat, again)

    def _repeat(self, again):
        if self._stopped:
            return
        for key, item in again.items():
            self._outgoing.setdefault(key, item)
        self._schedule_flush()

    def _start_flush(self):
        self._flush_timer = None
        task = asyncio.ensure_future(self.flush())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_news(self, address, message):
        try:
            await self._client.send(address, "news", message)
        except PeerError as error:
            log.debug("News to {} failed: {}.", address, error)


def _holds_nothing(service):
    return False


def _new_id():
    return f"{random.getrandbits(96):024x}"

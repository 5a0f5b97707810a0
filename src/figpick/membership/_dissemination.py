"""Distributes member records, document versions and events to all processes."""

import asyncio
import random
from collections import Counter

from ..base._errors import PeerError
from ..base._logs import logger
from . import _members
from ._events import Event
from ._versions import ServiceVersion

FORWARD_DELAY_S = 0.02
# Forwarding once to three peers misses 6% of the processes, some of which would
# get the update only after more than 3 s; a second round misses 0.3%.
NEXT_ROUND_DELAY_S = 0.25
FORWARD_ROUNDS = 2
DEFAULT_RETENTION_S = 60.0

MEMBER = "member"
VERSION = "version"
EVENT = "event"

log = logger("gossip")


class Dissemination:
    """Exchanges views each second and forwards updates immediately.

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
        self._last_control_contact_at = None
        self.is_control = members.own.role != "node"
        self._version_listeners = []
        self._pending_updates = {}
        self._flush_timer = None
        self._stopped = False
        self._tasks = set()
        self._update_handlers = {
            MEMBER: self._handle_member,
            VERSION: self._handle_version,
            EVENT: self._handle_event,
        }
        self.has_newest = _never_has_newest
        members.add_listener(self._member_changed)

    def publish(self, kind, payload, retention_s=DEFAULT_RETENTION_S):
        """Sends an event to all processes.

        :param kind: event kind that subscribers register for.
        :param payload: JSON value.
        :param retention_s: seconds for which processes that missed the event still
            receive it.
        :return: ID of the event.
        """
        now = self._clock.wall()
        event = Event(_new_event_id(), kind, now + retention_s, payload)
        self._events.add(event, now)
        self._queue(EVENT, event.event_id, event, self._gossip.hops())
        return event.event_id

    def subscribe(self, kind, handler):
        """Registers ``handler(payload)`` for events of a kind from other processes.

        It is called once for each event.
        """
        self._handlers.setdefault(kind, []).append(handler)

    def add_version_listener(self, listener):
        """Registers ``listener(service, address)`` for newer versions.

        The address is that of the process that sent the version, or empty.
        """
        self._version_listeners.append(listener)

    def announce_version(self, service, version, epoch):
        """Sends a document version and roster epoch to all processes."""
        if self._service_versions.merge(service, ServiceVersion(version, epoch)):
            self._queue_version(service, self._gossip.hops())
            self._notify_version_listeners([service], "")

    def announce_self(self):
        """Sends the record of this process to all processes."""
        self._member_changed(self._members.own)

    def announce_suspect(self, name):
        """Sends the record of a suspected member to all processes."""
        self._queue(MEMBER, name, self._members.get(name), self._gossip.hops())

    def record_control_contact(self, age_s, now):
        """Records contact with a control process, direct or reported by a peer.

        :param age_s: seconds since that contact.
        :param now: monotonic seconds.
        """
        contact_at = now - age_s
        if (
            self._last_control_contact_at is None
            or contact_at > self._last_control_contact_at
        ):
            self._last_control_contact_at = contact_at

    def control_age_s(self, now):
        """Returns the seconds since this process or a peer reached a control process.

        :param now: monotonic seconds.
        :return: seconds, ``None`` when no contact is known.
        """
        if self.is_control:
            return 0.0
        contact_at = self._last_control_contact_at
        return None if contact_at is None else now - contact_at

    async def exchange(self):
        """Exchanges views with one random peer."""
        address = self._gossip.choose_peer()
        if address is not None:
            await self.exchange_with(address)

    async def exchange_with(self, address):
        """Exchanges views with a peer.

        :return: whether the peer replied.
        """
        try:
            reply = await self._client.send(address, "gossip", self._gossip.greeting())
            self._handle_message(reply, address)
            message = self._gossip.follow_up(reply)
            if message is not None:
                reply = await self._client.send(address, "gossip", message)
                self._handle_message(reply, address)
        except PeerError as error:
            log.debug("Gossip with {} failed: {}.", address, error)
            self._exchange_counts["failed"] += 1
            return False
        self._exchange_counts["differing" if message else "equal"] += 1
        return True

    async def receive(self, message):
        """Handles an exchange message and returns the reply."""
        self._handle_message(message, "")
        return self._add_control_age(self._gossip.reply(message))

    async def receive_updates(self, message):
        """Handles updates that a peer forwards."""
        for hops, kind, payload in message["news"]:
            handler = self._update_handlers.get(kind)
            # A later release may send kinds that this release does not support.
            if handler is not None:
                handler(payload, hops - 1, message["from"])
        return {}

    def expire(self):
        """Marks unresponsive members as failed, and deletes old records and events."""
        self._members.expire(self._clock.monotonic())
        self._events.expire(self._clock.wall())

    async def flush(self):
        """Sends the pending updates."""
        if self._flush_timer is not None:
            self._flush_timer.cancel()
            self._flush_timer = None
        pending, self._pending_updates = self._pending_updates, {}
        if not pending:
            return
        self._schedule_next_round(pending)
        updates = [item for item, _ in pending.values()]
        for _, kind, payload in updates:
            if kind == VERSION:
                payload[-1] = self.has_newest(payload[0])
        message = {"v": 1, "from": self._members.own.peer_address, "news": updates}
        sends = [
            self._send_updates(address, message)
            for address in self._gossip.choose_peers()
        ]
        await asyncio.gather(*sends)

    def dump(self):
        """Returns the state as a dict."""
        return {
            **self._gossip.dump(),
            "exchanges": self._exchange_counts,
            "control_heard_s_ago": self.control_age_s(self._clock.monotonic()),
        }

    def stop(self):
        """Stops forwarding and cancels running sends."""
        self._stopped = True
        if self._flush_timer is not None:
            self._flush_timer.cancel()
        for task in list(self._tasks):
            task.cancel()

    def _add_control_age(self, message):
        age_s = self.control_age_s(self._clock.monotonic())
        if age_s is not None:
            message["control_age_s"] = round(age_s, 1)
        return message

    def _handle_message(self, message, address):
        if "control_age_s" in message:
            self.record_control_contact(
                message["control_age_s"], self._clock.monotonic()
            )
        changes = self._gossip.receive(message, self._clock.wall())
        self._notify_version_listeners(changes.services, address)
        for event in changes.events:
            self._run_handlers(event)

    def _handle_member(self, fields, hops, address):
        record = _members.decode(fields)
        if self._members.merge(record) and record.name != self._members.own.name:
            self._queue(MEMBER, record.name, record, hops)

    def _handle_version(self, fields, hops, address):
        service, version, epoch, sender_has_newest = fields[:4]
        if self._service_versions.merge(service, ServiceVersion(version, epoch)):
            self._queue_version(service, hops)
            self._notify_version_listeners(
                [service], address if sender_has_newest else ""
            )

    def _handle_event(self, fields, hops, address):
        event = Event(*fields[:4])
        if self._events.add(event, self._clock.wall()):
            self._queue(EVENT, event.event_id, event, hops)
            self._run_handlers(event)

    def _run_handlers(self, event):
        for handler in self._handlers.get(event.kind, ()):
            try:
                handler(event.payload)
            except Exception:
                log.exception("Handler of event {} failed.", event.kind)

    def _notify_version_listeners(self, services, address):
        for service in services:
            for listener in self._version_listeners:
                listener(service, address)

    def _member_changed(self, member):
        if member.name == self._members.own.name:
            self._queue(MEMBER, member.name, member, self._gossip.hops())

    def _queue_version(self, service, hops):
        service_version = self._service_versions.get(service)
        self._queue(VERSION, service, [service, *service_version, False], hops)

    def _queue(self, kind, key, payload, hops):
        if hops <= 0:
            return
        self._pending_updates[kind, key] = [hops, kind, payload], FORWARD_ROUNDS
        self._schedule_flush()

    def _schedule_flush(self):
        if self._flush_timer is None:
            loop = asyncio.get_running_loop()
            self._flush_timer = loop.call_later(FORWARD_DELAY_S, self._start_flush)

    def _schedule_next_round(self, pending):
        next_round = {
            key: (item, rounds - 1)
            for key, (item, rounds) in pending.items()
            if rounds > 1
        }
        if next_round and not self._stopped:
            loop = asyncio.get_running_loop()
            loop.call_later(NEXT_ROUND_DELAY_S, self._requeue, next_round)

    def _requeue(self, next_round):
        if self._stopped:
            return
        for key, item in next_round.items():
            self._pending_updates.setdefault(key, item)
        self._schedule_flush()

    def _start_flush(self):
        self._flush_timer = None
        task = asyncio.ensure_future(self.flush())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_updates(self, address, message):
        try:
            await self._client.send(address, "news", message)
        except PeerError as error:
            log.debug("Sending updates to {} failed: {}.", address, error)


def _never_has_newest(service):
    return False


def _new_event_id():
    return f"{random.getrandbits(96):024x}"

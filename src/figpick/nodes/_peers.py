"""Links to the owners of upstreams, on other nodes and on this one."""

import asyncio

from ..base._logs import logger
from ..directory import LEFT, is_key
from ..links import Dialer, Link
from ..placing import Load, Target
from ._known_notices import KnownNotices
from ._messages import ATTACH, BODY_CREDIT, HELLO, LOAD
from ._silence import SilenceDetector

log = logger("peers")


class LocalLink:
    """One end of an in-process link between the forwarder and the owner of a node.

    Messages are delivered in the next iteration of the event loop, as on a real link.

    :param on_message: called with this end of the link and the received message.
    """

    is_open = True
    is_congested = False
    is_backlogged = False
    grants_body_credit = True

    def __init__(self, on_message):
        self._on_message = on_message
        self.other_end = None

    def send(self, message):
        """Sends a message to the other end."""
        asyncio.get_running_loop().call_soon(self.other_end.deliver, message)

    def deliver(self, message):
        """Handles a message from the other end."""
        self._on_message(self, message)

    def close(self):
        """Does nothing; an in-process link cannot be closed."""


class Peer:
    """A node to which this node can send calls.

    :param record: its :class:`~figpick.directory.HostRecord`.
    :param is_same_data_center: whether it is in the same data centre as this node.
    :param notices: :class:`~figpick.nodes._known_notices.KnownNotices`.
    """

    def __init__(self, record, is_same_data_center, notices):
        self.record = record
        self._notices = notices
        self.target = Target(record.name, is_same_data_center)
        self.target.load = Load(0, 0, record.slots)
        self.dialer = None
        self.link = None
        self.token = None
        # Whether it has left or moved, so that only earlier responses are awaited.
        self.is_retired = False
        self._instance = ""
        self._is_leaving = False
        self.instance = record.instance
        self.attempts = {}
        self._silence = SilenceDetector()

    def __repr__(self):
        return f"<Peer {self.name} {'open' if self.link else 'closed'}>"

    @property
    def name(self):
        """Name of the node."""
        return self.record.name

    @property
    def instance(self):
        """Instance of the upstream to which calls are sent, empty without one."""
        return self._instance

    @instance.setter
    def instance(self, instance):
        self._instance = instance
        self._is_leaving = self._notices.is_leaving(self.name, instance)

    def mark_leaving(self, instance):
        """Sends no more calls to an instance, whatever its owner reports later.

        :param instance: identity of the instance, empty without an upstream.
        """
        if instance and not self._notices.is_leaving(self.name, instance):
            self._notices.mark_leaving(self.name, instance)
            self.instance = self._instance

    @property
    def is_suspected(self):
        """Whether the node did not respond when last checked, although it should."""
        return self._silence.is_suspected

    def reset_silence(self):
        """Ends the suspicion, since a new link is open."""
        self._silence = SilenceDetector()
        self.target.is_suspected = False

    def check_silence(self, now):
        """Probes the node if it owes a response and sends nothing.

        :param now: monotonic seconds.
        :return: whether the node has become suspected.
        """
        if self.dialer is None or self.link is None:
            return False
        was_suspected = self._silence.is_suspected
        oldest = next(iter(self.attempts.values()), None)
        owed_since, service_s = None, 0.0
        if oldest is not None:
            owed_since = oldest.sent_at
            service_s = self.target.expected_service_s(oldest.call.route.name)
        heard_at = self.link.last_received_at
        if self._silence.check(heard_at, owed_since, service_s, now):
            self.link.probe()
        self.target.is_suspected = self._silence.is_suspected
        return self._silence.is_suspected and not was_suspected

    def update_load(self, load, now):
        """Updates the load from a newer report of the owner.

        :param load: :class:`~figpick.placing.Load`.
        :param now: monotonic seconds.
        """
        self.target.update_load(load, now)
        # Without an upstream, the owner does not know the limit.
        if self.instance and load.limit:
            self._notices.set_rate_limit(self.name, self.instance, load.rate_limit)

    @property
    def accepts_calls(self):
        """Whether calls can be sent to the node now."""
        if self.link is None or not self._instance or self._is_leaving:
            return False
        return self.target.load.limit > 0


class Peers:
    """The known peers, by name and by service.

    :param settings: :class:`~figpick.nodes.NodeSettings`.
    :param token: random number that identifies this start of the process.
    :param directory: :class:`~figpick.directory.Directory`.
    :param clock: :class:`~figpick.base._clock.Clock`.
    :param handlers: the :class:`~figpick.nodes._forwarding.Forwarder`, whose methods
        are called for messages of peers, lost links, lost peers and services that
        have become available.
    """

    def __init__(self, settings, token, directory, clock, handlers):
        self._settings = settings
        self._token = token
        self._directory = directory
        self._clock = clock
        self._handlers = handlers
        self._peers = {}
        self._services = {}
        # Peers that get no new calls, while responses of earlier ones are awaited.
        self._retired = set()
        self._notices = KnownNotices()
        self._local_link = None

    def __repr__(self):
        return f"<Peers {len(self._peers)}>"

    def __iter__(self):
        return iter(self._peers.values())

    def open_links(self):
        """Returns the open links to other nodes."""
        peers = (*self, *self._retired)
        dialers = [peer.dialer for peer in peers if peer.dialer is not None]
        return [dialer.link for dialer in dialers if dialer.link is not None]

    def set_local_link(self, link):
        """Sets the link to the owner in the same process."""
        self._local_link = link

    def for_service(self, service):
        """Returns the peers of a service; the first use connects to them."""
        peers = self._services.get(service)
        if peers is None:
            peers = self._services[service] = []
            for record in self._directory.hosts(service):
                self._add(record)
        return peers

    def apply_record(self, record, now):
        """Applies a newer record of a node.

        A node that leaves or moves gets no new calls at its former place. Responses of
        the earlier ones may still be on the way, so its link stays open for them.

        :param now: monotonic seconds.
        """
        self.stop_retired()
        peer = self._peers.get(record.name)
        if record.has_leaving_upstream:
            self._mark_leaving(record)
        if peer is not None and (
            peer.record.address != record.address or record.state == LEFT
        ):
            self._retire(peer)
            peer = None
        elif peer is not None and peer.record.service != record.service:
            peer = self._change_service(peer, record)
        if peer is None:
            if record.service in self._services and record.state != LEFT:
                peer = self._add(record)
        else:
            peer.record = record
            if peer.link is None:
                peer.instance = record.instance
                peer.target.update_load(Load(0, 0, record.slots), now)
        if peer is not None and record.cold_s > 0:
            peer.target.cold_until = now + record.cold_s

    def _mark_leaving(self, record):
        peer = self._peers.get(record.name)
        if peer is not None:
            peer.mark_leaving(record.instance)
        else:
            self._notices.mark_leaving(record.name, record.instance)

    def forget(self, name):
        """Removes a node that no longer exists."""
        peer = self._peers.get(name)
        if peer is not None:
            self._remove(peer)

    def finish(self):
        """Finishes all links and stops reconnecting."""
        for peer in (*self, *self._retired):
            if peer.dialer is not None:
                peer.dialer.finish()

    def stop_retired(self):
        """Closes the links to nodes that have left and owe no more responses."""
        for peer in [peer for peer in self._retired if not peer.attempts]:
            self._retired.discard(peer)
            self._stop(peer)

    def stop(self):
        """Closes all links."""
        for peer in (*self, *self._retired):
            if peer.dialer is not None:
                peer.dialer.stop()

    def _add(self, record):
        for retired in self._retired:
            if retired.name == record.name and retired.dialer is not None:
                # Only one link to a process can be in use.
                retired.dialer.stop_reconnecting()
        peer = self._peers[record.name] = Peer(
            record, record.data_center == self._settings.data_center, self._notices
        )
        self._services.setdefault(record.service, []).append(peer)
        if record.name == self._settings.name:
            peer.token = self._token
            self._local_link.send((HELLO, self._settings.name, self._token))
            return peer

        def make_link():
            return Link(on_message, on_closed, self._clock)

        def on_open(link):
            notices = self._notices.of_host(peer.name)
            link.send((HELLO, self._settings.name, self._token, notices))

        def on_message(link, message):
            self._receive(peer, link, message)

        def on_closed(link):
            self._on_link_closed(peer, link)

        peer.dialer = Dialer(record.address, make_link, on_open, self._clock)
        peer.dialer.start()
        return peer

    def receive_local(self, link, message):
        """Handles a message from the owner in the same process."""
        own = self._peers.get(self._settings.name)
        for peer in (own, *self._retired):
            if peer is not None and peer.dialer is None:
                self._receive(peer, link, message)

    def _remove(self, peer):
        self._withhold(peer)
        self._stop(peer)
        self._drop_attempts(peer)

    def _withhold(self, peer):
        """Ensures that a peer gets no new calls."""
        self._retired.discard(peer)
        if self._peers.get(peer.name) is peer:
            del self._peers[peer.name]
        peers = self._services.get(peer.record.service, [])
        if peer in peers:
            peers.remove(peer)

    def _retire(self, peer):
        self._withhold(peer)
        self._retired.add(peer)
        peer.is_retired = True
        if peer.link is None:
            self._handlers.on_link_lost(peer)
        self.stop_retired()

    def _change_service(self, peer, record):
        if record.service not in self._services:
            self._retire(peer)
            return None
        self._withhold(peer)
        peer.instance = record.instance
        self._peers[peer.name] = peer
        self._services[record.service].append(peer)
        return peer

    def _stop(self, peer):
        if peer.dialer is not None:
            peer.dialer.stop()
        peer.link = None

    def _receive(self, peer, link, message):
        if message[0] == HELLO:
            self._handle_hello(peer, link, message)
            return
        if message[0] == LOAD:
            self.handle_load(peer, *message[1:])
            return
        if message[0] == BODY_CREDIT and not message[1]:
            link.grants_body_credit = True
            return
        if peer.link is link:
            self._handlers.on_peer_message(peer, message)

    def handle_load(self, peer, load, instance, service=None, is_draining=False):
        """Handles a load report of an owner.

        :param instance: instance of its upstream, empty without an upstream.
        :param service: service of its upstream, ``None`` from earlier releases.
        :param is_draining: whether its upstream is leaving.
        """
        if instance and not is_key(instance):
            log.warning("Load report of {!r:.80} refused.", instance)
            instance, load = "", Load(0, 0, 0)
        if is_draining:
            peer.mark_leaving(instance)
        if instance:
            # The report of another service can overtake the record of the node.
            is_same_service = service in (None, peer.record.service)
            peer.instance = instance if is_same_service else ""
        peer.update_load(Load(*load), self._clock.monotonic())
        if peer.accepts_calls:
            self._handlers.on_service_available(peer.record.service)

    def _handle_hello(self, peer, link, message):
        _, name, token = message
        if name != peer.name:
            # The address now belongs to another host, whose record arrives separately.
            log.info("Host {} answers in place of {}.", name, peer.name)
            link.close()
            if peer not in self._retired:
                self._directory.remove(peer.name)
            self._remove(peer)
            return
        if peer.token not in (None, token):
            self._drop_attempts(peer)
            if peer in self._retired:
                # The later start of the node has a peer of its own.
                self.stop_retired()
                return
        peer.token = token
        peer.link = link
        peer.reset_silence()
        if peer.attempts:
            link.send((ATTACH, list(peer.attempts)))
        log.notice("Link to {} is open.", name)
        if peer.accepts_calls:
            self._handlers.on_service_available(peer.record.service)

    def _on_link_closed(self, peer, link):
        if peer.link is not link:
            return
        peer.link = None
        log.notice(
            "Link to {} is lost.", peer.name, extra={"awaited": len(peer.attempts)}
        )
        self._handlers.on_link_lost(peer)

    def _drop_attempts(self, peer):
        attempts = list(peer.attempts.values())
        peer.attempts = {}
        if attempts:
            self._handlers.on_peer_lost(peer, attempts)

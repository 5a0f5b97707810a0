"""Links to the nodes beside other upstreams."""

import asyncio

from ..base._logs import logger
from ..directory import LEFT
from ..links import Dialer, Link
from ..placing import Load, Target
from ._messages import ATTACH, HELLO, LOAD

log = logger("peers")


class LocalLink:
    """Stands for a link between the two parts of one node.

    Messages are delivered in the next turn of the loop, as on a real link.

    :param on_message: called with the other end and the message.
    """

    is_open = True

    def __init__(self, on_message):
        self._on_message = on_message
        self.other = None

    def send(self, message):
        """Delivers a message to the other end."""
        asyncio.get_running_loop().call_soon(self.other.deliver, message)

    def deliver(self, message):
        """Takes a message from the other end."""
        self._on_message(self, message)

    def close(self):
        """A node is never cut off from itself."""


class Peer:
    """The node beside one upstream, as this node uses it.

    :param record: its :class:`~figpick.directory.HostRecord`.
    :param is_near: whether it is in the own data centre.
    """

    def __init__(self, record, is_near):
        self.record = record
        self.target = Target(record.name, is_near)
        self.target.load = Load(0, 0, record.slots)
        self.dialer = None
        self.link = None
        self.token = None
        self.instance = record.instance
        self.attempts = {}

    def __repr__(self):
        return f"<Peer {self.name} {'open' if self.link else 'closed'}>"

    @property
    def name(self):
        """Name of the node."""
        return self.record.name

    @property
    def accepts_calls(self):
        """Whether calls can be sent to it now."""
        return self.link is not None and bool(self.instance) and self.target.load.limit


class Peers:
    """Peers by name and by service.

    :param settings: :class:`~figpick.nodes.NodeSettings`.
    :param token: random number of this start.
    :param directory: :class:`~figpick.directory.Directory`.
    :param clock: :class:`~figpick.base._clock.Clock`.
    :param handlers: the :class:`~figpick.nodes._forwarding.Forwarder`; it gets each
        message of a peer, lost links and peers, and the services that can be called.
    """

    def __init__(self, settings, token, directory, clock, handlers):
        self._settings = settings
        self._token = token
        self._directory = directory
        self._clock = clock
        self._handlers = handlers
        self._peers = {}
        self._services = {}
        self._local = None

    def __repr__(self):
        return f"<Peers {len(self._peers)}>"

    def __iter__(self):
        return iter(self._peers.values())

    def set_local(self, link):
        """Sets the link to the owner in the same process."""
        self._local = link

    def for_service(self, service):
        """Lists the peers of a service and connects to those that are new."""
        peers = self._services.get(service)
        if peers is None:
            peers = self._services[service] = []
            for record in self._directory.hosts(service):
                self._add(record)
        return peers

    def apply(self, record, now):
        """Takes a newer record of a node.

        :param now: monotonic seconds.
        """
        peer = self._peers.get(record.name)
        if peer is not None and (
            peer.record.service != record.service
            or peer.record.address != record.address
            or record.state == LEFT
        ):
            self._remove(peer)
            peer = None
        if peer is None:
            if record.service in self._services and record.state != LEFT:
                peer = self._add(record)
        else:
            peer.record = record
            if peer.link is None:
                peer.instance = record.instance
                peer.target.report(Load(0, 0, record.slots), now)
        if peer is not None and record.cold_s > 0:
            peer.target.cold_until = now + record.cold_s

    def forget(self, name):
        """Drops a node that is gone."""
        peer = self._peers.get(name)
        if peer is not None:
            self._remove(peer)

    def stop(self):
        """Closes all links."""
        for peer in self._peers.values():
            if peer.dialer is not None:
                peer.dialer.stop()

    def _add(self, record):
        peer = self._peers[record.name] = Peer(
            record, record.data_center == self._settings.data_center
        )
        self._services.setdefault(record.service, []).append(peer)
        if record.name == self._settings.name:
            peer.token = self._token
            self._local.send((HELLO, self._settings.name, self._token))
            return peer

        def make_link():
            return Link(on_message, on_closed, self._clock)

        def on_open(link):
            link.send((HELLO, self._settings.name, self._token))

        def on_message(link, message):
            self._receive(peer, link, message)

        def on_closed(link):
            self._lose(peer, link)

        peer.dialer = Dialer(record.address, make_link, on_open, self._clock)
        peer.dialer.start()
        return peer

    def receive_local(self, link, message):
        """Takes a message of the owner in the same process."""
        peer = self._peers.get(self._settings.name)
        if peer is not None:
            self._receive(peer, link, message)

    def _remove(self, peer):
        del self._peers[peer.name]
        peers = self._services.get(peer.record.service, [])
        if peer in peers:
            peers.remove(peer)
        if peer.dialer is not None:
            peer.dialer.stop()
        peer.link = None
        attempts = list(peer.attempts.values())
        peer.attempts = {}
        if attempts:
            self._handlers.on_peer_lost(peer, attempts)

    def _receive(self, peer, link, message):
        if message[0] == HELLO:
            self._greet(peer, link, message)
            return
        if message[0] == LOAD:
            self.take_load(peer, message[1], message[2])
            return
        if peer.link is link:
            self._handlers.on_peer_message(peer, message)

    def take_load(self, peer, load, instance):
        """Takes the load that an owner reports with its instance."""
        peer.target.report(Load(*load), self._clock.monotonic())
        if instance:
            peer.instance = instance
        if peer.accepts_calls:
            self._handlers.on_service_available(peer.record.service)

    def _greet(self, peer, link, message):
        _, name, token = message
        if name != peer.name:
            # The address has gone to another host; its record will follow.
            log.info("Host {} answers in place of {}.", name, peer.name)
            link.close()
            self._directory.remove(peer.name)
            self._remove(peer)
            return
        if peer.token not in (None, token):
            self._give_up(peer)
        peer.token = token
        peer.link = link
        if peer.attempts:
            link.send((ATTACH, list(peer.attempts)))
        log.notice("Link to {} is open.", name)
        if peer.accepts_calls:
            self._handlers.on_service_available(peer.record.service)

    def _lose(self, peer, link):
        if peer.link is not link:
            return
        peer.link = None
        log.notice(
            "Link to {} is lost.", peer.name, extra={"awaited": len(peer.attempts)}
        )
        self._handlers.on_link_lost(peer)

    def _give_up(self, peer):
        attempts = list(peer.attempts.values())
        peer.attempts = {}
        if attempts:
            self._handlers.on_peer_lost(peer, attempts)

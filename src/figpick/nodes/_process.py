"""The node process, which creates and connects the parts of a node."""

import asyncio
import random

from ..admission import CrashQuarantine
from ..base._errors import FigpickError, InvalidDocumentError
from ..base._logs import CALL_LOG_LIMITER, logger
from ..base._memory import MemoryAccount, account_bytes
from ..base._pauses import PauseDetector
from ..base._supervisor import Supervisor
from ..directory import (
    DRAINING,
    LEFT,
    NO_UPSTREAM,
    NODE,
    Announcer,
    Directory,
    HostRecord,
)
from ..links import Link, listen
from ._control_links import ControlLinks
from ._counters import CallCounters
from ._departures import DepartureKeeper
from ._draining import Drainer
from ._entry import EntryServer
from ._forwarding import Forwarder
from ._messages import (
    ATTACH,
    BODY_CREDIT,
    BODY_PART,
    CALL,
    CANCEL,
    CREDIT,
    HELLO,
    WITHDRAW,
    CallMessage,
)
from ._owner import Owner
from ._peers import LocalLink, Peers
from ._summary import Summary
from ._upstream_reports import UpstreamReports

REFRESH_PERIOD_S = 1.0
# Other nodes send calls, parts of bodies and, in their greeting, what they know of each
# upstream. An object for each byte of a longer frame would not fit into the memory.
MAX_CALL_FRAME_BYTES = 1024 * 1024

log = logger("node")


class NodeProcess(UpstreamReports):
    """One node.

    :param settings: :class:`~figpick.nodes.NodeSettings`.
    :param clock: :class:`~figpick.base._clock.Clock`.
    :param decode: function that decodes a compressed document to a
        :class:`~figpick.configuration.Configuration`.
    :param read_upstream: function that returns the service and the address of the
        upstream in the present settings, or ``None`` if they cannot be read.
    """

    def __init__(self, settings, clock, decode, read_upstream=None):
        super().__init__(read_upstream)
        self._settings = settings
        self._clock = clock
        self._decode = decode
        self._token = random.getrandbits(48)
        self._is_stopping = False
        self._directory = Directory()
        record = HostRecord(
            settings.name,
            int(clock.wall() * 1000),
            0,
            self._token,
            NODE,
            *settings.link_address,
            settings.data_center,
            settings.service,
        )
        self._announcer = Announcer(record, self._directory, self._on_earlier_record)
        self.counters = CallCounters(clock)
        self._quarantine = CrashQuarantine()
        self._account = MemoryAccount(account_bytes(settings.memory_bytes))
        self._owner = Owner(
            settings,
            clock,
            self._quarantine,
            self._on_upstream_changed,
            self._on_crash,
            self._account,
        )
        pauses = PauseDetector(clock.monotonic())
        self._forwarder = Forwarder(settings, clock, self._owner, self.counters, pauses)
        self._peers = Peers(
            settings, self._token, self._directory, clock, self._forwarder
        )
        self._forwarder.use_peers(self._peers)
        self._entry = EntryServer(
            self._forwarder, clock, self._account, settings.max_descriptors
        )
        self._controls = ControlLinks(
            settings, self._token, self._announcer, clock, self
        )
        self._forwarder.use_controls(self._controls)
        self._departures = DepartureKeeper(self._controls.report_departure)
        self._caller_links = {}
        self._drainer = Drainer(
            settings,
            clock,
            self._entry,
            self._forwarder,
            self._owner,
            self._open_links,
            pauses,
        )
        self._metrics = None
        self._server = None
        self._connect_local()
        self._supervisor = Supervisor("node", clock)
        self._supervisor.add("entry", self._entry.enforce_timeouts)
        self._supervisor.add("refresh", self._refresh)
        self._supervisor.add("departures", self._departures.run)
        self._supervisor.add("pauses", self._drainer.record_pauses)
        self._supervisor.add("summary", Summary(self).run)

    def __repr__(self):
        return f"<NodeProcess {self._settings.name}>"

    @property
    def is_ready(self):
        """Whether clients may send requests."""
        return not self._is_stopping and self._forwarder.configuration is not None

    @property
    def owner(self):
        """:class:`~figpick.nodes._owner.Owner` of the upstream on this host."""
        return self._owner

    @property
    def account(self):
        """:class:`~figpick.base._memory.MemoryAccount` of the process."""
        return self._account

    @property
    def revision(self):
        """Revision of the active configuration, 0 before the first."""
        return self._controls.revision

    @property
    def open_control_links(self):
        """Number of open links to control processes."""
        return self._controls.open_count

    def admitted_shares(self):
        """Returns the share of admitted requests by route, where it is below 1."""
        return self._forwarder.policy.admitted_shares()

    def metrics_text(self):
        """Returns the metrics in the Prometheus exposition format, as bytes."""
        if self._metrics is None:
            # Imported on first use: the libraries need 5 MB of memory, which nodes
            # whose metrics are never read can save.
            from ._metrics import node_metrics

            self._metrics = node_metrics(self._settings.name, self)
        return self._metrics.render()

    def state(self):
        """Returns the state of the node for operators, as a JSON value."""
        configuration = self._forwarder.configuration
        return {
            "name": self._settings.name,
            "version": configuration.version if configuration else None,
            "revision": self._controls.revision,
            "controls": self._controls.open_count,
            "in_flight": self._forwarder.in_flight,
            "open": self.open_work(),
            "load": list(self._owner.load()),
            "held_bytes": self._account.held_bytes,
            "upstream": self._owner.view.state,
            "instance": self._owner.view.instance,
            "unstored_departures": self._departures.pending_count,
            "hosts": [list(record) for record in self._directory],
        }

    async def run(self):
        """Serves until cancelled."""
        self._server = await listen(
            self._settings.link_address, self._make_accepted_link
        )
        await self._entry.start(self._settings.call_address)
        self._controls.start()
        log.notice(
            "Node starts.",
            extra={
                "name": self._settings.name,
                "service": self._settings.service,
                "data_center": self._settings.data_center,
            },
        )
        await self._supervisor.run()

    def use_seeds(self, seeds):
        """Connects to the control processes named in reloaded settings.

        :param seeds: link addresses of control processes.
        """
        self._controls.connect(seeds)
        log.notice("Settings reloaded.", extra={"seeds": len(seeds)})
        self.reload_upstream()

    async def drain(self):
        """Stops the node gracefully and returns when the process may exit.

        Calls that exceed the grace period are aborted.
        """
        self._is_stopping = True
        await self._drainer.run(self._announce_left, self._stop_links)

    def open_work(self):
        """Returns the open calls by state and the unsent bytes, as a JSON value."""
        return self._drainer.open_work()

    def close_peer_links(self):
        """Closes the links to other nodes; they reconnect and calls continue."""
        for peer in self._peers:
            if peer.dialer is not None and peer.link is not None:
                peer.link.close()

    def close(self):
        """Closes all connections and links at once."""
        if self._server is not None:
            self._server.close()
        self._entry.close()
        self._peers.stop()
        self._controls.stop()
        for link in list(self._caller_links.values()):
            if link.is_open:
                link.close()

    def on_record(self, record):
        """Handles a newer record of another node."""
        self._peers.apply_record(record, self._clock.monotonic())

    def on_configuration(self, revision, document):
        """Activates a configuration from a control process if it is newer."""
        if revision <= self._controls.revision:
            return
        try:
            configuration = self._decode(document)
        except InvalidDocumentError as error:
            log.error("Configuration {} cannot be read: {}.", revision, error)
            return
        self._controls.revision = revision
        self._forwarder.configure(configuration)
        log.notice(
            "Configuration in force.",
            extra={
                "version": configuration.version,
                "revision": revision,
                "routes": len(configuration.routes),
            },
        )

    def on_crash_report(self, crash_id, fingerprints):
        """Records the requests that were running when an upstream crashed."""
        self._quarantine.record_crash(crash_id, fingerprints, self._clock.monotonic())

    def _announce_left(self):
        view = self._owner.view
        is_up = view.state != NO_UPSTREAM
        self._announcer.update(
            state=LEFT,
            instance=view.incarnation_key if is_up else "",
            slots=0 if view.state == DRAINING else max(1, view.slots),
        )
        self._controls.announce()

    def _stop_links(self):
        if self._server is not None:
            self._server.close()
        self._peers.finish()
        self._controls.finish()

    def _open_links(self):
        return {
            "callers": [
                link
                for (name, _), link in self._caller_links.items()
                if name != self._settings.name
            ],
            "owners": self._peers.open_links(),
            "controls": self._controls.open_links(),
        }

    def _on_crash(self, crash_id, fingerprints):
        self.on_crash_report(crash_id, fingerprints)
        self._controls.report_crash(crash_id, fingerprints)

    async def _refresh(self):
        while True:
            await asyncio.sleep(REFRESH_PERIOD_S)
            self._controls.fetch()
            self._peers.stop_retired()
            omitted = CALL_LOG_LIMITER.pop_omitted()
            if omitted:
                log.info("Lines left out.", extra={"counts": omitted})

    def _connect_local(self):
        caller_end = LocalLink(self._receive_local)
        owner_end = LocalLink(self._receive_call)
        caller_end.other_end = owner_end
        owner_end.other_end = caller_end
        owner_end.peer = None
        self._peers.set_local_link(caller_end)

    def _receive_local(self, link, message):
        self._peers.receive_local(link, message)

    def _make_accepted_link(self):
        return Link(
            self._receive_call,
            self._on_accepted_link_closed,
            self._clock,
            self._account,
            MAX_CALL_FRAME_BYTES,
        )

    def _on_accepted_link_closed(self, link):
        if self._caller_links.get(link.peer) is link:
            del self._caller_links[link.peer]
        self._owner.remove_link(link)

    def _receive_call(self, link, message):
        try:
            self._handle(link, message)
        except (FigpickError, TypeError, ValueError) as error:
            log.warning("Message from {} is invalid: {}.", link.peer, error)

    def _handle(self, link, message):
        # Every call passes through here, so messages are plain lists and the kinds are
        # compared in the order of their frequency.
        kind = message[0]
        if kind == CALL:
            _, number, *fields = message
            self._owner.handle_call(link, link.peer, number, CallMessage(*fields))
        elif kind == CANCEL:
            self._owner.cancel(link.peer, message[1], message[2])
        elif kind == CREDIT:
            self._owner.credit(link.peer, message[1], message[2])
        elif kind == BODY_PART:
            self._owner.add_body(link.peer, *message[1:])
        elif kind == HELLO:
            self._handle_hello(link, message)
        elif kind == WITHDRAW:
            self._owner.withdraw(link.peer, message[1])
        elif kind == ATTACH:
            self._owner.attach(link, link.peer, message[1])

    def _handle_hello(self, link, message):
        _, name, token, *rest = message
        peer = (name, token)
        earlier = self._caller_links.get(peer)
        if earlier is not None and earlier is not link:
            # Messages sent on the earlier link must not arrive after its calls have
            # been attached to the new one.
            earlier.close()
        link.peer = peer
        self._caller_links[peer] = link
        if rest:
            self._owner.adopt_notices(rest[0])
        # Before the greeting, since calls may follow it at once.
        link.send((BODY_CREDIT, 0, 0))
        link.send((HELLO, self._settings.name, self._token))
        self._owner.add_link(link)

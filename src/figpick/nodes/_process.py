"""The node process: its parts and how they are wired."""

import asyncio
import random

from ..admission import CrashJudge
from ..base._errors import FigpickError, InvalidDocumentError
from ..base._logs import CALL_LINES, logger
from ..base._supervisor import Supervisor
from ..directory import LEFT, NODE, Announcer, Directory, HostRecord
from ..links import Link, listen
from ._control_links import ControlLinks
from ._counters import CallCounters
from ._entry import Entry
from ._forwarding import Forwarder
from ._messages import ATTACH, BODY, CALL, CANCEL, CREDIT, HELLO, CallMessage
from ._owner import Owner
from ._peers import LocalLink, Peers

REFRESH_PERIOD_S = 1.0
SUMMARY_PERIOD_S = 5.0
# Clients leave a node after two readiness checks a second apart.
CLIENTS_LEAVE_S = 2.6
# The upstream gets calls of others until shortly before the node ends: most of them
# finish in the time that is left.
OWNER_STOPS_S = 1.8
# What still runs this long before the process is killed is cut off.
EXIT_MARGIN_S = 0.8
STOP_POLL_S = 0.05

log = logger("node")


class NodeProcess:
    """One node.

    :param settings: :class:`~figpick.nodes.NodeSettings`.
    :param clock: :class:`~figpick.base._clock.Clock`.
    :param decode: function from a compressed document to a
        :class:`~figpick.configuration.Configuration`.
    """

    def __init__(self, settings, clock, decode):
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
        self._announcer = Announcer(record, self._directory)
        self.counters = CallCounters(clock)
        self._judge = CrashJudge()
        self._owner = Owner(
            settings, clock, self._judge, self._on_upstream_changed, self._on_crash
        )
        self._forwarder = Forwarder(settings, clock, self._owner, self.counters)
        self._peers = Peers(
            settings, self._token, self._directory, clock, self._forwarder
        )
        self._forwarder.use_peers(self._peers)
        self._entry = Entry(self._forwarder, clock)
        self._controls = ControlLinks(
            settings, self._token, self._announcer, clock, self
        )
        self._callers = {}
        self._metrics = None
        self._server = None
        self._wire_local()
        self._supervisor = Supervisor("node", clock)
        self._supervisor.add("entry", self._entry.watch)
        self._supervisor.add("refresh", self._refresh)
        self._supervisor.add("summary", self._summarise)

    def __repr__(self):
        return f"<NodeProcess {self._settings.name}>"

    @property
    def is_ready(self):
        """Whether clients may send requests."""
        return not self._is_stopping and self._forwarder.configuration is not None

    @property
    def owner(self):
        """:class:`~figpick.nodes._owner.Owner` of the upstream beside the node."""
        return self._owner

    @property
    def revision(self):
        """Revision of the configuration in force, 0 before the first."""
        return self._controls.revision

    def shares(self):
        """Share of the requests that are admitted, by route."""
        return self._forwarder.policy.shares()

    def metrics_text(self):
        """Metrics in the Prometheus exposition format, as bytes."""
        if self._metrics is None:
            # The libraries take 5 MB, which a node without a reader need not pay.
            from ._metrics import node_metrics

            self._metrics = node_metrics(self._settings.name, self)
        return self._metrics.render()

    def state(self):
        """State of the node for operators, as a JSON value."""
        configuration = self._forwarder.configuration
        return {
            "name": self._settings.name,
            "version": configuration.version if configuration else None,
            "revision": self._controls.revision,
            "controls": self._controls.open_count,
            "in_flight": self._forwarder.in_flight,
            "load": list(self._owner.load()),
            "upstream": self._owner.view.state,
            "instance": self._owner.view.instance,
            "hosts": [list(record) for record in self._directory],
        }

    async def run(self):
        """Serves until cancelled."""
        self._server = await listen(self._settings.link_address, self._make_accepted)
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
        """Connects to control processes that changed settings name."""
        self._controls.connect(seeds)
        log.notice("Settings reloaded.", extra={"seeds": len(seeds)})

    async def drain(self):
        """Ends the node without cutting requests; returns when it may exit."""
        started_at = self._clock.monotonic()
        self._is_stopping = True
        self._entry.stop_keeping()
        log.notice("Node stops.", extra={"in_flight": self._forwarder.in_flight})
        await asyncio.sleep(OWNER_STOPS_S)
        self._owner.stop_taking()
        end_at = started_at + self._settings.grace_s - EXIT_MARGIN_S
        while (now := self._clock.monotonic()) < end_at:
            is_busy = self._owner.busy or self._forwarder.in_flight
            if now - started_at >= CLIENTS_LEAVE_S and not is_busy:
                # A request could still begin on any connection that stays open, so
                # they close before the last look.
                self._entry.close_idle()
                if self._entry.is_empty:
                    break
            await asyncio.sleep(STOP_POLL_S)
        self._announcer.update(state=LEFT)
        self._controls.announce()
        log.notice(
            "Node has stopped.",
            extra={
                "after_s": round(self._clock.monotonic() - started_at, 2),
                "in_flight": self._forwarder.in_flight,
                "running": self._owner.busy,
            },
        )
        self._entry.close()
        self._controls.finish()
        # What was written last leaves with the next turns of the loop.
        await asyncio.sleep(STOP_POLL_S)

    def close_peer_links(self):
        """Closes the links to other nodes; they open again and calls go on."""
        for peer in self._peers:
            if peer.dialer is not None and peer.link is not None:
                peer.link.close()

    def close(self):
        """Closes everything at once."""
        if self._server is not None:
            self._server.close()
        self._entry.close()
        self._peers.stop()
        self._controls.stop()
        for link in list(self._callers.values()):
            if link.is_open:
                link.close()

    def handle_report(self, report):
        """Takes a heartbeat of the upstream beside this node.

        :param report: :class:`~figpick.directory.UpstreamReport`.
        """
        if report.address != self._settings.upstream_address:
            log.warning(
                "Report of another address.",
                extra={"instance": report.instance, "address": list(report.address)},
            )
            return
        view = self._owner.view
        before = (view.instance, view.state, view.slots)
        if not view.take(report, self._clock.monotonic()):
            log.debug("Old report of {}.", report.instance)
            return
        if (view.instance, view.state, view.slots) != before:
            log.notice(
                "Upstream changed.",
                extra={
                    "instance": view.instance,
                    "state": view.state,
                    "slots": view.slots,
                    "sequence": report.sequence,
                    "cold_s": report.cold_s,
                },
            )
            self._owner.upstream_changed()

    def handle_leave(self, instance):
        """Takes the word of an upstream that it leaves."""
        if self._owner.view.leave(instance):
            log.notice("Upstream leaves.", extra={"instance": instance})
            self._owner.upstream_changed()

    def on_record(self, record):
        """Takes a newer record of another node."""
        self._peers.apply(record, self._clock.monotonic())

    def on_configuration(self, revision, document):
        """Takes a configuration of a control process."""
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
        """Takes the requests that ran when an upstream crashed."""
        self._judge.accuse(crash_id, fingerprints, self._clock.monotonic())

    def _on_crash(self, crash_id, fingerprints):
        self.on_crash_report(crash_id, fingerprints)
        self._controls.report_crash(crash_id, fingerprints)

    def _on_upstream_changed(self):
        view = self._owner.view
        report = view.report
        changed = self._announcer.update(
            service=report.service if report else self._settings.service,
            instance=view.instance,
            slots=view.slots,
            state=view.state,
            cold_s=report.cold_s if report else 0.0,
        )
        if changed:
            self._peers.apply(self._announcer.record, self._clock.monotonic())
            self._controls.announce()

    async def _refresh(self):
        while True:
            await asyncio.sleep(REFRESH_PERIOD_S)
            self._controls.fetch()
            omitted = CALL_LINES.take_omitted()
            if omitted:
                log.info("Lines left out.", extra={"counts": omitted})

    async def _summarise(self):
        before = {}
        while True:
            await asyncio.sleep(SUMMARY_PERIOD_S)
            outcomes = self.counters.outcomes
            counts = {
                f"{route} {outcome}": count - before.get((route, outcome), 0)
                for (route, outcome), count in outcomes.items()
                if count != before.get((route, outcome), 0)
            }
            before = dict(outcomes)
            log.notice(
                "Calls of the last seconds.",
                extra={
                    "seconds": SUMMARY_PERIOD_S,
                    "counts": counts,
                    "load": list(self._owner.load()),
                    "levels": self._owner.queue.levels(),
                    "shares": self.shares(),
                    "revision": self.revision,
                    "controls": self._controls.open_count,
                },
            )

    def _wire_local(self):
        calling = LocalLink(self._receive_local)
        owning = LocalLink(self._receive_call)
        calling.other = owning
        owning.other = calling
        owning.peer = None
        self._peers.set_local(calling)

    def _receive_local(self, link, message):
        self._peers.receive_local(link, message)

    def _make_accepted(self):
        return Link(self._receive_call, self._on_accepted_closed, self._clock)

    def _on_accepted_closed(self, link):
        if self._callers.get(link.peer) is link:
            del self._callers[link.peer]
        self._owner.drop_link(link)

    def _receive_call(self, link, message):
        try:
            self._handle(link, message)
        except (FigpickError, TypeError, ValueError) as error:
            log.warning("Message of {} cannot be used: {}.", link.peer, error)

    def _handle(self, link, message):
        # Every call passes here: plain lists, compared in the order of their frequency.
        kind = message[0]
        if kind == CALL:
            _, number, *fields = message
            self._owner.handle_call(link, link.peer, number, CallMessage(*fields))
        elif kind == CANCEL:
            self._owner.cancel(link.peer, message[1], message[2])
        elif kind == CREDIT:
            self._owner.credit(link.peer, message[1], message[2])
        elif kind == BODY:
            self._owner.add_body(link.peer, *message[1:])
        elif kind == HELLO:
            self._greet(link, message)
        elif kind == ATTACH:
            self._owner.attach(link, link.peer, message[1])

    def _greet(self, link, message):
        _, name, token = message
        peer = (name, token)
        earlier = self._callers.get(peer)
        if earlier is not None and earlier is not link:
            # What it still carries must not arrive after the calls are attached.
            earlier.close()
        link.peer = peer
        self._callers[peer] = link
        link.send((HELLO, self._settings.name, self._token))
        self._owner.add_link(link)

"""The composition root: creates and connects the components of one process."""

import asyncio
import gc
import os
import random
import signal
import sys
from functools import partial

from ..base._clock import Clock
from ..base._errors import FigpickError
from ..base._logs import logger
from ..base._supervisor import Supervisor
from ..calls._recorder import FLUSH_PERIOD_S, Recorder
from ..claims._claim_sync import PERIOD_S as CLAIM_SYNC_PERIOD_S, ClaimSynchronizer
from ..membership._dissemination import Dissemination
from ..membership._events import EventStore
from ..membership._fetching import ControlDocuments, DocumentFetcher
from ..membership._gossip import PERIOD_S as GOSSIP_PERIOD_S, Gossip
from ..membership._members import LEFT, Member, Members
from ..membership._probing import Prober
from ..membership._versions import ServiceVersions
from ..messaging._auth import Authenticator
from ..messaging._transport import PeerClient, PeerServer
from ..permits._exchange import EXCHANGE_PERIOD_S
from ..retries._quarantine_coordinator import EVENT_KIND as QUARANTINE_KIND
from . import _shutdown
from ._node import Node
from ._state import StateDump

EXIT_FAILED = 1
# Settings are read at the start only, so SIGHUP stops a process as well: its supervisor
# starts it again with the new ones. By default the signal would cut its calls.
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
# The default first threshold of 700 triggers several collections per request.
GC_THRESHOLDS = (20_000, 20, 50)

log = logger("process")


class Process:
    """A figpick process with the roles that its settings name.

    :param settings: :class:`~figpick.base._settings.Settings`.
    """

    def __init__(self, settings):
        self._settings = settings
        self.clock = Clock()
        authenticator = Authenticator(
            settings["shared_key"], settings.get("previous_keys", ())
        )
        self._client = PeerClient(authenticator, self.clock)
        self._server = PeerServer(settings["peer_address"], authenticator, self.clock)
        self._members = Members(self._own_record())
        self.supervisor = Supervisor("process", self.clock)
        self._node = None
        self._control = None
        self._fetcher = None
        self._service_versions = ServiceVersions()
        control = settings.get("control", [])
        self._control_addresses = [member["address"] for member in control]
        self._state = StateDump(settings["name"])
        self._server.set_handler("state", self._state.receive)
        self._stop_requested = asyncio.Event()
        if "node" in settings["roles"]:
            self._add_node(authenticator)
        if "control" in settings["roles"]:
            self._add_control()
        self._add_dissemination()
        self._add_state(authenticator)
        self._metrics = self._make_metrics(authenticator)

    @property
    def members(self):
        """The :class:`~figpick.membership._members.Members` known to this process."""
        return self._members

    @property
    def node(self):
        """The node role, or ``None`` if the process does not have it."""
        return self._node

    async def run(self):
        """Runs until :meth:`request_stop` is called or a component fails too often.

        :raises RestartLimitError: when a component failed too often, once the calls in
            flight have ended.
        """
        loop = asyncio.get_running_loop()
        for number in STOP_SIGNALS:
            # Programs started by nohup keep running after SIGHUP.
            if signal.getsignal(number) is not signal.SIG_IGN:
                loop.add_signal_handler(number, self.request_stop)
        await self.start()
        # Objects created so far live as long as the process, so later collections
        # can skip them.
        gc.collect()
        gc.freeze()
        supervision = asyncio.ensure_future(self.supervisor.run())
        stop = asyncio.ensure_future(self._stop_requested.wait())
        try:
            await asyncio.wait([supervision, stop], return_when=asyncio.FIRST_COMPLETED)
            if self._node is not None:
                flush_members = self._dissemination.flush
                await _shutdown.drain(self._node, flush_members, self.clock)
            if self._control is not None:
                await self._control.drain()
            if supervision.done():
                supervision.result()
        finally:
            supervision.cancel()
            stop.cancel()
            await self.stop()

    def request_stop(self):
        """Makes :meth:`run` drain the node, leave the membership and return."""
        self._stop_requested.set()

    async def start(self):
        """Starts the roles, but not the supervisor."""
        if self._control is not None:
            self._control.start()
            self._announce_versions()
        self._server.start()
        self._dissemination.announce_self()
        if self._node is not None:
            await self._fetcher.confirm()
            self._node.start()
        log.info("Process {} has started.", self._settings["name"])

    async def stop(self):
        """Leaves the membership and stops the roles."""
        self._members.update_own(state=LEFT)
        await self._dissemination.flush()
        self.close()
        await self.close_listeners()
        if self._metrics is not None:
            await self._metrics.stop()
        log.info("Process {} has stopped.", self._settings["name"])

    async def close_listeners(self):
        """Stops accepting calls and messages."""
        if self._node is not None:
            await self._node.stop()
        await self._server.stop()

    def close(self):
        """Stops background tasks without notifying other processes."""
        self._dissemination.stop()
        self._prober.stop()
        if self._fetcher is not None:
            self._fetcher.stop()
        self._client.close()

    def _add_node(self, authenticator):
        self._node = Node(
            self._settings, self.clock, authenticator.key, self._members, self._client
        )
        self._server.set_handler("exchange", self._node.exchange.handle_renewal)
        self._server.set_handler("permits", self._node.exchange.handle_push)
        self._server.set_handler("cancel", self._node.cancellations.receive)
        self._server.set_handler("retry_grant", self._node.retries.handle_grant_request)
        self._server.set_handler(
            "suspect_slot", self._node.quarantine_coordinator.handle_slot_request
        )
        self._server.set_handler(
            QUARANTINE_KIND, self._node.quarantine_coordinator.handle_events
        )
        self._server.set_handler(
            "unquarantine", self._node.quarantine_coordinator.unquarantine
        )
        group = self.supervisor.add_group("node")
        self._add_claims(group)
        if "record" in self._settings:
            record = self._settings["record"]
            recorder = self._node.recorder = Recorder(record["file"], record["share"])
            group.add_periodic("recorder", recorder.flush, FLUSH_PERIOD_S)
        group.add_periodic("permits", self._node.renew_permits, EXCHANGE_PERIOD_S)
        group.add_periodic("announcement", self._node.check_announcement, 1)
        group.add_periodic("reach", self._node.drop_unreachable_upstreams, 1)

    def _add_claims(self, group):
        claims = self._node.claims
        claim_synchronizer = ClaimSynchronizer(
            claims, self.clock, self._client, self._control_addresses
        )
        for kind in ("claim", "lookup", "finish", "release"):
            self._server.set_handler(kind, partial(claims.receive, kind))
        self._server.set_handler("roster", claims.receive_roster)
        self._server.set_handler("copy", claim_synchronizer.receive)
        service = self._settings.get("service", "")
        refresh = partial(claim_synchronizer.refresh, service)
        group.add_periodic("claims", refresh, CLAIM_SYNC_PERIOD_S)

    def _add_control(self):
        # Imported here so that a plain node does not load the replicated log.
        from ..claims._roster_proposer import RosterProposer
        from ._control import Control

        self._control = Control(self._settings, self.clock, self._client)
        self._control.add_handlers(self._server)
        self._control.add_tasks(self.supervisor.add_group("control"))
        proposer = RosterProposer(
            self._members, lambda: self._control.registry, self.clock
        )
        self._control.propose_rosters = proposer.propose
        # Replaces the handler of the control role: the process that applied a change
        # announces it immediately.
        self._server.set_handler("put", self._put)

    def _add_dissemination(self):
        events = EventStore()
        rng = random.Random()
        gossip = Gossip(
            self._members, self._service_versions, events, self._seeds(), rng
        )
        self._dissemination = Dissemination(
            self._members,
            gossip,
            self._service_versions,
            events,
            self._client,
            self.clock,
        )
        self._prober = Prober(
            self._members,
            self._client,
            self.clock,
            rng,
            self._dissemination.announce_suspect,
        )
        if self._node is not None:
            self._node.quarantine_coordinator.publish = self._dissemination.publish
            self._dissemination.subscribe(
                QUARANTINE_KIND, self._node.quarantine_coordinator.apply_events
            )
        self._client.add_listener(self._record_contact)
        self._server.set_handler("gossip", self._dissemination.receive)
        self._server.set_handler("news", self._dissemination.receive_updates)
        self._server.set_handler("probe", self._prober.handle_probe)
        self._server.set_handler("ping", self._ping)
        self._add_documents(rng)
        group = self.supervisor.add_group("membership")
        group.add_periodic("gossip", self._run_gossip, GOSSIP_PERIOD_S)
        group.add_periodic("sweep", self._sweep, GOSSIP_PERIOD_S)

    def _add_documents(self, rng):
        if self._node is None:
            documents = ControlDocuments(self._control)
        else:
            documents = self._fetcher = self._make_fetcher(rng)
            self._dissemination.add_version_listener(documents.start_fetch)
            self._dissemination.has_newest = documents.has_newest
            self._node.fetcher = documents
        if self._control is not None:
            documents = ControlDocuments(self._control)
            self._dissemination.has_newest = self._has_newest_document
        self._server.set_handler("document", documents.serve)

    def _make_fetcher(self, rng):
        settings = self._settings
        own_services = [settings["service"]] if "service" in settings else []
        return DocumentFetcher(
            self._node,
            self._members,
            self._service_versions,
            self._client,
            self._control_addresses,
            self._seeds(),
            own_services + settings.get("calls", []),
            rng,
        )

    async def _run_gossip(self):
        self._announce_versions()
        await self._dissemination.exchange()
        if self._fetcher is not None:
            await self._fetcher.refresh()

    async def _sweep(self):
        self._dissemination.expire()
        self._client.close_idle(self.clock.monotonic())

    async def _put(self, message):
        reply = await self._control.put(message)
        self._announce_versions()
        return reply

    async def _ping(self, message):
        return {}

    def _announce_versions(self):
        if self._control is None:
            return
        epochs = self._control.registry.epochs
        for service, version in self._control.versions.items():
            epoch = epochs.get(service, 0)
            self._dissemination.announce_version(service, version, epoch)

    def _has_newest_document(self, service):
        newest = self._service_versions.get(service)
        registry = self._control.registry
        version = registry.versions.get(service, 0)
        epoch = registry.epochs.get(service, 0)
        return version >= newest.version and epoch >= newest.epoch

    def _record_contact(self, address, kind, has_reply):
        reply_tracker = self._members.reply_tracker
        if has_reply:
            now = self.clock.monotonic()
            reply_tracker.record_reply(address, now)
            if address in self._control_addresses:
                self._dissemination.record_control_contact(0.0, now)
            return
        reply_tracker.record_failure(address)
        # A ping checks a process on behalf of another one. Its failure must not cause
        # further checks.
        if kind != "ping":
            self._prober.check(address)

    def _own_record(self):
        settings = self._settings
        return Member(
            name=settings["name"],
            incarnation=int(self.clock.wall() * 1000),
            version=1,
            state="cold",
            role="+".join(settings["roles"]),
            service=settings.get("service", ""),
            peer_address=settings["peer_address"],
            call_address=settings.get("call_address", ""),
            upstream_address="",
            data_center=settings["data_center"],
            region=settings["region"],
            slots=0,
            connections=0,
        )

    def _seeds(self):
        return self._control_addresses + self._settings.get("seeds", [])

    def _add_state(self, authenticator):
        add = self._state.add
        add("members", lambda: [member._asdict() for member in self._members])
        add("gossip", self._dissemination.dump)
        add("traffic", self._dump_traffic)
        add("authentication", authenticator.dump)
        add("supervisor", self.supervisor.dump)
        if self._node is not None:
            add("node", self._node.dump)
            add("documents", self._fetcher.dump)
        if self._control is not None:
            add("control", self._control.dump)

    def _make_metrics(self, authenticator):
        if "metrics" not in self._settings:
            return None
        from . import _metrics

        reader = _metrics.make_reader(self._settings["metrics"])
        metrics = _metrics.Metrics(self._settings, reader)
        metrics.add_counters("peers", _metrics.TRAFFIC_COUNTERS, self._dump_traffic)
        metrics.add_counters(
            "authentication", _metrics.AUTHENTICATION_COUNTERS, authenticator.dump
        )
        metrics.add_members(self._members)
        if self._node is not None:
            metrics.add_node(self._node)
        if self._control is not None:
            metrics.add_control(self._control)
        return metrics

    def _dump_traffic(self):
        client, server = self._client, self._server
        return {
            "sent": client.sent_count,
            "received": server.received_count,
            "sent_bytes": client.sent_bytes + server.sent_bytes,
            "received_bytes": client.received_bytes + server.received_bytes,
        }


def run(settings):
    """Runs one process until it receives SIGTERM, SIGINT or SIGHUP.

    The process exits with status 1 when one of its components fails too often.

    :param settings: :class:`~figpick.base._settings.Settings`.
    """
    with asyncio.Runner(loop_factory=_loop_factory()) as runner:
        try:
            runner.run(_run_process(settings))
        except FigpickError as error:
            log.critical("The process ends: {}.", error)
            sys.exit(EXIT_FAILED)


def configure_garbage_collection():
    """Makes garbage collections rare and short, so that they do not delay calls."""
    gc.collect()
    # Modules live as long as the process, so collections can skip them.
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


async def _run_process(settings):
    configure_garbage_collection()
    await Process(settings).run()
    # A repeated signal must not end the process as killed while it exits.
    loop = asyncio.get_running_loop()
    for number in STOP_SIGNALS:
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)


def _loop_factory():
    # Prevents libuv from using io_uring, which figpick processes must not use.
    os.environ["UV_USE_IO_URING"] = "0"
    try:
        import uvloop
    except ImportError:
        return None
    return uvloop.new_event_loop

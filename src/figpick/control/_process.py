"""The control process, which connects its links, directory and quorum member."""

import asyncio
import random
from functools import singledispatchmethod

from ..base._errors import PeerError
from ..base._expiring_table import ExpiringTable
from ..base._logs import logger
from ..base._memory import MemoryAccount, account_bytes
from ..base._supervisor import Supervisor
from ..configuration import ChangeSet, Departure
from ..directory import CONTROL, LEFT, NODE, Announcer, Directory, HostRecord, is_key
from ..links import Dialer, Link, finish_links, listen
from ._departures import DepartureAnnouncer
from ._leader_requests import PUT, READ, LeaderRequests
from ._membership import MembershipKeeper
from ._messages import (
    CrashReport,
    CurrentConfiguration,
    DepartureReport,
    FetchConfiguration,
    Hello,
    IdentityReply,
    IdentityRequest,
    LeaderReply,
    LeaderRequest,
    QuorumMessage,
    RecordTable,
    RecordUpdate,
    RevisionUpdate,
    deliver,
    encode,
)
from ._quorum_member import QuorumMember, format_address
from ._reconfiguration import describe_members

RECONFIGURATION_PERIOD_S = 0.3
# Time for the last messages to processes that read slowly.
FLUSH_TIMEOUT_S = 2.0
# A process that runs closes a finished link within a round trip.
UNCONFIRMED_TIMEOUT_S = 0.5
# Nodes refuse a request that crashes upstreams for this long after its last crash.
CRASH_TTL_S = 120.0
MAX_CRASHES = 256

log = logger("control")


class ControlProcess:
    """Serves the replicated configuration and the directory of hosts.

    :param settings: :class:`~figpick.control.ControlSettings`.
    :param clock: :class:`~figpick.base._clock.Clock`.
    """

    def __init__(self, settings, clock):
        self._settings = settings
        self._clock = clock
        self._token = random.getrandbits(48)
        self._directory = Directory()
        record = HostRecord(
            settings.name,
            int(clock.wall() * 1000),
            0,
            self._token,
            CONTROL,
            *settings.link_address,
            settings.data_center,
        )
        self._announcer = Announcer(record, self._directory)
        self._member = QuorumMember(settings, clock, self._send_to, self._on_applied)
        self._dialers = {}
        self._accepted_links = set()
        self._account = MemoryAccount(account_bytes(settings.memory_bytes))
        self._crashes = ExpiringTable(CRASH_TTL_S, MAX_CRASHES)
        self._leader_requests = LeaderRequests(self._member, self._leader_link)
        self._departures = DepartureAnnouncer(self._member, self._leader_requests)
        self._is_finished = False
        self._membership = MembershipKeeper(
            self._member, self._directory, self._link_to, settings.tolerated_losses
        )
        self._announced_revision = 0
        self._tasks = set()
        self._metrics = None
        self._server = None
        self._supervisor = Supervisor("control", clock)
        self._supervisor.add("quorum", self._member.run)
        self._supervisor.add("formation", self._member.form)
        self._supervisor.add("repair", self._reconfigure_periodically)

    def __repr__(self):
        return f"<ControlProcess {self._settings.name}>"

    @property
    def member(self):
        """:class:`~figpick.control._quorum_member.QuorumMember`."""
        return self._member

    def state(self):
        """Returns the state of the process for operators, as a JSON value."""
        replica = self._member.replica
        return {
            "name": self._settings.name,
            "identity": self._member.identity,
            "is_leader": self._member.is_leader,
            "leader": self._member.leader_address,
            "members": describe_members(replica.raft.members) if replica else None,
            "quorum": self._membership.describe(self._clock.monotonic()),
            "version": self._member.registry.version,
            "revision": self._member.registry.revision,
            "hosts": [list(record) for record in self._directory],
        }

    def quorum_health(self):
        """Returns the state of the voters as this process sees it now.

        :return: :class:`~figpick.control._quorum_health.QuorumHealth`.
        """
        return self._membership.quorum_health(self._clock.monotonic())

    @property
    def account(self):
        """:class:`~figpick.base._memory.MemoryAccount` of the process."""
        return self._account

    @property
    def host_count(self):
        """Number of processes in the directory."""
        return len(self._directory)

    def metrics_text(self):
        """Returns metrics in the Prometheus exposition format, as bytes."""
        if self._metrics is None:
            # Imported on first use: the libraries take 5 MB of memory, which a process
            # whose metrics are not read does not need.
            from ._metrics import control_metrics

            self._metrics = control_metrics(self._settings.name, self)
        return self._metrics.render()

    async def run(self):
        """Serves until cancelled."""
        self._server = await listen(
            self._settings.link_address, self._make_accepted_link
        )
        for seed in self._settings.seeds:
            self._dial(seed)
        log.notice(
            "Control process starts.",
            extra={"name": self._settings.name, "seeds": len(self._settings.seeds)},
        )
        await self._supervisor.run()

    def use_seeds(self, seeds):
        """Connects to the control processes named in reloaded settings.

        :param seeds: link addresses.
        """
        for seed in seeds:
            self._dial(seed)
        log.notice("Settings reloaded.", extra={"seeds": len(seeds)})

    async def drain(self):
        """Finishes requests of operators, hands over and announces the end.

        Returns when other processes have read everything that was sent to them, or
        after a bounded time. No links are opened after the present ones are finished.
        """
        await self._leader_requests.finish()
        await self._member.hand_over()
        self._is_finished = True
        self._announcer.update(state=LEFT)
        self._announce()
        links = [dialer.link for dialer in self._dialers.values()]
        links = [*filter(None, links), *self._accepted_links]
        if self._server is not None:
            self._server.close()
        for dialer in self._dialers.values():
            dialer.finish()
        unsent_bytes = await finish_links(
            links, UNCONFIRMED_TIMEOUT_S, FLUSH_TIMEOUT_S, self._clock
        )
        log.notice("Control process stops.", extra={"unsent_bytes": unsent_bytes})

    def close(self):
        """Closes the server and all links immediately."""
        if self._server is not None:
            self._server.close()
        for dialer in self._dialers.values():
            dialer.stop()
        for link in list(self._accepted_links):
            link.close()

    async def put(self, change):
        """Replicates a change set through the leader.

        :param change: :class:`~figpick.configuration.ChangeSet`.
        :return: version of the change set.
        :raises VersionConflictError: when it is not based on the current version.
        :raises NoQuorumError: when the outcome is not known.
        """
        version = await self._leader_requests.send(PUT, change._asdict())
        log.notice("Configuration accepted.", extra=change.log_fields())
        return version

    async def read(self):
        """Returns the newest change set, confirmed by a quorum.

        :return: :class:`~figpick.configuration.ChangeSet`, or ``None`` when none was
            accepted yet.
        :raises NoQuorumError: when no quorum confirms it.
        """
        fields = await self._leader_requests.send(READ, None)
        return ChangeSet(**fields) if fields else None

    def _leader_link(self):
        return self._link_to(self._member.leader_address)

    def _make_accepted_link(self):
        on_closed = self._on_accepted_closed
        return Link(self._receive, on_closed, self._clock, self._account)

    def _on_accepted_closed(self, link):
        self._accepted_links.discard(link)

    def _dial(self, address):
        key = format_address(address)
        is_known = key in self._dialers or tuple(address) == self._settings.link_address
        if is_known or self._is_finished:
            return

        def make_link():
            return Link(self._receive, lambda link: None, self._clock)

        dialer = Dialer(tuple(address), make_link, self._on_open, self._clock)
        self._dialers[key] = dialer
        dialer.start()

    def _on_open(self, link):
        link.send(encode(Hello(self._settings.name, self._token)))
        link.send(encode(RecordUpdate(list(self._announcer.record))))

    def _send_to(self, address, message):
        if address not in self._dialers:
            ip, _, port = address.rpartition(":")
            self._dial((ip, int(port)))
        link = self._link_to(address)
        if link is not None:
            link.send(encode(message))

    def _link_to(self, address):
        """Returns an open link to the process at an address, or ``None``."""
        dialer = self._dialers.get(address)
        link = dialer.link if dialer is not None else None
        return link or self._accepted_link_from(address)

    def _accepted_link_from(self, address):
        """Returns a link that the process at an address has opened, or ``None``.

        After a loss of power, attempts to reach a process that was still down may wait
        for their timeout while that process has already opened a link.
        """
        for link in self._accepted_links:
            record = self._directory.get(link.peer)
            if record is not None and format_address(record.address) == address:
                return link
        return None

    def _receive(self, link, items):
        deliver(self._handle, link, items, log)

    @singledispatchmethod
    def _handle(self, message, link):
        """Handles a message of another process."""
        raise PeerError(f"control processes do not handle {type(message).__name__}")

    @_handle.register
    def _handle_hello(self, message: Hello, link):
        link.peer = message.name
        if link not in self._accepted_links and not self._is_dialled(link):
            self._accepted_links.add(link)
            link.send(encode(Hello(self._settings.name, self._token)))
            records = [list(record) for record in self._directory]
            link.send(encode(RecordTable(records)))
            link.send(encode(RevisionUpdate(self._member.registry.revision)))
            self._departures.send_all(link)
            # A process that starts again has forgotten them.
            for crash_id, _, fingerprints in self._crashes.items(
                self._clock.monotonic()
            ):
                link.send(encode(CrashReport(crash_id, fingerprints)))

    def _is_dialled(self, link):
        return any(dialer.link is link for dialer in self._dialers.values())

    @_handle.register
    def _handle_record_update(self, message: RecordUpdate, link):
        self._handle_records([message.fields])

    def _handle_records(self, records):
        for record in self._announcer.handle_records(records):
            if record.role == CONTROL and record.name != self._settings.name:
                self._dial(record.address)
            self._broadcast(RecordUpdate(list(record)))

    @_handle.register
    def _handle_record_table(self, message: RecordTable, link):
        self._handle_records(message.records)

    @_handle.register
    def _handle_revision_update(self, message: RevisionUpdate, link):
        """Ignores the revision: control processes replicate the same log."""

    @_handle.register
    def _handle_fetch_configuration(self, message: FetchConfiguration, link):
        registry = self._member.registry
        if registry.current is not None:
            document = registry.current.document
            link.send(encode(CurrentConfiguration(registry.revision, document)))

    @_handle.register
    def _handle_crash_report(self, message: CrashReport, link):
        now = self._clock.monotonic()
        self._crashes.put(message.crash_id, message.fingerprints, now)
        for other in list(self._accepted_links):
            # Nodes report to several control processes. Each forwards the report to
            # nodes only; otherwise it would circulate endlessly between the control
            # processes.
            if other is not link and self._is_node(other):
                other.send(encode(message))

    @_handle.register
    def _handle_departure(self, message: DepartureReport, link):
        if not is_key(message.incarnation):
            raise PeerError(f"{message.incarnation!r:.80} is not an incarnation")
        self._start(self._departures.store(Departure(*message), link))

    def _is_node(self, link):
        record = self._directory.get(link.peer)
        return record is not None and record.role == NODE

    @_handle.register
    def _handle_identity_request(self, message: IdentityRequest, link):
        link.send(encode(IdentityReply(self._member.identify())))

    @_handle.register
    def _handle_identity_reply(self, message: IdentityReply, link):
        self._member.handle_identity(message.description)

    @_handle.register
    def _handle_quorum_message(self, message: QuorumMessage, link):
        self._member.receive(message.kind, message.fields)

    @_handle.register
    def _handle_leader_request(self, message: LeaderRequest, link):
        self._start(self._leader_requests.serve(link, message))

    def _start(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    @_handle.register
    def _handle_leader_reply(self, message: LeaderReply, link):
        self._leader_requests.handle_reply(message)

    def _on_applied(self):
        revision = self._member.registry.revision
        # The revision decreases when the data folder is opened again after an error.
        if revision != self._announced_revision:
            self._announced_revision = revision
            self._broadcast(RevisionUpdate(revision))
        self._departures.announce(self._accepted_links)

    def _broadcast(self, message):
        for link in list(self._accepted_links):
            link.send(encode(message))

    def _announce(self):
        message = RecordUpdate(list(self._announcer.record))
        for dialer in self._dialers.values():
            if dialer.link is not None:
                dialer.link.send(encode(message))
        self._broadcast(message)

    async def _reconfigure_periodically(self):
        while True:
            await asyncio.sleep(RECONFIGURATION_PERIOD_S)
            if self._announcer.update(identity=self._member.identity):
                self._announce()
            self._membership.update(self._clock.monotonic())

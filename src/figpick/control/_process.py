"""The control process: its parts and how they are wired."""

import asyncio
import random
from functools import singledispatchmethod

from ..base._errors import PeerError
from ..base._logs import logger
from ..base._supervisor import Supervisor
from ..configuration import ChangeSet
from ..directory import CONTROL, LEFT, NODE, Announcer, Directory, HostRecord
from ..links import Dialer, Link, listen
from ._leader import PUT, READ, LeaderCalls
from ._member import QuorumMember, text_address
from ._messages import (
    Ask,
    Crash,
    CurrentConfiguration,
    Fetch,
    Hello,
    Identify,
    Identity,
    Quorum,
    Record,
    Revision,
    Table,
    Told,
    deliver,
    encode,
)
from ._repair import describe, next_members

REPAIR_PERIOD_S = 0.3
log = logger("control")


class ControlProcess:
    """One control process.

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
        self._accepted = set()
        self._leader = LeaderCalls(self._member, self._leader_link)
        self._told_revision = 0
        self._tasks = set()
        self._metrics = None
        self._server = None
        self._supervisor = Supervisor("control", clock)
        self._supervisor.add("quorum", self._member.run)
        self._supervisor.add("formation", self._member.form)
        self._supervisor.add("repair", self._repair)

    def __repr__(self):
        return f"<ControlProcess {self._settings.name}>"

    @property
    def member(self):
        """:class:`~figpick.control._member.QuorumMember`."""
        return self._member

    def state(self):
        """State of the process for operators, as a JSON value."""
        replica = self._member.replica
        return {
            "name": self._settings.name,
            "identity": self._member.identity,
            "is_leader": self._member.is_leader,
            "leader": self._member.leader_address,
            "members": describe(replica.raft.members) if replica else None,
            "version": self._member.registry.version,
            "revision": self._member.registry.revision,
            "hosts": [list(record) for record in self._directory],
        }

    @property
    def host_count(self):
        """Number of processes that are known."""
        return len(self._directory)

    def metrics_text(self):
        """Metrics in the Prometheus exposition format, as bytes."""
        if self._metrics is None:
            # The libraries take 5 MB, which a process without a reader need not pay.
            from ._metrics import control_metrics

            self._metrics = control_metrics(self._settings.name, self)
        return self._metrics.render()

    async def run(self):
        """Serves until cancelled."""
        self._server = await listen(self._settings.link_address, self._make_accepted)
        for seed in self._settings.seeds:
            self._dial(seed)
        log.notice(
            "Control process starts.",
            extra={"name": self._settings.name, "seeds": len(self._settings.seeds)},
        )
        await self._supervisor.run()

    def use_seeds(self, seeds):
        """Connects to control processes that changed settings name."""
        for seed in seeds:
            self._dial(seed)
        log.notice("Settings reloaded.", extra={"seeds": len(seeds)})

    async def drain(self):
        """Says goodbye and closes the links."""
        self._announcer.update(state=LEFT)
        self._announce()
        for dialer in self._dialers.values():
            if dialer.link is not None:
                dialer.link.finish()
        log.notice("Control process stops.")

    def close(self):
        """Closes everything at once."""
        if self._server is not None:
            self._server.close()
        for dialer in self._dialers.values():
            dialer.stop()
        for link in list(self._accepted):
            link.close()

    async def put(self, change):
        """Accepts a configuration.

        :param change: :class:`~figpick.configuration.ChangeSet`.
        :return: its version.
        :raises VersionConflictError: when it does not build on the current version.
        :raises NoQuorumError: when the outcome is not known.
        """
        version = await self._leader.ask(PUT, change._asdict())
        log.notice(
            "Configuration accepted.",
            extra={
                "version": version,
                "base": change.base,
                "digest": change.digest[:12],
            },
        )
        return version

    async def read(self):
        """Gives the newest configuration, confirmed by a quorum.

        :return: :class:`~figpick.configuration.ChangeSet`, ``None`` before the first.
        :raises NoQuorumError: when no quorum confirms it.
        """
        fields = await self._leader.ask(READ, None)
        return ChangeSet(**fields) if fields else None

    def _leader_link(self):
        dialer = self._dialers.get(self._member.leader_address)
        return dialer.link if dialer is not None else None

    def _make_accepted(self):
        return Link(self._receive, self._accepted_closed, self._clock)

    def _accepted_closed(self, link):
        self._accepted.discard(link)

    def _dial(self, address):
        name = text_address(address)
        if name in self._dialers or tuple(address) == self._settings.link_address:
            return

        def make_link():
            return Link(self._receive, lambda link: None, self._clock)

        dialer = Dialer(tuple(address), make_link, self._on_open, self._clock)
        self._dialers[name] = dialer
        dialer.start()

    def _on_open(self, link):
        link.send(encode(Hello(self._settings.name, self._token)))
        link.send(encode(Record(list(self._announcer.record))))

    def _send_to(self, address, message):
        dialer = self._dialers.get(address)
        if dialer is None:
            ip, _, port = address.rpartition(":")
            self._dial((ip, int(port)))
            return
        if dialer.link is not None:
            dialer.link.send(encode(message))

    def _receive(self, link, items):
        deliver(self._take, link, items, log)

    @singledispatchmethod
    def _take(self, message, link):
        """Takes a message of another process."""
        raise PeerError(f"{type(message).__name__} is not for control processes")

    @_take.register
    def _take_hello(self, message: Hello, link):
        link.peer = message.name
        if link not in self._accepted and not self._is_dialled(link):
            self._accepted.add(link)
            link.send(encode(Hello(self._settings.name, self._token)))
            records = [list(record) for record in self._directory]
            link.send(encode(Table(records)))
            link.send(encode(Revision(self._member.registry.revision)))

    def _is_dialled(self, link):
        return any(dialer.link is link for dialer in self._dialers.values())

    @_take.register
    def _take_record(self, message: Record, link):
        self._learn(message.fields)

    def _learn(self, fields):
        record = self._announcer.handle_record(fields)
        if record is None:
            return
        if record.role == CONTROL and record.name != self._settings.name:
            self._dial(record.address)
        self._broadcast(Record(list(record)))

    @_take.register
    def _take_table(self, message: Table, link):
        for fields in message.records:
            self._learn(fields)

    @_take.register
    def _take_revision(self, message: Revision, link):
        """Other control processes hold the same log."""

    @_take.register
    def _take_fetch(self, message: Fetch, link):
        registry = self._member.registry
        if registry.current is not None:
            document = registry.current.document
            link.send(encode(CurrentConfiguration(registry.revision, document)))

    @_take.register
    def _take_crash(self, message: Crash, link):
        for other in list(self._accepted):
            # Nodes report to several control processes; each tells nodes only, or
            # the report would go round between them for ever.
            if other is not link and self._is_node(other):
                other.send(encode(message))

    def _is_node(self, link):
        record = self._directory.get(link.peer)
        return record is not None and record.role == NODE

    @_take.register
    def _take_identify(self, message: Identify, link):
        link.send(encode(Identity(self._member.identify())))

    @_take.register
    def _take_identity(self, message: Identity, link):
        self._member.learn(message.answer)

    @_take.register
    def _take_quorum(self, message: Quorum, link):
        self._member.receive(message.kind, message.fields)

    @_take.register
    def _take_ask(self, message: Ask, link):
        task = asyncio.ensure_future(self._leader.answer(link, message))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    @_take.register
    def _take_told(self, message: Told, link):
        self._leader.take(message)

    def _on_applied(self):
        revision = self._member.registry.revision
        if revision > self._told_revision:
            self._told_revision = revision
            self._broadcast(Revision(revision))

    def _broadcast(self, message):
        for link in list(self._accepted):
            link.send(encode(message))

    def _announce(self):
        message = Record(list(self._announcer.record))
        for dialer in self._dialers.values():
            if dialer.link is not None:
                dialer.link.send(encode(message))
        self._broadcast(message)

    async def _repair(self):
        while True:
            await asyncio.sleep(REPAIR_PERIOD_S)
            if self._announcer.update(identity=self._member.identity):
                self._announce()
            if self._member.is_leader:
                self._repair_once()

    def _repair_once(self):
        raft = self._member.replica.raft
        candidates = {
            record.identity: text_address(record.address)
            for record in self._directory.controls()
            if record.identity
        }
        members = next_members(
            raft.members,
            self._member.identity,
            candidates,
            raft.progress,
            raft.log.last_index,
            self._clock.monotonic(),
        )
        if members is not None:
            log.notice("Members change.", extra=describe(members))
            self._member.change_members(members)

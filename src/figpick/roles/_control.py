"""The control role: accepts requests of operators and forwards them to the leader."""

import asyncio
from functools import partial

from ..base._errors import (
    FigpickError,
    NoQuorumError,
    PeerRefusedError,
    PeerUnreachableError,
)
from ..base._logs import logger
from ..consensus._formation import name_of
from ..consensus._quorum import QuorumMember
from ..registry._registry_commands import parse_service, put_command, roster_command
from ._control_members import MembershipChanges

NOT_FOUND = 404
NO_QUORUM = 503
# Long enough for an election that has to be repeated once.
FIND_LEADER_TIMEOUT_S = 4.0
FORWARD_TIMEOUT_S = 2.0
RETRY_PAUSE_S = 0.1
ROSTER_PERIOD_S = 1.0
# A request ends within this time, except for changes of members, which may be resent.
STOP_TIMEOUT_S = FIND_LEADER_TIMEOUT_S + FORWARD_TIMEOUT_S
STOP_POLL_PERIOD_S = 0.05

log = logger("control")


class Control:
    """Serves the replicated registry.

    :param settings: :class:`~figpick.base._settings.Settings`.
    :param clock: :class:`~figpick.base._clock.Clock`.
    :param client: :class:`~figpick.messaging._transport.PeerClient`.
    """

    def __init__(self, settings, clock, client):
        self._name = settings["name"]
        self._clock = clock
        self._client = client
        self._quorum = QuorumMember(settings, clock, client)
        self._membership = MembershipChanges(self._quorum, clock, client)
        self._propose_rosters = None
        self._in_flight = 0
        self._is_stopping = False

    @property
    def versions(self):
        """Versions of the documents that this process has applied, by service."""
        return self._registry.versions

    @property
    def registry(self):
        """:class:`~figpick.registry._registry.Registry`, for reading only."""
        return self._registry

    @property
    def propose_rosters(self):
        """Function that proposes rosters, or ``None``.

        The leader calls it every second with the monotonic time in seconds and
        commits the rosters that it returns, dicts with ``service``, ``epoch`` and
        ``positions``.
        """
        return self._propose_rosters

    @propose_rosters.setter
    def propose_rosters(self, function):
        self._propose_rosters = function

    def start(self):
        """Loads the durable state.

        :raises StorageError: when it is damaged or used by another process.
        """
        self._quorum.start()

    def add_handlers(self, server):
        """Registers the message handlers of this role.

        :param server: :class:`~figpick.messaging._transport.PeerServer`.
        """
        for kind in ("vote", "append", "snapshot"):
            server.set_handler(kind, partial(self._quorum.receive, kind))
        server.set_handler("identify", self._quorum.identify)
        server.set_handler("put", self.put)
        server.set_handler("get", self.get)
        server.set_handler("history", self.history)
        server.set_handler("status", self.status)
        server.set_handler("members", self.change_members)

    def add_tasks(self, supervisor):
        """Adds the tasks of this role.

        :param supervisor: :class:`~figpick.base._supervisor.Supervisor`.
        """
        supervisor.add("quorum", self._quorum.run)
        supervisor.add("formation", self._quorum.form)
        supervisor.add_periodic("rosters", self._commit_rosters, ROSTER_PERIOD_S)

    async def drain(self):
        """Refuses new requests of operators and waits for those in flight.

        The wait ends after ``STOP_TIMEOUT_S``.
        """
        self._is_stopping = True
        deadline = self._clock.monotonic() + STOP_TIMEOUT_S
        while self._in_flight:
            if self._clock.monotonic() > deadline:
                log.warning("Requests of operators are still in flight.")
                return
            await asyncio.sleep(STOP_POLL_PERIOD_S)

    async def put(self, message):
        """Commits a change of a service document.

        :param message: dict with ``document``, ``base``, ``change`` and ``author``.
        :return: dict with ``service``, ``version`` and ``change``.
        """
        put_command(message, 0)
        return await self._run_at_leader("put", message, self._quorum.put)

    async def get(self, message):
        """Returns the current document of a service, confirmed by a quorum.

        :return: dict with ``document``, ``version`` and ``roster``.
        """
        parse_service(message)
        return await self._run_at_leader("get", message, self._get)

    async def history(self, message):
        """Returns the changes of a service document, confirmed by a quorum."""
        parse_service(message)
        return await self._run_at_leader("history", message, self._history)

    async def status(self, message):
        """Returns the state of the leader, confirmed by a quorum."""
        return await self._run_at_leader("status", message, self._status)

    async def change_members(self, message):
        """Adds or removes a control process.

        :param message: dict with ``action``, ``name`` and, if the action is ``add``,
            ``address``.
        """
        timeout_s = self._membership.timeout_s
        return await self._run_at_leader(
            "members", message, self._membership.change, timeout_s
        )

    async def document(self, message):
        """Returns the document of a service that this process has applied.

        The document is committed, but this process may not have applied a newer one
        yet. Compare the versions before use.
        """
        return self._find_document(message["service"])

    async def documents(self, message):
        """Returns the documents of several services that this process has applied.

        :param message: dict with ``services``; unknown services are omitted.
        """
        entries = map(self._registry.get, message["services"])
        return {"documents": [entry for entry in entries if entry is not None]}

    async def confirmed_documents(self, message):
        """Returns the documents of several services, confirmed by a quorum."""
        return await self._run_at_leader("document", message, self._confirmed_documents)

    def dump(self):
        """Returns the state of the role as a dict."""
        replica = self._quorum.replica
        raft = replica.raft
        return {
            "identity": replica.identity,
            "must_be_added": self._quorum.must_be_added,
            "failure": None if replica.failure is None else str(replica.failure),
            "role": "none" if self._quorum.needs_operator else raft.role,
            "term": raft.term,
            "leader": raft.leader and name_of(raft.leader),
            "index": replica.applied_index,
            "commit": raft.commit_index,
            "first_kept_index": raft.log.base_index + 1,
            "members": self._dump_members(),
            "documents": self.versions,
            "rosters": self._registry.epochs,
            "answers": self._registry.result_count,
        }

    @property
    def _registry(self):
        return self._quorum.replica.registry

    async def _get(self, message):
        await self._quorum.confirm()
        return self._find_document(message["service"])

    async def _confirmed_documents(self, message):
        await self._quorum.confirm()
        return await self.documents(message)

    async def _history(self, message):
        await self._quorum.confirm()
        self._find_document(message["service"])
        return self._registry.history(message["service"])

    async def _status(self, message):
        await self._quorum.confirm()
        return self.dump()

    def _find_document(self, service):
        entry = self._registry.get(service)
        if entry is None:
            raise PeerRefusedError(NOT_FOUND, {"error": f"no document for {service!r}"})
        return entry

    async def _run_at_leader(
        self, kind, message, function, timeout_s=FORWARD_TIMEOUT_S
    ):
        """Runs a request in this process if it is the leader, otherwise forwards it.

        :param kind: message kind under which the request is forwarded.
        :param function: coroutine function that runs the request on the leader.
        :param timeout_s: seconds within which the leader must reply.
        """
        if self._is_stopping:
            raise NoQuorumError("no quorum: this process is stopping")
        self._in_flight += 1
        try:
            return await self._retry_at_leader(kind, message, function, timeout_s)
        finally:
            self._in_flight -= 1

    async def _retry_at_leader(self, kind, message, function, timeout_s):
        deadline = self._clock.monotonic() + FIND_LEADER_TIMEOUT_S
        while True:
            try:
                if self._quorum.replica.raft.is_leader:
                    return await function(message)
                return await self._forward(kind, message, timeout_s)
            except NoQuorumError as error:
                failure = error
            if message.get("forwarded") or self._quorum.needs_operator:
                raise failure
            if self._is_stopping or self._clock.monotonic() > deadline:
                raise failure
            await asyncio.sleep(RETRY_PAUSE_S)

    async def _forward(self, kind, message, timeout_s):
        address = self._quorum.leader_address
        if message.get("forwarded") or address is None:
            raise NoQuorumError("no quorum: no leader is known")
        message = {**message, "forwarded": self._name}
        try:
            return await self._client.send(address, kind, message, timeout_s)
        except PeerUnreachableError as error:
            raise NoQuorumError(f"no quorum: {error}") from error
        except PeerRefusedError as error:
            if error.status != NO_QUORUM:
                raise
            raise NoQuorumError(error.body.get("error", "no quorum")) from error

    async def _commit_rosters(self):
        if self._propose_rosters is None or self._quorum.needs_operator:
            return
        if not self._quorum.replica.raft.is_leader:
            return
        for proposal in self._propose_rosters(self._clock.monotonic()):
            try:
                self._registry.check_roster(proposal)
                await self._quorum.propose(roster_command(proposal))
            except FigpickError as error:
                log.warning(
                    "Roster proposal for {} failed: {}.", proposal["service"], error
                )

    def _dump_members(self):
        raft = self._quorum.replica.raft
        now = self._clock.monotonic()
        members = []
        for identity, address in raft.members.addresses.items():
            member = {
                "name": name_of(identity),
                "address": address,
                "voter": identity in raft.members.voters,
            }
            progress = raft.progress.get(identity)
            if progress is not None:
                member["missing_entries"] = raft.log.last_index - progress.match
                member["protocol"] = progress.version
                member["heard_s_ago"] = round(now - progress.last_reply_at, 3)
            members.append(member)
        return members

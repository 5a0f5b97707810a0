"""The control role: takes requests of operators and passes them to the leader."""

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
# Long enough for an election, with one that is repeated.
FIND_LEADER_S = 4.0
FORWARD_TIMEOUT_S = 2.0
RETRY_PAUSE_S = 0.1
ROSTER_PERIOD_S = 1.0

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
        self._members = MembershipChanges(self._quorum, clock, client)
        self._propose_rosters = None

    @property
    def versions(self):
        """Document versions that this process has applied, by service."""
        return self._registry.versions

    @property
    def registry(self):
        """:class:`~figpick.registry._registry.Registry`, for reading only."""
        return self._registry

    @property
    def propose_rosters(self):
        """Function from monotonic seconds to roster proposals, or ``None``.

        The leader calls it every second and commits what it returns: dicts with
        ``service``, ``epoch`` and ``positions``.
        """
        return self._propose_rosters

    @propose_rosters.setter
    def propose_rosters(self, function):
        self._propose_rosters = function

    def start(self):
        """Reads the durable state.

        :raises StorageError: when it is damaged or in use.
        """
        self._quorum.start()

    def add_handlers(self, server):
        """Sets the handlers of the messages of this role.

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

    async def put(self, message):
        """Accepts a change of a service document.

        :param message: dict with ``document``, ``base``, ``change``, ``author``.
        :return: dict with ``service``, ``version`` and ``change``.
        """
        put_command(message, 0)
        return await self._at_leader("put", message, self._quorum.put)

    async def get(self, message):
        """Gives the current document of a service, confirmed by a quorum.

        :return: dict with ``document``, ``version`` and ``roster``.
        """
        parse_service(message)
        return await self._at_leader("get", message, self._get)

    async def history(self, message):
        """Lists the changes of a service, confirmed by a quorum."""
        parse_service(message)
        return await self._at_leader("history", message, self._history)

    async def status(self, message):
        """Gives the state of the quorum, confirmed by it."""
        return await self._at_leader("status", message, self._status)

    async def change_members(self, message):
        """Adds or removes a control process.

        :param message: dict with ``action``, ``name`` and, to add, ``address``.
        """
        timeout_s = self._members.timeout_s
        return await self._at_leader(
            "members", message, self._members.change, timeout_s
        )

    async def document(self, message):
        """Gives the document that this process has applied.

        It is committed, but a newer one may be: use it only with its version.
        """
        return self._entry(message["service"])

    async def documents(self, message):
        """Gives the documents of several services that this process has applied.

        :param message: dict with ``services``; unknown ones are left out.
        """
        entries = map(self._registry.get, message["services"])
        return {"documents": [entry for entry in entries if entry is not None]}

    async def confirmed_documents(self, message):
        """Gives the documents of several services, confirmed by a quorum."""
        return await self._at_leader("document", message, self._confirmed_documents)

    def dump(self):
        """Gives the state of the role as a dict."""
        replica = self._quorum.replica
        raft = replica.raft
        return {
            "identity": replica.identity,
            "must_be_added": self._quorum.must_be_added,
            "failure": None if replica.failure is None else str(replica.failure),
            "role": "none" if self._quorum.needs_operator else raft.role,
            "term": raft.term,
            "leader": raft.leader and name_of(raft.leader),
            "index": replica.applied,
            "commit": raft.commit,
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
        return self._entry(message["service"])

    async def _confirmed_documents(self, message):
        await self._quorum.confirm()
        return await self.documents(message)

    async def _history(self, message):
        await self._quorum.confirm()
        self._entry(message["service"])
        return self._registry.history(message["service"])

    async def _status(self, message):
        await self._quorum.confirm()
        return self.dump()

    def _entry(self, service):
        entry = self._registry.get(service)
        if entry is None:
            raise PeerRefusedError(NOT_FOUND, {"error": f"no document for {service!r}"})
        return entry

    async def _at_leader(self, kind, message, function, timeout_s=FORWARD_TIMEOUT_S):
        """Runs a request here when this process leads, else at the leader.

        :param timeout_s: seconds that the leader may take.
        """
        limit = self._clock.monotonic() + FIND_LEADER_S
        while True:
            try:
                if self._quorum.replica.raft.is_leader:
                    return await function(message)
                return await self._forward(kind, message, timeout_s)
            except NoQuorumError as error:
                refusal = error
            if message.get("forwarded") or self._quorum.needs_operator:
                raise refusal
            if self._clock.monotonic() > limit:
                raise refusal
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
                log.warning("Roster of {} refused: {}.", proposal["service"], error)

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

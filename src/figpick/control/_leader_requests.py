"""Configuration changes, reads and departures, executed by the leader of the quorum."""

import asyncio
from contextlib import contextmanager

from ..base._errors import ConflictError, FigpickError, NoQuorumError
from ..base._logs import logger
from ..configuration import (
    ACCEPTED,
    CONFLICT,
    ChangeSet,
    Departure,
    Refusal,
    VersionConflictError,
)
from ._messages import LeaderReply, LeaderRequest, encode

# Operators try another control process after one second without a response.
REPLY_TIMEOUT_S = 0.9
LEADER_POLL_S = 0.03
# A request may contain a large change set.
RETRY_DELAY_S = 0.1
# Longest wait for the version that a change is based on.
BASE_WAIT_S = 0.5
BASE_POLL_S = 0.01
STOP_POLL_S = 0.01
PUT = "put"
READ = "read"
DEPART = "depart"

log = logger("control")


class LeaderRequests:
    """Sends requests to the leader, and serves them while this process leads.

    :param member: :class:`~figpick.control._quorum_member.QuorumMember`.
    :param leader_link: function that returns the open link to the leader, or
        ``None``.
    """

    def __init__(self, member, leader_link):
        self._member = member
        self._leader_link = leader_link
        self._pending = {}
        self._last_number = 0
        self._active_count = 0
        self._is_stopping = False

    def __repr__(self):
        return f"<LeaderRequests {len(self._pending)} pending>"

    async def send(self, kind, value):
        """Sends a request to the leader, or serves it here if this process leads.

        :param kind: ``put``, ``read`` or ``depart``.
        :param value: fields of a change set or of a departure, or ``None``.
        :return: the version of the change, the fields of the newest change set, or
            ``True`` once a departure is stored.
        :raises VersionConflictError: when a change is not based on the current
            version.
        :raises NoQuorumError: when the outcome is not known.
        """
        failures = []
        try:
            with self._counted():
                async with asyncio.timeout(REPLY_TIMEOUT_S):
                    return await self._send_until_served(kind, value, failures)
        except TimeoutError as error:
            reason = self._missing_reply() if not failures else failures[-1]
            raise NoQuorumError(reason) from error

    async def serve(self, link, request):
        """Serves a request of another process and sends the reply.

        :param link: link to the process.
        :param request: :class:`~figpick.control._messages.LeaderRequest`.
        """
        number = request.number
        try:
            with self._counted():
                if not self._member.is_leader:
                    raise NoQuorumError("no quorum: this process does not lead")
                result = await self._serve_as_leader(request.kind, request.value)
        except ConflictError as error:
            reply = LeaderReply(number, "conflict", [str(error), error.current])
        except FigpickError as error:
            reply = LeaderReply(number, "no-quorum", [str(error)])
        except Exception as error:
            log.exception("A request of {} cannot be served.", link.peer)
            reply = LeaderReply(number, "no-quorum", [f"no result: {error!r}"])
        else:
            reply = LeaderReply(number, "", result)
        link.send(encode(reply))

    def handle_reply(self, reply):
        """Completes the pending request that a reply of the leader belongs to.

        :param reply: :class:`~figpick.control._messages.LeaderReply`.
        """
        future = self._pending.get(reply.number)
        if future is None or future.done():
            return
        if not reply.error:
            future.set_result(reply.value)
        elif reply.error == "conflict":
            future.set_exception(VersionConflictError(*reply.value))
        else:
            future.set_exception(NoQuorumError(*reply.value))

    async def finish(self):
        """Accepts no more requests and waits until those that run have a result."""
        self._is_stopping = True
        try:
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                while self._active_count:
                    await asyncio.sleep(STOP_POLL_S)
        except TimeoutError:
            log.warning("{} requests of operators have no result.", self._active_count)

    @contextmanager
    def _counted(self):
        if self._is_stopping:
            raise NoQuorumError("no quorum: this process stops")
        self._active_count += 1
        try:
            yield
        finally:
            self._active_count -= 1

    async def _send_until_served(self, kind, value, failures):
        """Sends a request to each leader in turn until one serves it.

        A change set that is sent twice is accepted once, so a request whose outcome is
        not known can be sent again.

        :param failures: list to which the texts of the errors are added.
        """
        while True:
            link = self._leader_link()
            try:
                if self._member.is_leader:
                    return await self._serve_as_leader(kind, value)
                if link is not None:
                    return await self._send_on_link(link, kind, value)
            except NoQuorumError as error:
                failures.append(str(error))
                await asyncio.sleep(RETRY_DELAY_S)
            else:
                await asyncio.sleep(LEADER_POLL_S)

    async def _send_on_link(self, link, kind, value):
        self._last_number += 1
        number = self._last_number
        future = asyncio.get_running_loop().create_future()
        self._pending[number] = future
        try:
            link.send(encode(LeaderRequest(number, kind, value)))
            while not future.done():
                await asyncio.wait((future,), timeout=LEADER_POLL_S)
                if not future.done() and self._is_superseded(link):
                    raise NoQuorumError("no quorum: the leader changed")
            return future.result()
        finally:
            del self._pending[number]

    def _is_superseded(self, link):
        """Returns whether a request must be sent again, elsewhere than on a link.

        While no leader is known, the reply may still arrive on the link.
        """
        leader_link = self._leader_link()
        is_other = leader_link is not None and leader_link is not link
        return is_other or self._member.is_leader or not link.is_open

    def _missing_reply(self):
        if self._member.is_leader:
            return "no quorum: no majority answered this leader"
        address = self._member.leader_address
        if address is None:
            return "no quorum: no leader is known"
        if self._leader_link() is None:
            return f"no quorum: no link to the leader {address}"
        return f"no quorum: the leader {address} did not answer"

    async def _serve_as_leader(self, kind, value):
        if kind == READ:
            registry = await self._member.confirm()
            current = registry.current
            return current._asdict() if current else None
        if kind == DEPART:
            return await self._store_departure(Departure(**value))
        change = ChangeSet(**value)
        position = self._member.position()
        try:
            return await self._put_as_leader(change)
        except VersionConflictError as error:
            self._log_refused(change, position, error)
            raise

    async def _store_departure(self, departure):
        if departure not in self._member.registry.departures:
            await self._member.propose(departure)
            log.notice("The end of an upstream is stored.", extra=departure._asdict())
        return True

    async def _put_as_leader(self, change):
        registry = self._member.registry
        decision = registry.decide(change)
        if decision == CONFLICT:
            # The registry may lack committed changes: a new leader learns of the last
            # ones after its election, and a leader that was cut off does not.
            await self._wait_for_base(change)
            registry = await self._member.confirm()
            decision = registry.decide(change)
        if decision == CONFLICT and registry.may_apply_later(change):
            # Another copy of the change may arrive after its base, so the refusal must
            # be known to each later leader before the operator gets it.
            decision = await self._member.propose(
                Refusal(change.version, change.base, change.digest)
            )
        if decision == CONFLICT:
            raise registry.conflict_error(change)
        if decision == ACCEPTED:
            return change.version
        return await self._member.propose(change)

    async def _wait_for_base(self, change):
        """Waits for the version that a change is based on, if it may still arrive.

        Operators have several changes in progress. A refusal would be wrong if the base
        and then another copy of the change were accepted after it.
        """
        loop = asyncio.get_running_loop()
        end_at = loop.time() + BASE_WAIT_S
        while self._member.is_leader and loop.time() < end_at:
            if not self._member.registry.may_apply_later(change):
                return
            await asyncio.sleep(BASE_POLL_S)

    def _log_refused(self, change, position, error):
        """Logs a refusal with what this leader knew on arrival and knows now.

        Digests that were known on arrival are never refused.
        """
        log.info(
            "Leader refuses a configuration.",
            extra={
                **change.log_fields(),
                "conflict": str(error),
                "known_digest_before": False,
                "known_digest_after": self._member.registry.is_accepted(change.digest),
                "on_arrival": position._asdict(),
                "on_refusal": self._member.position()._asdict(),
            },
        )

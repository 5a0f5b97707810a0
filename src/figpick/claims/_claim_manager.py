"""Claims keyed non-idempotent calls and serves the claims of other nodes."""

import asyncio

from ..base._errors import (
    OUTCOME_NOT_RUN,
    OUTCOME_RUNNING,
    OUTCOME_UNKNOWN,
    DuplicateError,
    NoClaimQuorumError,
    NoRosterError,
    PeerError,
)
from ..base._logs import logger
from ..calls._plans import ClockReading
from . import _keys
from ._claim_holder import (
    BEHIND,
    FINISHED,
    GRANTED,
    NONE,
    RUNNING,
    STALE,
    UNKNOWN,
    Claim,
    Holder,
    Reply,
    decide,
)
from ._rosters import Rosters, group_holders, position_of

CLAIM_TIMEOUT_S = 0.2
# A round that fails because of an outdated roster is retried with the new one.
MAX_CLAIM_ROUNDS = 3
MAX_ROSTER_PEERS = 3
DELIVERY_ATTEMPTS = 3
FIRST_DELIVERY_RETRY_S = 0.5

log = logger("claims")


class ClaimManager:
    """Claims calls at their holders, and handles requests to the holders on this node.

    :param clock: :class:`~figpick.base._clock.Clock`.
    :param members: :class:`~figpick.membership._members.Members`.
    :param client: :class:`~figpick.messaging._transport.PeerClient`.
    """

    def __init__(self, clock, members, client):
        self._clock = clock
        self._members = members
        self._client = client
        self._started_at = self._now()
        self.rosters = Rosters()
        self._holders = {}
        self._held_claims = {}
        self._tasks = set()
        self._deliveries = set()

    @property
    def holders(self):
        """Claim holders on this node by service."""
        return self._holders

    @property
    def has_deliveries(self):
        """Whether the end of a claimed call is not yet known to all its holders."""
        return bool(self._deliveries)

    def adopt(self, roster, confirmed_at=None):
        """Activates a roster unless the active one is at least as new.

        :param roster: :class:`~figpick.claims._rosters.Roster`.
        :param confirmed_at: monotonic seconds when it was requested from control,
            or ``None`` when it comes from elsewhere.
        :return: whether the roster was newer than the active one.
        """
        service = roster["service"]
        is_newer = self.rosters.adopt(roster)
        holder = self._holders.get(service)
        if holder is None and self._members.own.name in roster["positions"]:
            holder = self._holders[service] = Holder(
                self._members.own.name, self._started_at
            )
            holder.adopt(self.rosters.get(service), self._now())
        elif holder is not None and is_newer:
            holder.adopt(roster, self._now())
        if holder is not None and confirmed_at is not None:
            holder.confirm(roster["epoch"], confirmed_at)
        return is_newer

    async def claim(self, plan):
        """Claims a call before it is sent.

        :param plan: :class:`~figpick.calls._plans.CallPlan`.
        :return: stored response of an earlier execution, or ``None`` when the call
            may be sent.
        :raises DuplicateError: when the request is running or may have run.
        :raises NoClaimQuorumError: when too few holders can decide.
        :raises NoRosterError: when no roster of the service is known.
        """
        claimant = plan.context.execution_id
        try:
            reply = await self._query_quorum("claim", plan)
        except BaseException:
            self._release(claimant)
            raise
        if reply.result == GRANTED:
            return None
        self._release(claimant)
        if reply.result == FINISHED and reply.response is not None:
            return reply.response
        if reply.result == RUNNING:
            message = "a request with this key is running"
            raise DuplicateError(message, outcome=OUTCOME_RUNNING, retry_after_s=1)
        if reply.result in (FINISHED, UNKNOWN):
            raise DuplicateError("a request with this key may have run")
        message = f"too few claim holders of {plan.service.name} can decide"
        raise NoClaimQuorumError(message, retry_after_s=1)

    def finish(self, plan, sent, response):
        """Reports to the holders how a claimed call ended.

        :param sent: whether any byte of the call may have reached an upstream.
        :param response: dict with ``status``, ``headers`` and ``body`` of a short
            complete response, or ``None``.
        """
        claimant = plan.context.execution_id
        if not sent:
            self._release(claimant)
            return
        claim = self._held_claims.pop(claimant, None)
        if claim is not None:
            self._broadcast("finish", claim, response)

    def holds_claim(self, plan):
        """Returns whether this node holds the claim of a call."""
        return plan.context.execution_id in self._held_claims

    async def find_outcome(self, plan):
        """Queries the holders for the outcome to report for a refused keyed call.

        :return: ``not-run`` when a quorum of holders knows of no execution,
            ``running`` or ``unknown``.
        """
        if self.holds_claim(plan):
            return OUTCOME_NOT_RUN
        try:
            reply = await self._query_quorum("lookup", plan)
        except NoRosterError:
            return OUTCOME_UNKNOWN
        outcomes = {NONE: OUTCOME_NOT_RUN, RUNNING: OUTCOME_RUNNING}
        return outcomes.get(reply.result, OUTCOME_UNKNOWN)

    async def receive(self, kind, message):
        """Handles a message of a claimant to the holder on this node.

        :param kind: ``claim``, ``lookup``, ``finish`` or ``release``.
        :param message: dict with ``claim``, the fields of a
            :class:`~figpick.claims._claim_holder.Claim` in order, and for ``finish``
            ``answer``, the response to store or ``None``.
        :return: dict, for ``claim`` and ``lookup`` with ``reply``, and with ``roster``
            when the claimant uses an older one.
        """
        claim = Claim(*message["claim"])
        holder = self._holders.get(claim.service)
        if holder is None:
            return {"reply": Reply(BEHIND)}
        if kind == "finish":
            holder.finish(claim, message["answer"], self._now())
            return {}
        if kind == "release":
            holder.release(claim, self._now())
            return {}
        handle = holder.claim if kind == "claim" else holder.lookup
        reply = handle(claim, self._now())
        if reply.result == STALE:
            return {"reply": reply, "roster": self.rosters.get(claim.service)}
        return {"reply": reply}

    async def receive_roster(self, message):
        """Handles a message that carries or requests a roster.

        :param message: dict with ``service``; ``roster`` when the sender knows
            one; ``age_s``, seconds since control confirmed it, or ``None``.
        :return: dict with ``roster``, the newest known roster or ``None``.
        """
        if message.get("roster"):
            age_s = message.get("age_s")
            now = self._clock.monotonic()
            self.adopt(message["roster"], None if age_s is None else now - age_s)
        return {"roster": self.rosters.get(message["service"])}

    def dump(self):
        """Returns the state as a dict."""
        now = self._now()
        return {
            "rosters": self.rosters.dump(),
            "holders": {name: item.dump(now) for name, item in self._holders.items()},
            "held": len(self._held_claims),
        }

    def _now(self):
        return ClockReading(self._clock.monotonic(), self._clock.wall())

    async def _query_quorum(self, kind, plan):
        reply = Reply(UNKNOWN)
        for _ in range(MAX_CLAIM_ROUNDS):
            roster = await self._find_roster(plan.service.name)
            claim = self._make_claim(plan, roster)
            if kind == "claim":
                self._held_claims[claim.claimant] = claim
            names = group_holders(roster["positions"], claim.position)
            reply = await self._query_group(kind, claim, names)
            if reply.result not in (STALE, BEHIND):
                return reply
        return reply

    def _make_claim(self, plan, roster):
        key_hash = _keys.key_hash(plan.service.name, plan.method, plan.target, plan.key)
        return Claim(
            service=plan.service.name,
            epoch=roster["epoch"],
            position=position_of(key_hash, len(roster["positions"])),
            key_hash=key_hash,
            created=_keys.created_at(plan.key),
            claimant=plan.context.execution_id,
            lifetime_s=max(0.0, plan.deadline - self._clock.monotonic()),
        )

    async def _query_group(self, kind, claim, names):
        """Queries all holders concurrently and stops when a quorum agrees."""
        replies = []
        for query in asyncio.as_completed(
            [self._start_task(self._query_holder(name, kind, claim)) for name in names]
        ):
            reply = await query
            if reply is not None:
                replies.append(reply)
            if decide(replies, len(names)).result in (GRANTED, NONE):
                break
        return decide(replies, len(names))

    async def _query_holder(self, name, kind, claim):
        message = {"claim": list(claim)}
        try:
            payload = await self.send(name, kind, message)
        except PeerError as error:
            log.debug("Claim query to {} failed: {}.", name, error)
            return None
        reply = Reply(*payload["reply"])
        if payload.get("roster"):
            self.adopt(payload["roster"])
        elif reply.result == BEHIND:
            await self.push_roster(name, claim.service)
        return reply

    async def push_roster(self, name, service):
        """Sends the roster of a service to a holder that has an older one."""
        message = {"service": service, "roster": self.rosters.get(service)}
        try:
            await self.send(name, "roster", message)
        except PeerError as error:
            log.debug("Could not send the roster to {}: {}.", name, error)

    async def send(self, name, kind, message):
        """Sends a message to a holder, which may be this node.

        :raises PeerError: when the holder is not a known member or does not reply in
            time.
        """
        if name == self._members.own.name:
            if kind == "roster":
                return await self.receive_roster(message)
            return await self.receive(kind, message)
        member = self._members.get(name)
        if member is None:
            raise PeerError(f"node {name} is not a known member")
        return await self._client.send(
            member.peer_address, kind, message, CLAIM_TIMEOUT_S
        )

    async def _find_roster(self, service):
        roster = self.rosters.get(service)
        if roster is not None:
            return roster
        members = self._members.of_service(service)[:MAX_ROSTER_PEERS]
        for member in members:
            try:
                reply = await self.send(member.name, "roster", {"service": service})
            except PeerError:
                continue
            if reply["roster"]:
                self.adopt(reply["roster"])
                return self.rosters.get(service)
        raise NoRosterError(f"no roster of {service} is known", retry_after_s=1)

    def _release(self, claimant):
        claim = self._held_claims.pop(claimant, None)
        if claim is not None:
            self._broadcast("release", claim, None)

    def _broadcast(self, kind, claim, response):
        roster = self.rosters.get(claim.service)
        for name in group_holders(roster["positions"], claim.position):
            message = {"claim": list(claim), "answer": response}
            task = self._start_task(self._deliver(name, kind, message))
            self._deliveries.add(task)
            task.add_done_callback(self._deliveries.discard)

    async def _deliver(self, name, kind, message):
        for attempt in range(DELIVERY_ATTEMPTS):
            try:
                await self.send(name, kind, message)
                return
            except PeerError:
                await asyncio.sleep(FIRST_DELIVERY_RETRY_S * 2**attempt)
        log.debug("Could not deliver a {} message to {}.", kind, name)

    def _start_task(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

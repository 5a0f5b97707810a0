"""Claims keyed non-idempotent calls at the holders of their service."""

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
from ._claims import (
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
from ._rosters import Rosters, group_of, position_of

CLAIM_TIMEOUT_S = 0.2
# A round that fails because of an old roster is repeated with the new one.
MAX_ROUNDS = 3
ROSTER_PEERS = 3
FINISH_ATTEMPTS = 3
FINISH_PAUSE_S = 0.5

log = logger("claims")


class Claims:
    """Claims calls and answers other nodes as a holder.

    :param clock: :class:`~figpick.base._clock.Clock`.
    :param members: :class:`~figpick.membership._members.Members`.
    :param client: :class:`~figpick.messaging._transport.PeerClient`.
    """

    def __init__(self, clock, members, client):
        self._clock = clock
        self._members = members
        self._client = client
        self._started = self._now()
        self.rosters = Rosters()
        self._holders = {}
        self._held = {}
        self._tasks = set()

    @property
    def holders(self):
        """Holders on this node, by service."""
        return self._holders

    def adopt(self, roster, confirmed_at=None):
        """Puts a roster in force unless a newer one is.

        :param roster: :class:`~figpick.claims._rosters.Roster`.
        :param confirmed_at: monotonic seconds when control was asked for it, or
            ``None`` when it comes from elsewhere.
        :return: whether it was newer.
        """
        service = roster["service"]
        newer = self.rosters.adopt(roster)
        holder = self._holders.get(service)
        if holder is None and self._members.own.name in roster["positions"]:
            holder = self._holders[service] = Holder(
                self._members.own.name, self._started
            )
            holder.adopt(self.rosters.get(service), self._now())
        elif holder is not None and newer:
            holder.adopt(roster, self._now())
        if holder is not None and confirmed_at is not None:
            holder.confirm(roster["epoch"], confirmed_at)
        return newer

    async def claim(self, plan):
        """Claims a call before it is sent.

        :param plan: :class:`~figpick.calls._plans.CallPlan`.
        :return: stored answer of an earlier execution, or ``None`` when the call
            may be sent.
        :raises DuplicateError: when it is running or may have run.
        :raises NoClaimQuorumError: when too few holders can decide.
        :raises NoRosterError: when no holders are known.
        """
        identity = plan.context.execution_id
        try:
            reply = await self._poll("claim", plan)
        except BaseException:
            self._release(identity)
            raise
        if reply.result == GRANTED:
            return None
        self._release(identity)
        if reply.result == FINISHED and reply.answer is not None:
            return reply.answer
        if reply.result == RUNNING:
            message = "a request with this key is running"
            raise DuplicateError(message, outcome=OUTCOME_RUNNING, retry_after_s=1)
        if reply.result in (FINISHED, UNKNOWN):
            raise DuplicateError("a request with this key may have run")
        message = f"too few claim holders of {plan.service.name} can decide"
        raise NoClaimQuorumError(message, retry_after_s=1)

    def finish(self, plan, sent, answer):
        """Tells the holders how a claimed call ended.

        :param sent: whether any byte of it may have reached an upstream.
        :param answer: dict with ``status``, ``headers`` and ``body`` of a short
            whole answer, or ``None``.
        """
        identity = plan.context.execution_id
        if not sent:
            self._release(identity)
            return
        claim = self._held.pop(identity, None)
        if claim is not None:
            self._spread("finish", claim, answer)

    def holds(self, plan):
        """Whether this node holds the claim of a call."""
        return plan.context.execution_id in self._held

    async def outcome(self, plan):
        """Finds out what may be said of a keyed call that is refused.

        :return: ``not-run`` when a quorum of holders knows of no execution.
        """
        if self.holds(plan):
            return OUTCOME_NOT_RUN
        try:
            reply = await self._poll("lookup", plan)
        except NoRosterError:
            return OUTCOME_UNKNOWN
        outcomes = {NONE: OUTCOME_NOT_RUN, RUNNING: OUTCOME_RUNNING}
        return outcomes.get(reply.result, OUTCOME_UNKNOWN)

    async def receive(self, kind, message):
        """Answers a claimant.

        :param kind: ``claim``, ``lookup``, ``finish`` or ``release``.
        :param message: fields of :class:`Claim`, for ``finish`` also the answer.
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
        decision = holder.claim if kind == "claim" else holder.lookup
        reply = decision(claim, self._now())
        if reply.result == STALE:
            return {"reply": reply, "roster": self.rosters.get(claim.service)}
        return {"reply": reply}

    async def receive_roster(self, message):
        """Takes and gives a roster.

        :param message: dict with ``service``; ``roster`` when the sender knows
            one; ``age_s``, seconds since control confirmed it, or ``None``.
        """
        if message.get("roster"):
            age_s = message.get("age_s")
            now = self._clock.monotonic()
            self.adopt(message["roster"], None if age_s is None else now - age_s)
        return {"roster": self.rosters.get(message["service"])}

    def dump(self):
        """Gives the state as a dict."""
        now = self._now()
        return {
            "rosters": self.rosters.dump(),
            "holders": {name: item.dump(now) for name, item in self._holders.items()},
            "held": len(self._held),
        }

    def _now(self):
        return ClockReading(self._clock.monotonic(), self._clock.wall())

    async def _poll(self, kind, plan):
        reply = Reply(UNKNOWN)
        for _ in range(MAX_ROUNDS):
            roster = await self._roster(plan.service.name)
            claim = self._make(plan, roster)
            if kind == "claim":
                self._held[claim.claimant] = claim
            names = group_of(roster["positions"], claim.position)
            reply = await self._ask_group(kind, claim, names)
            if reply.result not in (STALE, BEHIND):
                return reply
        return reply

    def _make(self, plan, roster):
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

    async def _ask_group(self, kind, claim, names):
        """Asks all holders at once and stops when a quorum agrees."""
        replies = []
        for answer in asyncio.as_completed(
            [self._start(self._ask(name, kind, claim)) for name in names]
        ):
            reply = await answer
            if reply is not None:
                replies.append(reply)
            if decide(replies, len(names)).result in (GRANTED, NONE):
                break
        return decide(replies, len(names))

    async def _ask(self, name, kind, claim):
        message = {"claim": list(claim)}
        try:
            answer = await self.send(name, kind, message)
        except PeerError as error:
            log.debug("No reply on a claim from {}: {}.", name, error)
            return None
        reply = Reply(*answer["reply"])
        if answer.get("roster"):
            self.adopt(answer["roster"])
        elif reply.result == BEHIND:
            await self.push_roster(name, claim.service)
        return reply

    async def push_roster(self, name, service):
        """Gives the roster of a service to a holder that has an older one."""
        message = {"service": service, "roster": self.rosters.get(service)}
        try:
            await self.send(name, "roster", message)
        except PeerError as error:
            log.debug("The roster did not reach {}: {}.", name, error)

    async def send(self, name, kind, message):
        """Sends a message to a holder, which may be this node.

        :raises PeerError: when it does not answer in time.
        """
        if name == self._members.own.name:
            if kind == "roster":
                return await self.receive_roster(message)
            return await self.receive(kind, message)
        member = self._members.get(name)
        if member is None:
            raise PeerError(f"{name} is not known")
        return await self._client.send(
            member.peer_address, kind, message, CLAIM_TIMEOUT_S
        )

    async def _roster(self, service):
        roster = self.rosters.get(service)
        if roster is not None:
            return roster
        members = self._members.of_service(service)[:ROSTER_PEERS]
        for member in members:
            try:
                answer = await self.send(member.name, "roster", {"service": service})
            except PeerError:
                continue
            if answer["roster"]:
                self.adopt(answer["roster"])
                return self.rosters.get(service)
        raise NoRosterError(f"no roster of {service} is known", retry_after_s=1)

    def _release(self, identity):
        claim = self._held.pop(identity, None)
        if claim is not None:
            self._spread("release", claim, None)

    def _spread(self, kind, claim, answer):
        roster = self.rosters.get(claim.service)
        for name in group_of(roster["positions"], claim.position):
            message = {"claim": list(claim), "answer": answer}
            self._start(self._deliver(name, kind, message))

    async def _deliver(self, name, kind, message):
        for attempt in range(FINISH_ATTEMPTS):
            try:
                await self.send(name, kind, message)
                return
            except PeerError:
                await asyncio.sleep(FINISH_PAUSE_S * 2**attempt)
        log.debug("No {} reached {}.", kind, name)

    def _start(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

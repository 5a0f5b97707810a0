"""Runs suspects one at a time and refuses requests that crash upstreams."""

import asyncio
import random

from tornado.iostream import StreamClosedError

from ..base._errors import (
    OUTCOME_NOT_RUN,
    OUTCOME_UNKNOWN,
    OverloadedError,
    PeerError,
    QuarantinedError,
)
from ..base._logs import logger
from ..calls import _context, _plans
from ._quarantine import Event, Quarantine, SuspectSlot

KIND = "quarantine"
KEEP_S = 60.0
# The breaks of one crash are told in one message.
GATHER_S = 0.005
SLOT_TIMEOUT_S = 0.2
SLOT_PAUSE_S = 0.02
MAX_SLOT_WAIT_S = 2.0
TOGETHER_S = 0.1
# A process that ends may close its connections a moment before its listener.
CONNECT_PAUSES_S = (0.0, 0.01, 0.03)
# Of the 1 s until a request is refused everywhere, this part is spent on reports.
VERDICT_S = 0.15
# Gossip alone may take a second to reach a last node, which would run a suspect
# beside another one meanwhile.
DIRECT_PEERS = 64

log = logger("quarantine")


class Suspicion:
    """Finds crashes and keeps the quarantine of a node.

    :param clock: :class:`~figpick.base._clock.Clock`.
    :param members: :class:`~figpick.membership._members.Members`.
    :param client: :class:`~figpick.messaging._transport.PeerClient`.
    """

    def __init__(self, clock, members, client):
        self._clock = clock
        self._members = members
        self._client = client
        self._quarantine = Quarantine()
        self._slot = SuspectSlot()
        self._events = []
        self._breaks = {}
        self._tasks = set()
        self.publish = None

    def check(self, plan, body, now):
        """Refuses a quarantined request.

        :param body: :class:`~figpick.calls._bodies.RequestBody`.
        :param now: monotonic seconds.
        :raises QuarantinedError: when it is quarantined.
        """
        fingerprint = self._fingerprint(plan, body)
        if fingerprint and self._quarantine.is_quarantined(fingerprint, now):
            outcome = OUTCOME_UNKNOWN if plan.key else OUTCOME_NOT_RUN
            message = f"the request crashed upstreams; quarantine {fingerprint}"
            raise QuarantinedError(message, outcome=outcome)

    async def enter(self, plan, body, upstream):
        """Waits until a suspect may run on an upstream.

        :return: tuple of fingerprint and holder of the slot, or ``None`` when the
            request is no suspect.
        :raises OverloadedError: when the slot stays taken.
        :raises QuarantinedError: when it was quarantined meanwhile.
        """
        fingerprint = self._fingerprint(plan, body)
        now = self._clock.monotonic()
        if not fingerprint:
            return None
        # It may have been quarantined while it waited for a permit.
        self.check(plan, body, now)
        if not self._quarantine.is_suspect(fingerprint, now):
            return None
        holder = _context.new_id()
        limit = min(plan.deadline, now + MAX_SLOT_WAIT_S)
        while now < limit:
            self.check(plan, body, now)
            message = {"holder": holder, "lease_s": plan.deadline - now}
            held = self._quarantine.is_held(fingerprint, now)
            if not held and await self._ask_slot(upstream, message):
                return fingerprint, holder
            await asyncio.sleep(SLOT_PAUSE_S)
            now = self._clock.monotonic()
        message = "the request was in flight in a crash and runs alone later"
        raise OverloadedError(message, retry_after_s=1)

    def leave(self, slot, upstream, complete):
        """Ends the run of a suspect.

        :param slot: result of :meth:`enter`.
        :param complete: whether the upstream gave a whole answer.
        """
        if slot is None:
            return
        fingerprint, holder = slot
        self._start(self._ask_slot(upstream, {"holder": holder, "free": True}))
        if complete:
            self._tell(self._quarantine.clear(fingerprint))

    async def report_break(self, plan, body, upstream, slot):
        """Notes that a connection broke while a call was in flight on it.

        :param slot: result of :meth:`enter` for the call.
        """
        now = self._clock.monotonic()
        together = now - self._breaks.get(upstream.name, -TOGETHER_S) < TOGETHER_S
        self._breaks[upstream.name] = now
        fingerprint = self._fingerprint(plan, body, always=True)
        request = f"{plan.service.name} {plan.method} {plan.target}"
        if not fingerprint or not (together or await self._crashed(upstream)):
            log.info("A connection to {} broke under {}.", upstream.name, request)
            return
        name = upstream.name
        alone = slot is not None and self._quarantine.is_suspect(fingerprint, now)
        log.info("{} crashed with {} in flight, alone: {}.", name, request, alone)
        self._tell(self._quarantine.suspect(fingerprint, name, request, alone, now))
        if not alone:
            return
        # Other nodes tell which requests were in flight on the upstream as well.
        await asyncio.sleep(VERDICT_S)
        if self._quarantine.is_shared(fingerprint, name, now):
            log.warning("A crash of {} has more than one suspect.", name)
            return
        log.error("Request {} ({}) is quarantined.", fingerprint, request)
        now = self._clock.monotonic()
        self._tell(self._quarantine.quarantine(fingerprint, name, request, now))

    def receive(self, payload):
        """Takes the events of another node."""
        now = self._clock.monotonic()
        for fields in payload:
            self._quarantine.receive(Event(*fields[: len(Event._fields)]), now)

    async def receive_events(self, message):
        """Takes the events that another node sends directly."""
        self.receive(message["events"])
        return {}

    async def receive_slot(self, message):
        """Gives or takes back the slot for suspects of the upstream here.

        :param message: dict with ``holder`` and ``lease_s`` or ``free``.
        """
        if message.get("free"):
            self._slot.free(message["holder"])
            return {"taken": False}
        now = self._clock.monotonic()
        return {"taken": self._slot.take(message["holder"], message["lease_s"], now)}

    async def unquarantine(self, message):
        """Releases a request on behalf of an operator.

        :param message: dict with ``fingerprint``.
        """
        fingerprint = message["fingerprint"]
        known = self._quarantine.is_quarantined(fingerprint, self._clock.monotonic())
        self._tell(self._quarantine.release(fingerprint))
        return {"fingerprint": fingerprint, "quarantined": known}

    def dump(self):
        """Gives the state as a dict."""
        return self._quarantine.dump(self._clock.monotonic())

    def _fingerprint(self, plan, body, always=False):
        if not always and not self._quarantine.active:
            return None
        if body.is_replayable:
            return _plans.fingerprint(plan, body.first_bytes)
        # How much of a streamed body is here depends on timing, and without it
        # different requests would look equal.
        return _plans.fingerprint(plan, b"") if plan.key else None

    async def _crashed(self, upstream):
        """Whether an upstream has just ended, rather than one connection."""
        if upstream.pool.drop_closed():
            return True
        for pause_s in CONNECT_PAUSES_S:
            await asyncio.sleep(pause_s)
            try:
                connection = await upstream.pool.connect(self._clock.monotonic())
            except StreamClosedError:
                return True
            connection.close()
        return False

    async def _ask_slot(self, upstream, message):
        try:
            if upstream.name == self._members.own.name:
                answer = await self.receive_slot(message)
            else:
                answer = await self._client.send(
                    upstream.member.peer_address,
                    "suspect_slot",
                    message,
                    SLOT_TIMEOUT_S,
                )
        except PeerError:
            return False
        return answer["taken"]

    def _tell(self, event):
        self._events.append(event)
        if len(self._events) == 1:
            asyncio.get_running_loop().call_later(GATHER_S, self._flush)

    def _flush(self):
        events, self._events = self._events, []
        payload = [list(event) for event in events]
        if self.publish is not None:
            self.publish(KIND, payload, KEEP_S)
        nodes = [each for each in self._members.others() if each.call_address]
        chosen = random.sample(nodes, min(DIRECT_PEERS, len(nodes)))
        for member in chosen:
            self._start(self._send_events(member.peer_address, payload))

    async def _send_events(self, address, payload):
        try:
            await self._client.send(address, KIND, {"events": payload})
        except PeerError as error:
            log.debug("Suspects did not reach {}: {}.", address, error)

    def _start(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

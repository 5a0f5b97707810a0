"""Detects crashes of upstreams and quarantines the requests that cause them."""

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
from ..base._expiring_table import ExpiringTable
from ..base._logs import logger
from ..calls import _context, _plans
from ._quarantine import Event, Quarantine, SuspectSlot

EVENT_KIND = "quarantine"
EVENT_LIFETIME_S = 60.0
MAX_APPLIED_EVENTS = 10_000
# Events of one crash are sent in one message.
BATCH_DELAY_S = 0.005
SLOT_TIMEOUT_S = 0.2
SLOT_POLL_PERIOD_S = 0.02
MAX_SLOT_WAIT_S = 2.0
# Two connections to one upstream that break within this time count as a crash.
SIMULTANEOUS_BREAKS_S = 0.1
# A process that exits may close its connections shortly before its listener, so
# a successful connection attempt is repeated after these delays.
CONNECT_DELAYS_S = (0.0, 0.01, 0.03)
# Wait for the crash reports of other nodes. It is part of the 1 s within which a
# request must be refused on all nodes.
DECISION_DELAY_S = 0.15
# Gossip alone may take a second to reach the last node. Until then that node could
# run a suspect at the same time as another one, so events are also sent directly.
MAX_DIRECT_PEERS = 64

log = logger("quarantine")


class QuarantineCoordinator:
    """Runs suspects one at a time and refuses quarantined requests.

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
        # Copies arrive by gossip until the lifetime of an event ends.
        self._applied_ids = ExpiringTable(2 * EVENT_LIFETIME_S, MAX_APPLIED_EVENTS)
        self._last_break_at = {}
        self._tasks = set()
        self.publish = None

    def reject_quarantined(self, plan, body, now):
        """Raises an error for a quarantined request.

        :param body: :class:`~figpick.calls._bodies.RequestBody`.
        :param now: monotonic seconds.
        :raises QuarantinedError: when the request is quarantined.
        """
        fingerprint = self._fingerprint(plan, body)
        if fingerprint and self._quarantine.is_quarantined(fingerprint, now):
            outcome = OUTCOME_UNKNOWN if plan.key else OUTCOME_NOT_RUN
            message = f"the request crashed upstreams; quarantine {fingerprint}"
            raise QuarantinedError(message, outcome=outcome)

    async def acquire_slot(self, plan, body, upstream):
        """Waits until a suspect may run on an upstream.

        :return: tuple of fingerprint and holder of the slot, or ``None`` when the
            request is not a suspect.
        :raises OverloadedError: when the slot does not become free in time.
        :raises QuarantinedError: when the request has been quarantined.
        """
        fingerprint = self._fingerprint(plan, body)
        now = self._clock.monotonic()
        if not fingerprint:
            return None
        # The request may have been quarantined while it waited for a permit.
        self.reject_quarantined(plan, body, now)
        if not self._quarantine.is_suspect(fingerprint, now):
            return None
        holder = _context.new_id()
        wait_deadline = min(plan.deadline, now + MAX_SLOT_WAIT_S)
        while now < wait_deadline:
            self.reject_quarantined(plan, body, now)
            message = {"holder": holder, "lease_s": plan.deadline - now}
            held = self._quarantine.is_held(fingerprint, now)
            if not held and await self._request_slot(upstream, message):
                return fingerprint, holder
            await asyncio.sleep(SLOT_POLL_PERIOD_S)
            now = self._clock.monotonic()
        message = "the request was in flight in a crash and runs alone later"
        raise OverloadedError(message, retry_after_s=1)

    def release_slot(self, slot, upstream, is_complete):
        """Releases the slot after the run of a suspect.

        :param slot: result of :meth:`acquire_slot`.
        :param is_complete: whether the upstream sent a complete response.
        """
        if slot is None:
            return
        fingerprint, holder = slot
        self._start_task(self._request_slot(upstream, {"holder": holder, "free": True}))
        if is_complete:
            self._publish_event(self._quarantine.clear(fingerprint))

    async def report_broken_connection(self, plan, body, upstream, slot):
        """Handles a connection that broke while a call was in flight on it.

        :param slot: result of :meth:`acquire_slot` for the call.
        """
        now = self._clock.monotonic()
        is_simultaneous = (
            now - self._last_break_at.get(upstream.name, -SIMULTANEOUS_BREAKS_S)
            < SIMULTANEOUS_BREAKS_S
        )
        self._last_break_at[upstream.name] = now
        fingerprint = self._fingerprint(plan, body, always=True)
        request = f"{plan.service.name} {plan.method} {plan.target}"
        if not fingerprint or not (
            is_simultaneous or await self._has_crashed(upstream)
        ):
            log.info(
                "A connection to {} broke with {} in flight.", upstream.name, request
            )
            return
        name = upstream.name
        ran_alone = slot is not None and self._quarantine.is_suspect(fingerprint, now)
        log.info(
            "{} crashed with {} in flight; only suspect: {}.", name, request, ran_alone
        )
        self._publish_event(
            self._quarantine.record_crash(fingerprint, name, request, ran_alone, now)
        )
        if not ran_alone:
            return
        # Meanwhile other nodes report their requests in flight on the upstream.
        await asyncio.sleep(DECISION_DELAY_S)
        if self._quarantine.has_ambiguous_cause(fingerprint, name, now):
            log.warning("A crash of {} has more than one suspect.", name)
            return
        log.error("Request {} ({}) is quarantined.", fingerprint, request)
        now = self._clock.monotonic()
        self._publish_event(
            self._quarantine.quarantine(fingerprint, name, request, now)
        )

    def apply_events(self, payload):
        """Applies the events of another node that were not applied before.

        :param payload: list of events, each a list of the fields of :class:`Event`.
        """
        now = self._clock.monotonic()
        for fields in payload:
            event = Event(*fields[: len(Event._fields)])
            # Each event is sent directly and by gossip, so a copy may arrive late.
            if event.event_id:
                if self._applied_ids.get(event.event_id, now):
                    continue
                self._applied_ids.put(event.event_id, True, now)
            self._quarantine.apply_event(event, now)

    async def handle_events(self, message):
        """Handles events that another node sends directly."""
        self.apply_events(message["events"])
        return {}

    async def handle_slot_request(self, message):
        """Acquires or releases the slot for suspects of the upstream of this node.

        :param message: dict with ``holder`` and ``lease_s`` or ``free``.
        :return: dict with ``taken``, whether the holder has the slot now.
        """
        if message.get("free"):
            self._slot.release(message["holder"])
            return {"taken": False}
        now = self._clock.monotonic()
        return {"taken": self._slot.acquire(message["holder"], message["lease_s"], now)}

    async def unquarantine(self, message):
        """Ends the quarantine of a request, as requested by an operator.

        :param message: dict with ``fingerprint``.
        :return: dict with ``fingerprint`` and ``quarantined``, whether the request was
            quarantined until now.
        """
        fingerprint = message["fingerprint"]
        was_quarantined = self._quarantine.is_quarantined(
            fingerprint, self._clock.monotonic()
        )
        self._publish_event(self._quarantine.release(fingerprint))
        return {"fingerprint": fingerprint, "quarantined": was_quarantined}

    def dump(self):
        """Returns the state as a dict."""
        return self._quarantine.dump(self._clock.monotonic())

    def _fingerprint(self, plan, body, always=False):
        if not always and not self._quarantine.is_active:
            return None
        if body.is_replayable:
            return _plans.fingerprint(plan, body.first_bytes)
        # The length of the received part of a streamed body depends on timing, and
        # without the body different requests would have equal fingerprints.
        return _plans.fingerprint(plan, b"") if plan.key else None

    async def _has_crashed(self, upstream):
        """Returns whether the upstream crashed, rather than one connection broke."""
        if upstream.pool.drop_closed():
            return True
        for pause_s in CONNECT_DELAYS_S:
            await asyncio.sleep(pause_s)
            try:
                connection = await upstream.pool.connect(self._clock.monotonic())
            except StreamClosedError:
                return True
            connection.close()
        return False

    async def _request_slot(self, upstream, message):
        try:
            if upstream.name == self._members.own.name:
                reply = await self.handle_slot_request(message)
            else:
                reply = await self._client.send(
                    upstream.member.peer_address,
                    "suspect_slot",
                    message,
                    SLOT_TIMEOUT_S,
                )
        except PeerError:
            return False
        return reply["taken"]

    def _publish_event(self, event):
        self._events.append(event._replace(event_id=_context.new_id()))
        if len(self._events) == 1:
            asyncio.get_running_loop().call_later(BATCH_DELAY_S, self._flush_events)

    def _flush_events(self):
        events, self._events = self._events, []
        payload = [list(event) for event in events]
        if self.publish is not None:
            self.publish(EVENT_KIND, payload, EVENT_LIFETIME_S)
        nodes = [each for each in self._members.others() if each.call_address]
        chosen = random.sample(nodes, min(MAX_DIRECT_PEERS, len(nodes)))
        for member in chosen:
            self._start_task(self._send_events(member.peer_address, payload))

    async def _send_events(self, address, payload):
        try:
            await self._client.send(address, EVENT_KIND, {"events": payload})
        except PeerError as error:
            log.debug("Quarantine events could not be sent to {}: {}.", address, error)

    def _start_task(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

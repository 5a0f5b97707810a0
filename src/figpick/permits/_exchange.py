"""Exchange of permits between calling nodes and the owners of upstreams."""

import asyncio

from ..base._errors import PeerError
from ..base._logs import logger
from ._admission_levels import LEVEL_PERIOD_S
from ._division import IMPORTANCE_COUNT, Demand, highest_importance
from ._owner import UpstreamOwner
from ._permits import Grant

EXCHANGE_PERIOD_S = LEVEL_PERIOD_S
RENEWAL_PERIOD_S = 2.0
MIN_REQUEST_GAP_S = 0.02
# Changes that arrive together lead to one push.
PUSH_DELAY_S = 0.0005
# Shorter than the gap between requests for permits, since other nodes wait for the
# unused permits that are returned.
MIN_RETURN_GAP_S = 0.005
OVERLOAD_PERIOD_S = 0.09

NO_DEMAND = Demand((0,) * IMPORTANCE_COUNT)
NO_UNMET_DEMAND = (-1, 0)

log = logger("permits")


class _ExchangeState:
    """State of the exchange with one owner."""

    __slots__ = (
        "is_running",
        "due_at",
        "sent_at",
        "timer",
        "incarnation",
        "reported_urgency",
        "reported_demand",
        "reported_in_use",
        "needs_another_exchange",
    )

    def __init__(self, incarnation):
        self.is_running = False
        self.due_at = 0.0
        self.sent_at = 0.0
        self.timer = None
        self.incarnation = incarnation
        # Last report to the owner: the most important unmet demand, the number of
        # existing requests and the permits in use.
        self.reported_urgency = NO_UNMET_DEMAND
        self.reported_demand = 0
        self.reported_in_use = 0
        self.needs_another_exchange = False


class PermitExchange:
    """Manages permits of the local upstream and renews those that this node holds.

    :param members: :class:`~figpick.membership._members.Members`.
    :param client: :class:`~figpick.messaging._transport.PeerClient`.
    :param clock: :class:`~figpick.base._clock.Clock`.
    """

    def __init__(self, members, client, clock):
        self._members = members
        self._client = client
        self._clock = clock
        self._upstream_sets = {}
        self._states = {}
        self._tasks = set()
        self._push_timer = None
        self.exchanges = 0
        self.pushes = 0
        self._is_leaving = False
        incarnation = members.own.incarnation
        self._usage_number = incarnation
        self.owner = UpstreamOwner(incarnation, clock.monotonic())

    @property
    def pool(self):
        """Permits of the local upstream."""
        return self.owner.pool

    async def renew(self, upstream_sets):
        """Starts the exchanges that are due and updates the level; called every 100 ms.

        :param upstream_sets: dict from service to
            :class:`~figpick.routing._upstream_set.UpstreamSet`.
        """
        now = self._clock.monotonic()
        self._upstream_sets = upstream_sets
        self.owner.tick(self._level_of, self._calling_nodes(), now)
        for upstreams in upstream_sets.values():
            upstreams.rebalance(now)
            if not upstreams.is_idle(now):
                for upstream in (*upstreams.selected, *upstreams.leaving):
                    if self._is_due(upstreams, upstream, now):
                        self._start(upstreams, upstream, now)
        self._push()

    def request_permits(self, upstreams):
        """Requests permits at once, because calls wait for them.

        :param upstreams: :class:`~figpick.routing._upstream_set.UpstreamSet`.
        """
        for upstream in upstreams.selected:
            demand = upstreams.demand(upstream)
            if demand.total <= upstream.permits.granted:
                continue
            state = self._state_of(upstream)
            # The owner pushes permits for reported demand that is not yet met.
            is_met = upstream.permits.granted >= state.reported_demand
            if is_met or _urgency(demand) > state.reported_urgency:
                self._exchange_soon(upstreams, upstream, state, MIN_REQUEST_GAP_S)

    def return_unused(self, upstreams, upstream):
        """Reports permits that are no longer used to their owner at once.

        :param upstreams: :class:`~figpick.routing._upstream_set.UpstreamSet`.
        """
        permits = upstream.permits
        state = self._state_of(upstream)
        has_unused = permits.granted > upstreams.demand(upstream).total
        is_recalled = permits.granted < state.reported_in_use
        if has_unused or (is_recalled and permits.in_use < state.reported_in_use):
            self._exchange_soon(upstreams, upstream, state, MIN_RETURN_GAP_S)

    def _exchange_soon(self, upstreams, upstream, state, gap_s):
        if state.timer is not None:
            return
        if state.is_running:
            state.needs_another_exchange = True
            return
        now = self._clock.monotonic()
        wait_s = state.sent_at + gap_s - now
        if wait_s <= 0:
            self._start(upstreams, upstream, now)
        else:
            loop = asyncio.get_running_loop()
            state.timer = loop.call_later(
                wait_s, self._start_delayed, upstreams, upstream
            )

    async def return_all(self):
        """Returns the permits of every upstream before this node stops."""
        returns = [
            self._renew(upstreams, upstream, self._state_of(upstream))
            for upstreams in self._upstream_sets.values()
            for upstream in upstreams
            if upstream.permits.granted
        ]
        self._is_leaving = True
        await asyncio.gather(*returns)

    async def handle_renewal(self, message):
        """Handles the renewal of permits by a calling node.

        :param message: dict with ``caller``, ``usage`` and ``report``.
        :return: reply of :meth:`UpstreamOwner.handle_renewal`.
        """
        reply = self.owner.handle_renewal(message, self._clock.monotonic())
        self._push_soon()
        return reply

    async def handle_push(self, message):
        """Handles a push of permits and levels by an owner.

        :return: dict with ``usage``, which is ``None`` if the owner is unknown.
        """
        for upstreams in self._upstream_sets.values():
            for upstream in upstreams:
                if upstream.name == message["owner"]:
                    return self._apply_push(upstreams, upstream, message)
        return {"usage": None}

    def dump(self):
        """Returns the state as a dict."""
        return {**self.owner.dump(), "exchanges": self.exchanges, "pushes": self.pushes}

    def _apply_push(self, upstreams, upstream, message):
        now = self._clock.monotonic()
        self._apply_message(upstream, message, now)
        upstreams.wake_waiters(now)
        return {"usage": self._make_usage(upstreams, upstream, now)}

    def _make_usage(self, upstreams, upstream, now):
        self._usage_number += 1
        demand = NO_DEMAND if self._is_leaving else upstreams.demand(upstream)
        state = self._state_of(upstream)
        state.reported_in_use = upstream.permits.in_use
        is_unmet = demand.total > upstream.permits.granted
        state.reported_urgency = _urgency(demand) if is_unmet else NO_UNMET_DEMAND
        state.reported_demand = demand.total
        return upstream.permits.make_usage(self._usage_number, demand, now)

    def _apply_message(self, upstream, message, sent_at):
        grant = None if message["grant"] is None else Grant(*message["grant"])
        # A reply may arrive after a push that the owner sent later.
        if grant is None or not upstream.permits.is_outdated(grant):
            upstream.set_levels(
                message["level"], message["routes"], self._clock.monotonic()
            )
            upstream.permits.contended = message["contended"]
        if grant is not None:
            upstream.permits.accept(grant, sent_at)

    def _state_of(self, upstream):
        state = self._states.get(upstream.name)
        if state is None or state.incarnation != upstream.member.incarnation:
            # A restarted owner must learn at once which of its permits are held.
            state = self._states[upstream.name] = _ExchangeState(
                upstream.member.incarnation
            )
        return state

    def _is_due(self, upstreams, upstream, now):
        state = self._state_of(upstream)
        if state.is_running:
            return False
        follows_level = upstream.requests_less_load and upstreams.was_called_recently(
            now
        )
        if upstreams.waiting_count or follows_level:
            return now - state.sent_at >= OVERLOAD_PERIOD_S
        return now >= state.due_at

    def _start_delayed(self, upstreams, upstream):
        state = self._state_of(upstream)
        state.timer = None
        if not state.is_running:
            self._start(upstreams, upstream, self._clock.monotonic())

    def _start(self, upstreams, upstream, now):
        state = self._state_of(upstream)
        state.is_running = True
        state.needs_another_exchange = False
        state.sent_at = now
        state.due_at = now + RENEWAL_PERIOD_S
        self._spawn(self._renew(upstreams, upstream, state))

    def _spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _renew(self, upstreams, upstream, state):
        try:
            self.exchanges += 1
            await self._exchange(upstreams, upstream)
            upstreams.wake_waiters(self._clock.monotonic())
            upstream.permits.owner_silent = False
            if upstream.permits.contended:
                self.return_unused(upstreams, upstream)
        except PeerError as error:
            upstream.permits.owner_silent = True
            log.debug("Renewal of permits at {} failed: {}.", upstream.name, error)
        finally:
            state.is_running = False
            if state.needs_another_exchange:
                self._exchange_soon(upstreams, upstream, state, MIN_RETURN_GAP_S)

    async def _exchange(self, upstreams, upstream):
        own_name = self._members.own.name
        now = self._clock.monotonic()
        usage = self._make_usage(upstreams, upstream, now)
        report = upstream.statistics.pop_report(max(1, len(upstreams.selected)), now)
        message = {"caller": own_name, "usage": usage, "report": report}
        if upstream.name == own_name:
            reply = await self.handle_renewal(message)
        else:
            address = upstream.member.peer_address
            reply = await self._client.send(address, "exchange", message)
        self._apply_message(upstream, reply, now)

    def _push_soon(self):
        if self._push_timer is None and self.pool.can_grant_more:
            loop = asyncio.get_running_loop()
            self._push_timer = loop.call_later(PUSH_DELAY_S, self._push)

    def _push(self):
        if self._push_timer is not None:
            self._push_timer.cancel()
            self._push_timer = None
        for caller, message in self.owner.make_pushes(self._clock.monotonic()):
            self._spawn(self._push_to(caller, message))

    async def _push_to(self, caller, message):
        own_name = self._members.own.name
        message["owner"] = own_name
        self.pushes += 1
        try:
            if caller == own_name:
                reply = await self.handle_push(message)
            else:
                member = self._members.get(caller)
                if member is None:
                    return
                reply = await self._client.send(member.peer_address, "permits", message)
        except PeerError as error:
            log.debug("Push of permits to {} failed: {}.", caller, error)
            return
        if reply["usage"] is not None:
            self.owner.acknowledge(caller, reply["usage"], self._clock.monotonic())
            self._push_soon()

    def _level_of(self, service, route_id):
        upstreams = self._upstream_sets.get(service)
        if upstreams is None:
            return 0.0
        return upstreams.level(route_id, self._clock.monotonic())

    def _calling_nodes(self):
        return self._members.calling_nodes()


def _urgency(demand):
    """Returns the highest importance of a demand and the number of its requests."""
    importance = highest_importance(demand)
    return importance, demand.by_importance[importance]

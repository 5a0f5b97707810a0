"""Exchanges permits between calling nodes and the owners of upstreams."""

import asyncio

from ..base._errors import PeerError
from ..base._logs import logger
from ._admission_levels import PERIOD_S as LEVEL_PERIOD_S
from ._division import IMPORTANCE_COUNT, Demand, highest
from ._owner import UpstreamOwner
from ._permits import Grant

PERIOD_S = LEVEL_PERIOD_S
RENEWAL_PERIOD_S = 2.0
LEAST_GAP_S = 0.02
# Changes that arrive together are answered by one push.
PUSH_DELAY_S = 0.0005
# Unused permits return sooner than this node asks again: others wait for them.
RETURN_GAP_S = 0.005
BUSY_PERIOD_S = 0.09

NO_DEMAND = Demand((0,) * IMPORTANCE_COUNT)
NOTHING_ASKED = (-1, 0)

log = logger("permits")


class _Line:
    """The state of the exchange with one owner."""

    __slots__ = (
        "busy",
        "due_at",
        "sent_at",
        "timer",
        "incarnation",
        "asked",
        "told",
        "in_use",
        "again",
    )

    def __init__(self, incarnation):
        self.busy = False
        self.due_at = 0.0
        self.sent_at = 0.0
        self.timer = None
        self.incarnation = incarnation
        # What the owner knows: the most important unmet demand, and the calls.
        self.asked = NOTHING_ASKED
        self.told = 0
        self.in_use = 0
        self.again = False


class PermitExchange:
    """Owns the permits of the local upstream and renews those at others.

    :param members: :class:`~figpick.membership._members.Members`.
    :param client: :class:`~figpick.messaging._transport.PeerClient`.
    :param clock: :class:`~figpick.base._clock.Clock`.
    """

    def __init__(self, members, client, clock):
        self._members = members
        self._client = client
        self._clock = clock
        self._sets = {}
        self._lines = {}
        self._tasks = set()
        self._push_timer = None
        self.exchanges = 0
        self.pushes = 0
        self._leaving = False
        incarnation = members.own.incarnation
        self._number = incarnation
        self.owner = UpstreamOwner(incarnation, clock.monotonic())

    @property
    def pool(self):
        """Permits of the local upstream."""
        return self.owner.pool

    async def renew(self, upstream_sets):
        """Starts the exchanges that are due and updates the level; each 100 ms.

        :param upstream_sets: dict from service to
            :class:`~figpick.routing._upstreams.UpstreamSet`.
        """
        now = self._clock.monotonic()
        self._sets = upstream_sets
        self.owner.tick(self._level_of, self._calling_nodes(), now)
        for upstreams in upstream_sets.values():
            upstreams.review(now)
            if not upstreams.idle(now):
                for upstream in (*upstreams.used, *upstreams.leaving):
                    if self._due(upstreams, upstream, now):
                        self._start(upstreams, upstream, now)
        self._push()

    def request_permits(self, upstreams):
        """Asks for permits at once, because calls wait for them.

        :param upstreams: :class:`~figpick.routing._upstreams.UpstreamSet`.
        """
        for upstream in upstreams.used:
            demand = upstreams.demand(upstream)
            if demand.total <= upstream.permits.granted:
                continue
            line = self._line(upstream)
            # The owner pushes permits for demand that it knows and has not met.
            met = upstream.permits.granted >= line.told
            if met or _urgency(demand) > line.asked:
                self._hasten(upstreams, upstream, line, LEAST_GAP_S)

    def return_unused(self, upstreams, upstream):
        """Tells an owner at once of permits that are no longer used.

        :param upstreams: :class:`~figpick.routing._upstreams.UpstreamSet`.
        """
        permits = upstream.permits
        line = self._line(upstream)
        unused = permits.granted > upstreams.demand(upstream).total
        recalled = permits.granted < line.in_use
        if unused or (recalled and permits.in_use < line.in_use):
            self._hasten(upstreams, upstream, line, RETURN_GAP_S)

    def _hasten(self, upstreams, upstream, line, gap_s):
        if line.timer is not None:
            return
        if line.busy:
            line.again = True
            return
        now = self._clock.monotonic()
        wait_s = line.sent_at + gap_s - now
        if wait_s <= 0:
            self._start(upstreams, upstream, now)
        else:
            loop = asyncio.get_running_loop()
            line.timer = loop.call_later(wait_s, self._fire, upstreams, upstream)

    async def return_all(self):
        """Returns the permits at every upstream, before this node leaves."""
        returns = [
            self._renew(upstreams, upstream, self._line(upstream))
            for upstreams in self._sets.values()
            for upstream in upstreams
            if upstream.permits.granted
        ]
        self._leaving = True
        await asyncio.gather(*returns)

    async def handle_renewal(self, message):
        """Answers a calling node that renews its permits."""
        answer = self.owner.handle_renewal(message, self._clock.monotonic())
        self._push_soon()
        return answer

    async def handle_push(self, message):
        """Takes permits and levels that an owner pushes.

        :return: dict with the usage of the permits.
        """
        for upstreams in self._sets.values():
            for upstream in upstreams:
                if upstream.name == message["owner"]:
                    return self._take_push(upstreams, upstream, message)
        return {"usage": None}

    def dump(self):
        """Gives the state as a dict."""
        return {**self.owner.dump(), "exchanges": self.exchanges, "pushes": self.pushes}

    def _take_push(self, upstreams, upstream, message):
        now = self._clock.monotonic()
        self._accept(upstream, message, now)
        upstreams.wake(now)
        return {"usage": self._usage(upstreams, upstream, now)}

    def _usage(self, upstreams, upstream, now):
        self._number += 1
        demand = NO_DEMAND if self._leaving else upstreams.demand(upstream)
        line = self._line(upstream)
        line.in_use = upstream.permits.in_use
        unmet = demand.total > upstream.permits.granted
        line.asked = _urgency(demand) if unmet else NOTHING_ASKED
        line.told = demand.total
        return upstream.permits.usage(self._number, demand, now)

    def _accept(self, upstream, message, sent_at):
        upstream.take_levels(
            message["level"], message["routes"], self._clock.monotonic()
        )
        upstream.permits.contended = message["contended"]
        if message["grant"] is not None:
            upstream.permits.accept(Grant(*message["grant"]), sent_at)

    def _line(self, upstream):
        line = self._lines.get(upstream.name)
        if line is None or line.incarnation != upstream.member.incarnation:
            # A restarted owner must learn at once what is held of its upstream.
            line = self._lines[upstream.name] = _Line(upstream.member.incarnation)
        return line

    def _due(self, upstreams, upstream, now):
        line = self._line(upstream)
        if line.busy:
            return False
        followed = upstream.restrained and upstreams.active(now)
        if upstreams.waiting or followed:
            return now - line.sent_at >= BUSY_PERIOD_S
        return now >= line.due_at

    def _fire(self, upstreams, upstream):
        line = self._line(upstream)
        line.timer = None
        if not line.busy:
            self._start(upstreams, upstream, self._clock.monotonic())

    def _start(self, upstreams, upstream, now):
        line = self._line(upstream)
        line.busy = True
        line.again = False
        line.sent_at = now
        line.due_at = now + RENEWAL_PERIOD_S
        self._spawn(self._renew(upstreams, upstream, line))

    def _spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _renew(self, upstreams, upstream, line):
        try:
            self.exchanges += 1
            await self._exchange(upstreams, upstream)
            upstreams.wake(self._clock.monotonic())
            upstream.permits.owner_silent = False
            if upstream.permits.contended:
                self.return_unused(upstreams, upstream)
        except PeerError as error:
            upstream.permits.owner_silent = True
            log.debug("No permits from {}: {}.", upstream.name, error)
        finally:
            line.busy = False
            if line.again:
                self._hasten(upstreams, upstream, line, RETURN_GAP_S)

    async def _exchange(self, upstreams, upstream):
        own_name = self._members.own.name
        now = self._clock.monotonic()
        usage = self._usage(upstreams, upstream, now)
        report = upstream.statistics.pop_report(max(1, len(upstreams.used)), now)
        message = {"caller": own_name, "usage": usage, "report": report}
        if upstream.name == own_name:
            answer = await self.handle_renewal(message)
        else:
            address = upstream.member.peer_address
            answer = await self._client.send(address, "exchange", message)
        self._accept(upstream, answer, now)

    def _push_soon(self):
        if self._push_timer is None and self.pool.movable:
            loop = asyncio.get_running_loop()
            self._push_timer = loop.call_later(PUSH_DELAY_S, self._push)

    def _push(self):
        if self._push_timer is not None:
            self._push_timer.cancel()
            self._push_timer = None
        for caller, message in self.owner.pushes(self._clock.monotonic()):
            self._spawn(self._push_to(caller, message))

    async def _push_to(self, caller, message):
        own_name = self._members.own.name
        message["owner"] = own_name
        self.pushes += 1
        try:
            if caller == own_name:
                answer = await self.handle_push(message)
            else:
                member = self._members.get(caller)
                if member is None:
                    return
                answer = await self._client.send(
                    member.peer_address, "permits", message
                )
        except PeerError as error:
            log.debug("Push of permits to {} failed: {}.", caller, error)
            return
        if answer["usage"] is not None:
            self.owner.acknowledge(caller, answer["usage"], self._clock.monotonic())
            self._push_soon()

    def _level_of(self, service, route_id):
        upstreams = self._sets.get(service)
        if upstreams is None:
            return 0.0
        return upstreams.level(route_id, self._clock.monotonic())

    def _calling_nodes(self):
        return self._members.calling_nodes()


def _urgency(demand):
    importance = highest(demand)
    return importance, demand.by_importance[importance]

"""The upstreams of one service as a calling node sees them."""

import asyncio
import itertools
import random

from ..base._errors import DeadlineError, NoUpstreamError, OverloadedError
from ..membership._members import DRAINING, TAKES_CALLS
from ..permits._call_statistics import OfferedLoad, TypicalServiceTimes
from ..permits._division import IMPORTANCE_COUNT, Demand
from ..permits._wait_queue import WaitQueue
from . import _routing
from ._upstream import Result, Upstream

# Services that were not called for this long are forgotten by their owners.
IDLE_S = 60.0
# Levels are followed closely by the nodes that call a service. While a high level
# is in force few calls come through, and its end must still be noticed at once.
ACTIVE_S = 10.0
LEAST_SPARE = 2
# The first exchange with the owners of a service may take longer than calls wait
# for a permit, which refused first calls on a loaded host.
FIRST_GRANT_S = 1.0
MOST_CONTENDED_SPARE = 2
# Share of a recent peak of calls in flight that is still asked for 100 ms later.
PEAK_KEPT = 0.9
SUBSET_GROWTH = 4
SHORT_TICKS = 3


class _Waiter:
    """A call that waits for a permit."""

    __slots__ = ("future", "plan", "excluded", "since")

    def __init__(self, future, plan, excluded, since):
        self.future = future
        self.plan = plan
        self.excluded = excluded
        self.since = since


class UpstreamSet:
    """All upstreams of one service, with the calls that wait for a permit.

    :param service: :class:`~figpick.registry._documents.Service`.
    :param own: :class:`Member` record of this node, or ``None``.
    :param now: monotonic seconds.
    :param when_short: function called with the set when a call must wait.
    :param when_idle: function called with the set and an upstream when a permit
        that others wait for may have become unused.
    """

    def __init__(self, service, own=None, now=0.0, when_short=None, when_idle=None):
        self._service = service
        self._own = own
        self._when_short = when_short
        self._when_idle = when_idle
        self._upstreams = {}
        self._leaving = {}
        self._used = []
        self._subset_size = _routing.SUBSET_SIZE
        self._queue = WaitQueue(service.limits.queue_length)
        self._random = random.Random()
        self._short_ticks = 0
        self._rotation = 0
        self._last_call_at = now
        self.refused = {"level": 0, "wait": 0, "full": 0, "time": 0}
        self.offered = OfferedLoad()
        self.usual_times = TypicalServiceTimes()

    def __repr__(self):
        return f"<UpstreamSet {self._service.name} {len(self._upstreams)}>"

    def __iter__(self):
        return itertools.chain(self._upstreams.values(), self._leaving.values())

    def get(self, name):
        """Gives the upstream beside a node, or ``None``."""
        return self._upstreams.get(name)

    @property
    def service(self):
        """Document in force; a change keeps the calls that wait."""
        return self._service

    @service.setter
    def service(self, service):
        self._service = service
        self._queue.resize(service.limits.queue_length)

    @property
    def used(self):
        """Upstreams that this node sends calls to."""
        return self._used

    @property
    def leaving(self):
        """Upstreams that drain; their owners wait for the end of the calls there."""
        return self._leaving.values()

    @property
    def waiting(self):
        """Number of calls that wait for a permit."""
        return len(self._queue)

    def active(self, now):
        """Whether the service was called within the last 10 seconds.

        :param now: monotonic seconds.
        """
        return now - self._last_call_at < ACTIVE_S

    def idle(self, now):
        """Whether the service was not called for a minute.

        :param now: monotonic seconds.
        """
        return now - self._last_call_at > IDLE_S

    def update(self, member, now=0.0):
        """Takes a changed member record of the service.

        :param member: :class:`Member`.
        :param now: monotonic seconds.
        """
        known = self._upstreams.get(member.name)
        if member.state not in TAKES_CALLS or not member.upstream_address:
            self._remove(member, known)
            return
        if known is None:
            known = self._leaving.pop(member.name, None)
        if known is None or known.member.upstream_address != member.upstream_address:
            known = Upstream(member, self.offered, now)
        known.member = member
        self._upstreams[member.name] = known
        self._select()

    def _remove(self, member, upstream):
        if upstream is not None:
            upstream.pool.close_idle()
            del self._upstreams[member.name]
            self._select()
            self._leaving[member.name] = upstream
        if member.state != DRAINING:
            self._leaving.pop(member.name, None)

    def admit(self, plan, now):
        """Decides whether a call may wait for a permit.

        :param plan: :class:`~figpick.calls._plans.CallPlan`.
        :param now: monotonic seconds.
        :raises OverloadedError: when its priority is below the level.
        :raises DeadlineError: when the service usually takes longer than is left.
        """
        self._last_call_at = now
        priority = plan.context.priority
        self.offered.add(priority)
        if priority < self.level(plan.route.route_id, now):
            raise self._overloaded("level")
        if not self.usual_times.allows(plan.route.route_id, plan.deadline - now, now):
            self.refused["time"] += 1
            message = f"{self._service.name} usually takes longer than is left"
            raise DeadlineError(message, retry_after_s=1)

    def level(self, route_id, now):
        """Gives the lowest level of the upstreams in use for a route.

        :param now: monotonic seconds.
        """
        levels = [upstream.level(route_id, now) for upstream in self._used]
        return min(levels, default=0.0)

    def demand(self, upstream):
        """Gives the permits that calls here can use at an upstream.

        :return: :class:`~figpick.permits._permits.Demand`.
        """
        waiting = self._waiting_for(upstream)
        if upstream.permits.contended:
            # Others wait: only permits for calls that exist are asked for. Calls
            # that ask for another upstream also take what nobody asks for here.
            in_use = upstream.permits.by_importance
            elsewhere = len(self._queue) - sum(waiting)
            wanted = tuple(map(sum, zip(in_use, waiting, strict=True)))
            return Demand(wanted, min(elsewhere, MOST_CONTENDED_SPARE), waiting)
        peaks = upstream.permits.decay_peaks(PEAK_KEPT)
        wanted = tuple(map(sum, zip(peaks, waiting, strict=True)))
        return Demand(wanted, max(LEAST_SPARE, sum(wanted) // 2), waiting)

    def _waiting_for(self, upstream):
        """Counts the waiting calls that ask for this upstream, by importance.

        Each call asks for one upstream, since asking for more would keep permits
        from other nodes that the call can't use.
        """
        asked = [item for item in self._used if not item.permits.owner_silent]
        if upstream not in asked:
            return (0,) * IMPORTANCE_COUNT
        count = len(asked)
        place = (asked.index(upstream) + self._rotation) % count
        numbers = [0] * IMPORTANCE_COUNT
        for importance in range(IMPORTANCE_COUNT - 1, -1, -1):
            waiting = self._queue.by_importance[importance]
            if waiting > place:
                numbers[importance] = (waiting - 1 - place) // count + 1
            place = (place - waiting) % count
        return tuple(numbers)

    def review(self, now):
        """Ejects failing upstreams and adapts the number in use; each 100 ms.

        :param now: monotonic seconds.
        """
        _routing.review([upstream.health for upstream in self._used], now)
        self._rotation += 1
        self._short_ticks = self._short_ticks + 1 if len(self._queue) else 0
        if self._short_ticks >= SHORT_TICKS and len(self._used) < len(self._upstreams):
            self._subset_size += SUBSET_GROWTH
            self._short_ticks = 0
            self._select()

    async def acquire(self, plan, now, excluded=()):
        """Takes a permit, waiting for one within the queue time of the service.

        :param plan: :class:`~figpick.calls._plans.CallPlan`.
        :param now: monotonic seconds.
        :param excluded: names of upstreams that must not be used.
        :return: :class:`Upstream` with one permit taken.
        :raises OverloadedError: when no permit comes free in time.
        :raises NoUpstreamError: when there is no upstream.
        """
        # Calls that already wait come first unless this one matters more.
        if not self._queue.outranks(plan.context.priority):
            upstream = self._choose(now, excluded)
            if upstream is not None:
                self._take(upstream, plan, 0.0, now)
                return upstream
        if not any(item.name not in excluded for item in self._used):
            message = f"no upstream of {self._service.name} is available"
            raise NoUpstreamError(message, retry_after_s=1)
        return await self._wait(plan, now, excluded)

    def release(self, upstream, result, now, plan):
        """Returns a permit and learns from the attempt.

        :param result: :class:`Result`.
        :param now: monotonic seconds.
        :param plan: :class:`~figpick.calls._plans.CallPlan` that the permit was for.
        """
        upstream.permits.release(plan.context.importance)
        upstream.statistics.record_end(plan, result, now)
        upstream.observe(result, now)
        if result.complete or result.cancelled:
            self.usual_times.add(plan.route.route_id, result.latency_s)
        self.wake(now)
        # Others wait for the permit that this node has just stopped to use.
        if self._when_idle is not None and upstream.permits.contended:
            self._when_idle(self, upstream)

    def wake(self, now):
        """Hands free permits to waiting calls.

        :param now: monotonic seconds.
        """
        passed = []
        while (waiter := self._queue.pop()) is not None:
            if waiter.future.done():
                continue
            upstream = self._choose(now, waiter.excluded)
            if upstream is None:
                passed.append(waiter)
                if not waiter.excluded:
                    break
                continue
            self._take(upstream, waiter.plan, now - waiter.since, now)
            waiter.future.set_result(upstream)
        for waiter in passed:
            self._queue.restore(waiter.plan.context.priority, waiter, waiter.since)

    def _choose(self, now, excluded):
        candidates = [
            upstream
            for upstream in self._used
            if upstream.name not in excluded and upstream.allows(now)
        ]
        if not candidates:
            return None
        if self._own is not None:
            own_place = self._own.data_center
            near = [each for each in candidates if each.member.data_center == own_place]
            candidates = near or candidates
        return _routing.choose(candidates, lambda item: item.cost(now), self._random)

    def _take(self, upstream, plan, wait_s, now):
        upstream.permits.acquire(plan.context.importance)
        upstream.statistics.record_start(plan, wait_s, now)

    async def _wait(self, plan, now, excluded):
        future = asyncio.get_running_loop().create_future()
        waiter = _Waiter(future, plan, frozenset(excluded), now)
        lost = self._queue.push(plan.context.priority, waiter, now)
        if lost is not None and not lost.future.done():
            lost.future.set_exception(self._overloaded("full"))
        if self._when_short is not None:
            self._when_short(self)
        remaining_s = plan.deadline - now - self.usual_times.get(plan.route.route_id)
        limit_s = max(0.0, min(self._queue_s(), remaining_s))
        try:
            async with asyncio.timeout(limit_s):
                return await future
        except TimeoutError:
            self._queue.remove(waiter)
            self._return(waiter, now + limit_s)
            if self._used:
                self._random.choice(self._used).statistics.record_timeout(limit_s)
            raise self._overloaded("wait") from None
        except asyncio.CancelledError:
            self._queue.remove(waiter)
            self._return(waiter, now)
            raise

    def _queue_s(self):
        granted = any(any(upstream.permits.order) for upstream in self._used)
        queue_s = self._service.limits.queue_s
        return queue_s if granted else max(queue_s, FIRST_GRANT_S)

    def _return(self, waiter, now):
        """Gives back the permit of a call that was given up as it got one."""
        future = waiter.future
        if not future.done() or future.cancelled() or future.exception():
            return
        upstream = future.result()
        upstream.permits.release(waiter.plan.context.importance)
        cancelled = Result(False, 0, 0.0, refused=False, cancelled=True)
        upstream.statistics.record_end(waiter.plan, cancelled, now)
        self.wake(now)

    def _select(self):
        members = [upstream.member for upstream in self._upstreams.values()]
        own = self._own
        names = _routing.subset(
            own.name if own else "",
            members,
            own.data_center if own else "",
            self._subset_size,
        )
        self._used = [item for item in self._upstreams.values() if item.name in names]

    def _overloaded(self, cause):
        self.refused[cause] += 1
        message = f"{self._service.name} is overloaded"
        return OverloadedError(message, retry_after_s=1)

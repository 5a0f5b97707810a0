"""The upstreams of one service at a calling node, and calls that wait for them."""

import asyncio
import itertools
import random

from ..base._errors import DeadlineError, NoUpstreamError, OverloadedError
from ..membership._members import CALLABLE_STATES, DRAINING
from ..permits._call_statistics import OfferedLoad, TypicalServiceTimes
from ..permits._division import IMPORTANCE_COUNT, Demand
from ..permits._wait_queue import WaitQueue
from . import _load_balancing
from ._upstream import Upstream, UpstreamResult

# A calling node that has not called a service for this long stops the exchange with
# the owners of the service, which then forget the node.
IDLE_AFTER_S = 60.0
# A node that called a service within this time requests its admission levels often.
# A high level admits few calls, so the node would otherwise notice late that the
# level has fallen.
RECENT_CALL_S = 10.0
MIN_SPARE_PERMITS = 2
# The first exchange with the owners of a service may take longer than the queue time.
# On a loaded host the first calls were refused because of that.
FIRST_GRANT_TIMEOUT_S = 1.0
MAX_CONTENDED_SPARE_PERMITS = 2
# Share of a recent peak of calls in flight that is still requested 100 ms later.
PEAK_DECAY = 0.9
SUBSET_GROWTH = 4
MIN_QUEUED_ROUNDS = 3


class _Waiter:
    """A call that waits for a permit."""

    __slots__ = ("future", "plan", "excluded", "waiting_since")

    def __init__(self, future, plan, excluded, waiting_since):
        self.future = future
        self.plan = plan
        self.excluded = excluded
        self.waiting_since = waiting_since


class UpstreamSet:
    """All upstreams of one service, and the calls that wait for a permit.

    :param service: :class:`~figpick.registry._documents.Service`.
    :param own_member: :class:`Member` record of this node, or ``None``.
    :param now: monotonic seconds.
    :param on_permits_short: function called with the set when a call has to wait.
    :param on_permit_unused: function called with the set and an upstream when a permit
        that other nodes wait for may have become unused.
    """

    def __init__(
        self,
        service,
        own_member=None,
        now=0.0,
        on_permits_short=None,
        on_permit_unused=None,
    ):
        self._service = service
        self._own_member = own_member
        self._on_permits_short = on_permits_short
        self._on_permit_unused = on_permit_unused
        self._upstreams = {}
        self._leaving = {}
        self._selected = []
        self._subset_size = _load_balancing.SUBSET_SIZE
        self._queue = WaitQueue(service.limits.queue_length)
        self._random = random.Random()
        self._queued_rounds = 0
        self._rotation = 0
        self._last_call_at = now
        self.refusal_counts = {"level": 0, "wait": 0, "full": 0, "time": 0}
        self.offered_load = OfferedLoad()
        self.typical_times = TypicalServiceTimes()

    def __repr__(self):
        return f"<UpstreamSet {self._service.name} {len(self._upstreams)}>"

    def __iter__(self):
        return itertools.chain(self._upstreams.values(), self._leaving.values())

    def get(self, name):
        """Returns the upstream on the host of a node, or ``None``.

        :param name: name of the node.
        """
        return self._upstreams.get(name)

    @property
    def service(self):
        """Active document of the service. A change keeps the waiting calls."""
        return self._service

    @service.setter
    def service(self, service):
        self._service = service
        self._queue.resize(service.limits.queue_length)

    @property
    def selected(self):
        """Selected upstreams, to which this node sends calls."""
        return self._selected

    @property
    def leaving(self):
        """Draining upstreams, whose owners wait for the calls there to end."""
        return self._leaving.values()

    @property
    def waiting_count(self):
        """Number of calls that wait for a permit."""
        return len(self._queue)

    def was_called_recently(self, now):
        """Returns whether the service was called within the last 10 seconds.

        :param now: monotonic seconds.
        """
        return now - self._last_call_at < RECENT_CALL_S

    def is_idle(self, now):
        """Returns whether the service was not called for a minute.

        :param now: monotonic seconds.
        """
        return now - self._last_call_at > IDLE_AFTER_S

    def update(self, member, now=0.0):
        """Applies a changed member record of the service.

        :param member: :class:`Member`.
        :param now: monotonic seconds.
        """
        upstream = self._upstreams.get(member.name)
        if member.state not in CALLABLE_STATES or not member.upstream_address:
            self._remove_upstream(member, upstream)
            return
        if upstream is None:
            upstream = self._leaving.pop(member.name, None)
        if (
            upstream is None
            or upstream.member.upstream_address != member.upstream_address
        ):
            upstream = Upstream(member, self.offered_load, now)
        upstream.member = member
        self._upstreams[member.name] = upstream
        self._update_selected()

    def _remove_upstream(self, member, upstream):
        if upstream is not None:
            upstream.pool.close_idle()
            del self._upstreams[member.name]
            self._update_selected()
            self._leaving[member.name] = upstream
        if member.state != DRAINING:
            self._leaving.pop(member.name, None)

    def admit(self, plan, now):
        """Decides whether a call may wait for a permit.

        :param plan: :class:`~figpick.calls._plans.CallPlan`.
        :param now: monotonic seconds.
        :raises OverloadedError: when its priority is below the admission level.
        :raises DeadlineError: when the typical service time exceeds the time left.
        """
        self._last_call_at = now
        priority = plan.context.priority
        self.offered_load.add(priority)
        if priority < self.level(plan.route.route_id, now):
            raise self._overloaded_error("level")
        if not self.typical_times.allows(plan.route.route_id, plan.deadline - now, now):
            self.refusal_counts["time"] += 1
            message = f"{self._service.name} usually takes longer than is left"
            raise DeadlineError(message, retry_after_s=1)

    def level(self, route_id, now):
        """Returns the lowest admission level of the selected upstreams for a route.

        :param now: monotonic seconds.
        """
        levels = [upstream.level(route_id, now) for upstream in self._selected]
        return min(levels, default=0.0)

    def demand(self, upstream):
        """Returns the permits that calls of this node can use at an upstream.

        :return: :class:`~figpick.permits._division.Demand`.
        """
        waiting = self._waiting_by_importance(upstream)
        if upstream.permits.contended:
            # Other nodes wait for permits, so permits are requested only for existing
            # calls. The spare permits are for calls that request another upstream but
            # can also use permits that no other node requests here.
            in_use = upstream.permits.by_importance
            waiting_elsewhere = len(self._queue) - sum(waiting)
            wanted = tuple(map(sum, zip(in_use, waiting, strict=True)))
            return Demand(
                wanted, min(waiting_elsewhere, MAX_CONTENDED_SPARE_PERMITS), waiting
            )
        peaks = upstream.permits.decay_peaks(PEAK_DECAY)
        wanted = tuple(map(sum, zip(peaks, waiting, strict=True)))
        return Demand(wanted, max(MIN_SPARE_PERMITS, sum(wanted) // 2), waiting)

    def _waiting_by_importance(self, upstream):
        """Returns the number of waiting calls that request an upstream, by importance.

        Each call requests one upstream. If it requested more, other nodes would lose
        permits that the call can't use.
        """
        responsive = [item for item in self._selected if not item.permits.owner_silent]
        if upstream not in responsive:
            return (0,) * IMPORTANCE_COUNT
        count = len(responsive)
        position = (responsive.index(upstream) + self._rotation) % count
        counts = [0] * IMPORTANCE_COUNT
        for importance in range(IMPORTANCE_COUNT - 1, -1, -1):
            waiting = self._queue.by_importance[importance]
            if waiting > position:
                counts[importance] = (waiting - 1 - position) // count + 1
            position = (position - waiting) % count
        return tuple(counts)

    def rebalance(self, now):
        """Ejects failing upstreams and adjusts the number of selected ones.

        It is called every 100 ms.

        :param now: monotonic seconds.
        """
        _load_balancing.eject_failing(
            [upstream.health for upstream in self._selected], now
        )
        self._rotation += 1
        self._queued_rounds = self._queued_rounds + 1 if len(self._queue) else 0
        if self._queued_rounds >= MIN_QUEUED_ROUNDS and len(self._selected) < len(
            self._upstreams
        ):
            self._subset_size += SUBSET_GROWTH
            self._queued_rounds = 0
            self._update_selected()

    async def acquire(self, plan, now, excluded=()):
        """Takes a permit, and waits for one within the queue time of the service.

        :param plan: :class:`~figpick.calls._plans.CallPlan`.
        :param now: monotonic seconds.
        :param excluded: names of upstreams that must not be used.
        :return: :class:`Upstream` with one permit taken.
        :raises OverloadedError: when no permit becomes free in time.
        :raises NoUpstreamError: when no upstream is available.
        """
        # Waiting calls are served first unless this call is more important.
        if not self._queue.outranks(plan.context.priority):
            upstream = self._choose_upstream(now, excluded)
            if upstream is not None:
                self._take_permit(upstream, plan, 0.0, now)
                return upstream
        if not any(item.name not in excluded for item in self._selected):
            message = f"no upstream of {self._service.name} is available"
            raise NoUpstreamError(message, retry_after_s=1)
        return await self._wait_for_permit(plan, now, excluded)

    def release(self, upstream, result, now, plan):
        """Returns a permit and records the result of the attempt.

        :param result: :class:`UpstreamResult`.
        :param now: monotonic seconds.
        :param plan: :class:`~figpick.calls._plans.CallPlan` that the permit was for.
        """
        upstream.permits.release(plan.context.importance)
        upstream.statistics.record_end(plan, result, now)
        upstream.observe(result, now)
        if result.is_complete or result.cancelled:
            self.typical_times.add(plan.route.route_id, result.latency_s)
        self.wake_waiters(now)
        # Other nodes wait for the permit that this node no longer uses.
        if self._on_permit_unused is not None and upstream.permits.contended:
            self._on_permit_unused(self, upstream)

    def wake_waiters(self, now):
        """Assigns free permits to waiting calls.

        :param now: monotonic seconds.
        """
        skipped = []
        while (waiter := self._queue.pop()) is not None:
            if waiter.future.done():
                continue
            upstream = self._choose_upstream(now, waiter.excluded)
            if upstream is None:
                skipped.append(waiter)
                if not waiter.excluded:
                    break
                continue
            self._take_permit(upstream, waiter.plan, now - waiter.waiting_since, now)
            waiter.future.set_result(upstream)
        for waiter in skipped:
            self._queue.restore(
                waiter.plan.context.priority, waiter, waiter.waiting_since
            )

    def _choose_upstream(self, now, excluded):
        candidates = [
            upstream
            for upstream in self._selected
            if upstream.name not in excluded and upstream.accepts_call(now)
        ]
        if not candidates:
            return None
        if self._own_member is not None:
            own_data_center = self._own_member.data_center
            same_data_center = [
                each
                for each in candidates
                if each.member.data_center == own_data_center
            ]
            candidates = same_data_center or candidates
        return _load_balancing.choose(
            candidates, lambda item: item.cost(now), self._random
        )

    def _take_permit(self, upstream, plan, wait_s, now):
        upstream.permits.acquire(plan.context.importance)
        upstream.statistics.record_start(plan, wait_s, now)

    async def _wait_for_permit(self, plan, now, excluded):
        future = asyncio.get_running_loop().create_future()
        waiter = _Waiter(future, plan, frozenset(excluded), now)
        evicted = self._queue.push(plan.context.priority, waiter, now)
        if evicted is not None and not evicted.future.done():
            evicted.future.set_exception(self._overloaded_error("full"))
        if self._on_permits_short is not None:
            self._on_permits_short(self)
        remaining_s = plan.deadline - now - self.typical_times.get(plan.route.route_id)
        limit_s = max(0.0, min(self._queue_limit_s(), remaining_s))
        try:
            async with asyncio.timeout(limit_s):
                return await future
        except TimeoutError:
            self._queue.remove(waiter)
            self._return_permit(waiter, now + limit_s)
            if self._selected:
                self._random.choice(self._selected).statistics.record_timeout(limit_s)
            raise self._overloaded_error("wait") from None
        except asyncio.CancelledError:
            self._queue.remove(waiter)
            self._return_permit(waiter, now)
            raise

    def _queue_limit_s(self):
        has_grant = any(any(upstream.permits.order) for upstream in self._selected)
        queue_s = self._service.limits.queue_s
        return queue_s if has_grant else max(queue_s, FIRST_GRANT_TIMEOUT_S)

    def _return_permit(self, waiter, now):
        """Returns the permit of a call that was given up when it received one."""
        future = waiter.future
        if not future.done() or future.cancelled() or future.exception():
            return
        upstream = future.result()
        upstream.permits.release(waiter.plan.context.importance)
        cancelled = UpstreamResult(False, 0, 0.0, refused=False, cancelled=True)
        upstream.statistics.record_end(waiter.plan, cancelled, now)
        self.wake_waiters(now)

    def _update_selected(self):
        members = [upstream.member for upstream in self._upstreams.values()]
        own_member = self._own_member
        names = _load_balancing.select_subset(
            own_member.name if own_member else "",
            members,
            own_member.data_center if own_member else "",
            self._subset_size,
        )
        self._selected = [
            item for item in self._upstreams.values() if item.name in names
        ]

    def _overloaded_error(self, cause):
        self.refusal_counts[cause] += 1
        message = f"{self._service.name} is overloaded"
        return OverloadedError(message, retry_after_s=1)

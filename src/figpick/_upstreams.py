"""The upstreams of one service as a calling node sees them."""

import asyncio
import itertools
from typing import NamedTuple

from ._connections import ConnectionPool
from ._errors import NoUpstreamError, OverloadedError
from ._members import DRAINING, TAKES_CALLS
from ._permits import PermitCache
from ._queues import WaitQueue

LATENCY_WEIGHT = 0.1
INITIAL_LATENCY_S = 0.01


class Result(NamedTuple):
    """How one attempt at an upstream ended.

    :param complete: whether the whole answer was read.
    :param status: HTTP status of the answer, 0 without one.
    :param latency_s: seconds from the send to the end.
    """

    complete: bool
    status: int
    latency_s: float


class Upstream:
    """One upstream as a calling node sees it.

    :param member: :class:`Member` record of its node.
    """

    def __init__(self, member):
        self.member = member
        self.pool = ConnectionPool(member.upstream_address)
        self.permits = PermitCache()
        self.latency_s = INITIAL_LATENCY_S
        self.failures_in_row = 0

    def __repr__(self):
        return f"<Upstream {self.member.name} {self.member.upstream_address}>"

    @property
    def name(self):
        """Name of the node beside the upstream."""
        return self.member.name

    def cost(self):
        """Expected wait at this upstream, for the choice among upstreams."""
        return (self.permits.in_use + 1) * self.latency_s

    def observe(self, result):
        """Learns from an attempt.

        :param result: :class:`Result`.
        """
        if not result.complete:
            self.failures_in_row += 1
            return
        self.failures_in_row = 0
        self.latency_s += LATENCY_WEIGHT * (result.latency_s - self.latency_s)


class UpstreamSet:
    """All upstreams of one service, with the calls that wait for a permit.

    :param service: :class:`~figpick._documents.Service`.
    """

    def __init__(self, service):
        self.service = service
        self._upstreams = {}
        self._leaving = {}
        self._queue = WaitQueue(service.limits.queue_length)

    def __repr__(self):
        return f"<UpstreamSet {self.service.name} {len(self._upstreams)}>"

    def __iter__(self):
        """Upstreams that take calls, and those that still run some."""
        return itertools.chain(self._upstreams.values(), self._leaving.values())

    @property
    def waiting(self):
        """Number of calls that wait for a permit."""
        return len(self._queue)

    def update(self, member):
        """Takes a changed member record of the service.

        :param member: :class:`Member`.
        """
        known = self._upstreams.get(member.name)
        if member.state not in TAKES_CALLS or not member.upstream_address:
            self._remove(member, known)
            return
        if known is None:
            known = self._leaving.pop(member.name, None)
        if known is None or known.member.upstream_address != member.upstream_address:
            self._upstreams[member.name] = Upstream(member)
        else:
            known.member = member
            self._upstreams[member.name] = known

    def _remove(self, member, upstream):
        if upstream is not None:
            upstream.pool.close_idle()
            del self._upstreams[member.name]
            # Its owner waits for the end of the calls in flight, which it learns
            # from the permit exchange.
            self._leaving[member.name] = upstream
        if member.state != DRAINING:
            self._leaving.pop(member.name, None)

    async def acquire(self, plan, now, excluded=()):
        """Takes a permit, waiting for one within the queue time of the service.

        :param plan: :class:`~figpick._plans.CallPlan`.
        :param now: monotonic seconds.
        :param excluded: names of upstreams that must not be used.
        :return: :class:`Upstream` with one permit taken.
        :raises OverloadedError: when no permit comes free in time.
        :raises NoUpstreamError: when there is no upstream.
        """
        upstream = self._choose(now, excluded)
        if upstream is not None:
            upstream.permits.take()
            return upstream
        if not any(item.name not in excluded for item in self._upstreams.values()):
            raise NoUpstreamError(f"no upstream of {self.service.name} is available")
        return await self._wait(plan, now)

    def release(self, upstream, result, now):
        """Returns a permit and learns from the attempt.

        :param result: :class:`Result`.
        :param now: monotonic seconds.
        """
        upstream.permits.give_back()
        upstream.observe(result)
        self.wake(now)

    def wake(self, now):
        """Hands free permits to waiting calls.

        :param now: monotonic seconds.
        """
        while len(self._queue):
            upstream = self._choose(now, ())
            if upstream is None:
                return
            future = self._queue.pop()
            if future.done():
                continue
            upstream.permits.take()
            future.set_result(upstream)

    def _choose(self, now, excluded):
        candidates = [
            upstream
            for upstream in self._upstreams.values()
            if upstream.permits.free(now) > 0 and upstream.name not in excluded
        ]
        if not candidates:
            return None
        return min(candidates, key=Upstream.cost)

    async def _wait(self, plan, now):
        future = asyncio.get_running_loop().create_future()
        lost = self._queue.push(plan.context.priority, future)
        if lost is not None and not lost.done():
            lost.set_exception(self._overloaded())
        try:
            async with asyncio.timeout(self.service.limits.queue_s):
                return await future
        except TimeoutError:
            raise self._overloaded() from None
        except asyncio.CancelledError:
            if future.done() and not future.cancelled() and not future.exception():
                future.result().permits.give_back()
                self.wake(now)
            raise

    def _overloaded(self):
        message = f"{self.service.name} is overloaded"
        return OverloadedError(message, retry_after_s=1)

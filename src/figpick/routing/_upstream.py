"""One upstream as a calling node sees it."""

from typing import NamedTuple

from ..membership._members import COLD
from ..messaging._connections import ConnectionPool
from ..permits._admission_levels import REPORT_LIFETIME_S
from ..permits._call_statistics import CallStatistics
from ..permits._permits import PermitCache
from . import _routing

# 503 is not among them: an upstream that sheds load is lowered by its limit.
FAULTS = frozenset((500, 502, 504))


class Result(NamedTuple):
    """How one attempt at an upstream ended.

    :param complete: whether the whole answer was read.
    :param status: HTTP status of the answer, 0 without one.
    :param latency_s: seconds from the send to the end.
    :param refused: whether the upstream accepted no connection.
    :param cancelled: whether the attempt was given up by its caller or deadline.
    """

    complete: bool
    status: int
    latency_s: float
    refused: bool = False
    cancelled: bool = False


class Upstream:
    """One upstream as a calling node sees it.

    :param member: :class:`Member` record of its node.
    :param offered: :class:`OfferedLoad` of the service.
    :param now: monotonic seconds.
    """

    def __init__(self, member, offered, now):
        self.member = member
        self.pool = ConnectionPool(member.upstream_address)
        self.permits = PermitCache()
        self.health = _routing.Health(now if member.state == COLD else None)
        self.statistics = CallStatistics(offered, now)
        self._level = 0.0
        self._route_levels = {}
        self._level_at = 0.0

    def __repr__(self):
        return f"<Upstream {self.member.name} {self.member.upstream_address}>"

    @property
    def name(self):
        """Name of the node beside the upstream."""
        return self.member.name

    @property
    def latency_s(self):
        """Expected seconds of a call."""
        return self.health.latency_s

    def cost(self, now):
        """Expected wait at this upstream, for the choice among upstreams."""
        weight = self.health.weight(now)
        return (self.permits.in_use + 1) * self.health.latency_s / weight

    def allows(self, now):
        """Whether a call may be sent there now.

        :param now: monotonic seconds.
        """
        permits = self.permits
        return permits.free(now) > 0 and self.health.allows(permits.in_use, now)

    def take_levels(self, level, routes, now):
        """Takes the levels that the owner gives.

        :param level: level of the upstream.
        :param routes: levels by route id.
        :param now: monotonic seconds.
        """
        self._level = level
        self._route_levels = routes
        self._level_at = now

    def level(self, route_id, now):
        """Gives the level for a route, 0 when the owner has long been silent."""
        if now - self._level_at > REPORT_LIFETIME_S:
            return 0.0
        return max(self._level, self._route_levels.get(route_id, 0.0))

    @property
    def restrained(self):
        """Whether the owner asks for less load."""
        return self._level > 0 or bool(self._route_levels)

    def observe(self, result, now):
        """Learns from an attempt.

        :param result: :class:`Result`.
        :param now: monotonic seconds.
        """
        if result.cancelled:
            self.health.exceed(result.latency_s)
        elif not result.complete or result.status in FAULTS:
            self.health.fail(now)
        else:
            self.health.succeed(result.latency_s)

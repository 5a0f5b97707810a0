"""State of one upstream at a calling node."""

from typing import NamedTuple

from ..membership._members import COLD
from ..messaging._connections import ConnectionPool
from ..permits._admission_levels import REPORT_LIFETIME_S
from ..permits._call_statistics import CallStatistics
from ..permits._permits import PermitCache
from . import _load_balancing

# 503 is not included: when an upstream sheds load, its limit reduces its calls.
FAILURE_STATUSES = frozenset((500, 502, 504))


class UpstreamResult(NamedTuple):
    """How one attempt at an upstream ended.

    :param is_complete: whether the complete response was read.
    :param status: HTTP status of the response, 0 without one.
    :param latency_s: seconds from the send to the end.
    :param refused: whether the upstream refused the connection.
    :param cancelled: whether the attempt was given up by its caller or deadline.
    """

    is_complete: bool
    status: int
    latency_s: float
    refused: bool = False
    cancelled: bool = False


class Upstream:
    """Connections, permits and health of one upstream at a calling node.

    :param member: :class:`Member` record of its node.
    :param offered_load: :class:`OfferedLoad` of the service.
    :param now: monotonic seconds.
    """

    def __init__(self, member, offered_load, now):
        self.member = member
        self.pool = ConnectionPool(member.upstream_address)
        self.permits = PermitCache()
        self.health = _load_balancing.Health(now if member.state == COLD else None)
        self.statistics = CallStatistics(offered_load, now)
        self._level = 0.0
        self._route_levels = {}
        self._levels_set_at = 0.0

    def __repr__(self):
        return f"<Upstream {self.member.name} {self.member.upstream_address}>"

    @property
    def name(self):
        """Name of the node on the host of the upstream."""
        return self.member.name

    @property
    def latency_s(self):
        """Expected latency of a call in seconds."""
        return self.health.latency_s

    def cost(self, now):
        """Returns the expected wait in seconds, used to choose an upstream.

        :param now: monotonic seconds.
        """
        weight = self.health.weight(now)
        return (self.permits.in_use + 1) * self.health.latency_s / weight

    def accepts_call(self, now):
        """Returns whether a call may be sent to the upstream now.

        :param now: monotonic seconds.
        """
        permits = self.permits
        return permits.free(now) > 0 and self.health.allows_call(permits.in_use, now)

    def set_levels(self, level, routes, now):
        """Sets the admission levels that the owner reported.

        :param level: admission level of the upstream.
        :param routes: admission levels by route id.
        :param now: monotonic seconds.
        """
        self._level = level
        self._route_levels = routes
        self._levels_set_at = now

    def level(self, route_id, now):
        """Returns the admission level for a route.

        It is 0 when the last report of the owner has expired.

        :param now: monotonic seconds.
        """
        if now - self._levels_set_at > REPORT_LIFETIME_S:
            return 0.0
        return max(self._level, self._route_levels.get(route_id, 0.0))

    @property
    def requests_less_load(self):
        """Whether the owner currently requests less load."""
        return self._level > 0 or bool(self._route_levels)

    def observe(self, result, now):
        """Updates the health from the result of an attempt.

        :param result: :class:`UpstreamResult`.
        :param now: monotonic seconds.
        """
        if result.cancelled:
            self.health.record_abandoned(result.latency_s)
        elif not result.is_complete or result.status in FAILURE_STATUSES:
            self.health.record_failure(now)
        else:
            self.health.record_success(result.latency_s)

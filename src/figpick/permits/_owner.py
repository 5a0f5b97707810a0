"""Owner of an upstream: grants its permits and computes its admission levels."""

from collections import deque

from ._admission_levels import LevelController, Report, RouteLevels
from ._concurrency_limit import AdaptiveLimit, DownstreamCalls, Observation
from ._division import Demand
from ._permits import PermitPool, Usage

WINDOW_S = 0.5
# Calling nodes that know of a level above 0 query it every 100 ms. The others receive a
# push at once, and so do all when the level rises by more than this.
MIN_LEVEL_RISE = 0.5
# Calling nodes return unused permits at once until this long after a shortage.
CONTENDED_S = 1.0


class UpstreamOwner:
    """Controls the load that calling nodes may send to one upstream.

    :param incarnation: incarnation of this process.
    :param now: monotonic seconds.
    """

    def __init__(self, incarnation, now):
        self.pool = PermitPool(0, incarnation, now)
        self.routes = RouteLevels()
        self.downstream = DownstreamCalls()
        self._levels = LevelController()
        self._limit = AdaptiveLimit()
        self._slots = 0
        self._slots_limit = None
        self._connections_limit = None
        self._connections = 0
        self._level = 0.0
        self._route_levels = {}
        self._sent_levels = {}
        self._contended_until = 0.0
        self._window = deque()
        # Completed requests, the sum of their seconds and refusals since the last tick.
        self._totals = [0, 0.0, 0]

    def set_capacity(self, slots, connections):
        """Sets the announced capacity of the upstream; 0 slots when it drains."""
        self._slots = slots
        self._connections = connections
        self._apply_ceiling()

    def set_limits(self, limits):
        """Sets the limits from the document of the service.

        :param limits: :class:`~figpick.registry._documents.Limits`.
        """
        self._slots_limit = limits.slots
        self._connections_limit = limits.connections
        self._levels.queue_s = limits.queue_s
        self._apply_ceiling()

    def handle_renewal(self, message, now):
        """Handles the renewal of permits by a calling node.

        :param message: dict with ``caller``, ``usage`` and ``report``.
        :param now: monotonic seconds.
        :return: dict with ``grant``, ``level``, ``routes`` and ``contended``.
        """
        caller = message["caller"]
        report = Report(*message["report"])
        self._levels.add_report(caller, report, now)
        self._totals[0] += report.completed
        self._totals[1] += report.latency_s
        self._totals[2] += report.shed
        for route_id, number in report.routes:
            self.routes.record_executions(route_id, number)
        grant = self.pool.renew(caller, decode_usage(message["usage"]), now)
        return self._make_message(caller, grant, now)

    def acknowledge(self, caller, usage, now):
        """Handles the reply of a calling node to a push.

        :param usage: encoded :class:`~figpick.permits._permits.Usage`.
        :param now: monotonic seconds.
        """
        self.pool.acknowledge(caller, decode_usage(usage), now)

    def make_pushes(self, now):
        """Returns the messages to push.

        :param now: monotonic seconds.
        :return: list of pairs of calling node and message.
        """
        messages = [
            (caller, self._make_message(caller, grant, now))
            for caller, grant in self.pool.rebalance(now)
        ]
        granted = {caller for caller, _ in messages}
        level_updates = [
            (caller, self._make_message(caller, None, now))
            for caller in self.pool.grants()
            if caller not in granted and self._has_risen_for(caller)
        ]
        return messages + level_updates

    def tick(self, level_of, members, now):
        """Updates the limit and the levels; called every 100 ms.

        :param level_of: function that returns the level, as seen by this node, for a
            service and route id.
        :param members: names of the nodes that may hold grants.
        :param now: monotonic seconds.
        """
        self.pool.confirm_members(members)
        self.pool.expire(now)
        self.pool.limit = self._limit.update(self._observe(now), now)
        self._level = round(self._levels.update(self.pool.limit, now), 4)
        self.routes.decay(now)
        self._route_levels = self.routes.levels(level_of)

    def dump(self):
        """Returns the state as a dict."""
        return {
            "limit": self.pool.limit,
            "committed": self.pool.committed,
            "level": self._level,
            "routes": self._route_levels,
            "service_ms": round(self._levels.service_s * 1000, 3),
            "offered": round(sum(self._levels.offered_rates()), 1),
            "granted": self.pool.grants(),
        }

    def _make_message(self, caller, grant, now):
        if self.pool.has_shortage:
            self._contended_until = now + CONTENDED_S
        self._sent_levels[caller] = (self._level, self._route_levels)
        return {
            "grant": None if grant is None else list(grant),
            "level": self._level,
            "routes": self._route_levels,
            "contended": now < self._contended_until,
        }

    def _has_risen_for(self, caller):
        level, routes = self._sent_levels.get(caller, (0.0, {}))
        if not level and not routes and (self._level or self._route_levels):
            return True
        if self._level > level + MIN_LEVEL_RISE:
            return True
        return any(
            max(value, self._level)
            > max(routes.get(route_id, 0.0), level) + MIN_LEVEL_RISE
            for route_id, value in self._route_levels.items()
        )

    def _observe(self, now):
        spent_s = self.downstream.pop_total_s()
        self._totals[2] = self.downstream.count_unexplained_refusals(
            self._totals[2], now
        )
        self._window.append((now, *self._totals, spent_s))
        self._totals = [0, 0.0, 0]
        while now - self._window[0][0] > WINDOW_S:
            self._window.popleft()
        completed = sum(item[1] for item in self._window)
        latency_s = sum(item[2] for item in self._window)
        downstream_s = sum(item[4] for item in self._window)
        own_s = max(0.0, latency_s - downstream_s) / completed if completed else 0.0
        if completed and self._levels.service_s < latency_s / completed:
            # Recent requests were faster than requests that started earlier.
            own_s *= self._levels.service_s * completed / latency_s
        return Observation(completed, own_s, completed / WINDOW_S, self._window[-1][3])

    def _apply_ceiling(self):
        ceiling = min(self._slots, self._connections)
        for limit in (self._slots_limit, self._connections_limit):
            if limit is not None:
                ceiling = min(ceiling, limit)
        self._limit.ceiling = ceiling
        self.pool.limit = self._limit.value


def decode_usage(fields):
    """Decodes a :class:`~figpick.permits._permits.Usage` from its JSON form."""
    *numbers, demand = fields
    return Usage(*numbers, Demand(tuple(demand[0]), demand[1], tuple(demand[2])))

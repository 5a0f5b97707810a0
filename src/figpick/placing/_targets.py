"""Chooses the host with the shortest expected time to an answer.

It answers the load of a service whose hosts differ in speed and free slots: calls
stay in their data centre while it has room, since bytes between data centres are
costly, and spill over by the wait that the owners report.
"""

from typing import NamedTuple

from ._failures import FailureShare

# Expected seconds by which a host of the same data centre may be slower than one of
# another before calls leave the data centre.
DATA_CENTER_PENALTY_S = 0.06
COLD_FACTOR = 2.0
DEFAULT_SERVICE_S = 0.05
SERVICE_WEIGHT = 0.1
# Above this use of the slots a host counts as full: its calls wait or will soon.
FULL_SHARE = 0.9
# A host with room goes before a full one, wherever it is; bytes between data centres
# cost less than work that is refused while slots are free.
FULL_PENALTY_S = 0.25
# Cost of an attempt that fails: the time until it shows and the second attempt.
FAILURE_COST_S = 0.5


class Load(NamedTuple):
    """What an owner reports with each answer.

    :param running: calls that hold a slot.
    :param queued: calls that wait.
    :param limit: calls that may hold a slot, 0 when no upstream takes calls.
    :param inner_wait_ms: expected wait of a call of a running request.
    :param entry_wait_ms: expected wait of a request that starts at the service.
    :param failure_percent: share of the recent answers of the upstream that were
        failures of its own.
    """

    running: int
    queued: int
    limit: int
    inner_wait_ms: int = 0
    entry_wait_ms: int = 0
    failure_percent: int = 0


class Target:
    """One host of a service, as a calling node knows it.

    :param name: name of the host's node.
    :param is_same_data_center: whether it is in the data centre of the calling node.
    """

    __slots__ = (
        "name",
        "is_same_data_center",
        "load",
        "sent_since_report",
        "_service_s",
        "cold_until",
        "_failures",
        "_reported_failures",
    )

    def __init__(self, name, is_same_data_center):
        self.name = name
        self.is_same_data_center = is_same_data_center
        self.load = None
        # Calls sent since the last report, which cannot include them.
        self.sent_since_report = 0
        # By route: those of one service may take ten times as long as others.
        self._service_s = {}
        self.cold_until = 0.0
        self._failures = FailureShare()
        self._reported_failures = FailureShare()

    def __repr__(self):
        return f"<Target {self.name} {self.load}>"

    def update_load(self, load, now):
        """Takes a newer report of the owner.

        :param load: :class:`Load`.
        :param now: monotonic seconds.
        """
        self.load = load
        self.sent_since_report = 0
        self._reported_failures.replace(load.failure_percent / 100, now)

    def expected_service_s(self, route):
        """Usual seconds that the upstream works on a call.

        :param route: name of the route.
        """
        return self._service_s.get(route, DEFAULT_SERVICE_S)

    def record_success(self, route, seconds, now):
        """Notes how long an upstream worked on a call that it served.

        :param route: name of the route.
        :param now: monotonic seconds.
        """
        known_s = self._service_s.get(route, seconds)
        self._service_s[route] = known_s + SERVICE_WEIGHT * (seconds - known_s)
        self._failures.record(False, now)

    def record_failure(self, now):
        """Notes an attempt without an answer of the upstream.

        :param now: monotonic seconds.
        """
        self._failures.record(True, now)

    def failure_share(self, now):
        """Share of the recent attempts that failed, here or by the owner's report."""
        return max(self._failures.value(now), self._reported_failures.value(now))

    def cost_s(self, route, is_nested, now):
        """Expected seconds to an answer, with penalties.

        :param route: name of the route.
        :param is_nested: whether the call is one of a running request.
        :param now: monotonic seconds.
        """
        service_s = self.expected_service_s(route)
        if now < self.cold_until:
            service_s *= COLD_FACTOR
        cost_s = service_s + self.failure_share(now) * FAILURE_COST_S
        load = self.load
        if load is not None and load.limit:
            wait_ms = load.inner_wait_ms if is_nested else load.entry_wait_ms
            cost_s += wait_ms / 1000
            used = (load.running + self.sent_since_report) / load.limit
            cost_s += service_s * used
            if used >= FULL_SHARE:
                cost_s += FULL_PENALTY_S
        else:
            cost_s += service_s * 0.02 * self.sent_since_report
        if not self.is_same_data_center:
            cost_s += DATA_CENTER_PENALTY_S
        return cost_s


def choose(targets, route, is_nested, now):
    """Chooses among the hosts that can be reached.

    :param targets: list of :class:`Target`.
    :param route: name of the route.
    :param is_nested: whether the call is one of a running request.
    :param now: monotonic seconds.
    :return: the target with the least cost, or ``None`` without targets.
    """
    return min(
        targets, key=lambda target: target.cost_s(route, is_nested, now), default=None
    )

"""Selects the host with the shortest expected time to a response.

This handles a service whose hosts differ in speed and free slots. Calls stay in their
data centre while it has free capacity, since traffic between data centres is costly.
The waits that the owners report decide when calls go to other data centres.
"""

from typing import NamedTuple

from ._failures import FailureShare

# Expected seconds by which a host of the same data centre may be slower than a host of
# another one before calls leave the data centre.
DATA_CENTER_PENALTY_S = 0.06
# A response has its full value until the target of its request, so a request leaves the
# data centre only to gain a larger part of that time.
DATA_CENTER_TARGET_SHARE = 0.15
COLD_FACTOR = 2.0
DEFAULT_SERVICE_S = 0.05
SERVICE_TIME_WEIGHT = 0.1
# A host that was slow once is avoided, so no response shows when it is no longer slow.
# Without responses, what its service time exceeds that of the fastest host by halves in
# this time.
SERVICE_TIME_HALF_LIFE_S = 1.0
# Share of used slots from which a host counts as full: its calls wait or soon will.
FULL_SHARE = 0.9
# A host with free capacity is preferred to a full one in any data centre: traffic
# between data centres costs less than calls that are refused while slots are free.
FULL_PENALTY_S = 0.25
# Cost of a failed attempt: the time until the failure is seen, and a second attempt.
FAILURE_COST_S = 0.5
# A host that does not respond gets calls only if all hosts of the service do not.
SUSPECTED_PENALTY_S = 10.0


class Load(NamedTuple):
    """Load of a host, which its owner reports with each response.

    :param running: number of calls that hold a slot.
    :param queued: number of waiting calls.
    :param limit: number of calls that may hold a slot, 0 if no upstream accepts calls.
    :param inner_wait_ms: expected wait of a nested call in milliseconds.
    :param entry_wait_ms: expected wait of an entry request in milliseconds.
    :param failure_percent: percentage of the upstream's recent responses that were
        failures of its own.
    :param rate_limit: calls per second that the upstream takes, 0 without a limit.
    :param rate_wait_ms: time for which this limit delays a further call, in
        milliseconds.
    """

    running: int
    queued: int
    limit: int
    inner_wait_ms: int = 0
    entry_wait_ms: int = 0
    failure_percent: int = 0
    rate_limit: float = 0.0
    rate_wait_ms: int = 0


class Target:
    """A host of a service, as seen by a calling node.

    :param name: name of the host's node.
    :param is_same_data_center: whether the host is in the data centre of the
        calling node.
    """

    __slots__ = (
        "name",
        "is_same_data_center",
        "load",
        "_reported_at",
        "sent_since_report",
        "_service_times_s",
        "_served_at",
        "_streaming_times_s",
        "cold_until",
        "is_suspected",
        "_failures",
        "_reported_failures",
    )

    def __init__(self, name, is_same_data_center):
        self.name = name
        self.is_same_data_center = is_same_data_center
        self.load = None
        self._reported_at = 0.0
        # Calls sent since the last load report, which cannot include them.
        self.sent_since_report = 0
        # By route: some routes of a service take ten times as long as others.
        self._service_times_s = {}
        self._served_at = {}
        # Only used to tell whether a response ends in time.
        self._streaming_times_s = {}
        self.cold_until = 0.0
        # Whether the host has not responded to a probe.
        self.is_suspected = False
        self._failures = FailureShare()
        self._reported_failures = FailureShare()

    def __repr__(self):
        return f"<Target {self.name} {self.load}>"

    def update_load(self, load, now):
        """Updates the load from a newer report of the owner.

        :param load: :class:`Load`.
        :param now: monotonic seconds.
        """
        self.load = load
        self._reported_at = now
        self.sent_since_report = 0
        self._reported_failures.replace(load.failure_percent / 100, now)

    def expected_service_s(self, route):
        """Returns the typical seconds that the upstream works on a call.

        :param route: name of the route.
        """
        return self._service_times_s.get(route, DEFAULT_SERVICE_S)

    def expected_response_s(self, route):
        """Returns the typical seconds until a response is complete, also if streamed.

        :param route: name of the route.
        """
        return max(
            self.expected_service_s(route), self._streaming_times_s.get(route, 0.0)
        )

    def record_stream(self, route, seconds):
        """Records the time from sending a call to the end of its streamed response.

        :param route: name of the route.
        """
        average_s = self._streaming_times_s.get(route, seconds)
        self._streaming_times_s[route] = average_s + SERVICE_TIME_WEIGHT * (
            seconds - average_s
        )

    def _aged_service_s(self, route, fastest_s, now):
        """Returns the service time to expect after a time without a response.

        :param fastest_s: service time of the fastest host.
        """
        service_s = self._service_times_s.get(route)
        if service_s is None:
            return DEFAULT_SERVICE_S
        if service_s <= fastest_s:
            return service_s
        age_s = now - self._served_at[route]
        fading = 0.5 ** (age_s / SERVICE_TIME_HALF_LIFE_S)
        return fastest_s + (service_s - fastest_s) * fading

    def record_success(self, route, seconds, now):
        """Records how long the upstream worked on a call that it served.

        :param route: name of the route.
        :param seconds: time that the upstream worked on the call.
        :param now: monotonic seconds.
        """
        average_s = self._service_times_s.get(route, seconds)
        self._service_times_s[route] = average_s + SERVICE_TIME_WEIGHT * (
            seconds - average_s
        )
        self._served_at[route] = now
        self._failures.record(False, now)

    def record_failure(self, now):
        """Records an attempt to which the upstream did not respond.

        :param now: monotonic seconds.
        """
        self._failures.record(True, now)

    def failure_share(self, now):
        """Returns the larger of the observed and the reported share of failures.

        :param now: monotonic seconds.
        """
        return max(self._failures.value(now), self._reported_failures.value(now))

    def _rate_wait_s(self, now):
        """Returns the wait for the rate limit, less the time since it was reported."""
        load = self.load
        sent_s = self.sent_since_report / load.rate_limit
        age_s = now - self._reported_at
        return max(0.0, load.rate_wait_ms / 1000 + sent_s - age_s)

    def cost_s(self, route, is_nested, fastest_s, penalty_s, now):
        """Returns the expected seconds to a response, with penalties.

        :param route: name of the route.
        :param is_nested: whether the call is a nested call.
        :param fastest_s: service time of the fastest host of the service.
        :param penalty_s: penalty of another data centre, in seconds.
        :param now: monotonic seconds.
        """
        service_s = self._aged_service_s(route, fastest_s, now)
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
            if load.rate_limit:
                cost_s += self._rate_wait_s(now)
        else:
            cost_s += service_s * 0.02 * self.sent_since_report
        if not self.is_same_data_center:
            cost_s += penalty_s
        if self.is_suspected:
            cost_s += SUSPECTED_PENALTY_S
        return cost_s


def choose(targets, route, is_nested, now, target_s=0.0):
    """Selects one of the reachable hosts.

    :param targets: list of :class:`Target`.
    :param route: name of the route.
    :param is_nested: whether the call is a nested call.
    :param now: monotonic seconds.
    :param target_s: seconds within which the response to an entry request has its full
        value.
    :return: the target with the lowest cost, or ``None`` if there are no targets.
    """
    if not targets:
        return None
    fastest_s = min(target.expected_service_s(route) for target in targets)
    penalty_s = DATA_CENTER_PENALTY_S
    if not is_nested:
        penalty_s = max(penalty_s, DATA_CENTER_TARGET_SHARE * target_s)
    return min(
        targets,
        key=lambda target: target.cost_s(route, is_nested, fastest_s, penalty_s, now),
    )

"""Admits requests at the entry and assigns the rank and key of their calls."""

from zlib import crc32

from ..admission import EntryThrottle
from ._executions import ID_SEPARATOR
from ._nested_call_detector import NestedCallDetector

# Longest wait of a client that sends no deadline.
DEFAULT_DEADLINE_S = 30.0
MAX_DEADLINE_S = 600.0
# A response that is about to arrive is worth a short wait beyond the route's timeout.
TIMEOUT_GRACE_S = 0.15
# The response must reach the client before the client gives up at its deadline.
DEADLINE_MARGIN_S = 0.04
MIN_RETRY_AFTER_S = 0.2
# A client refused because the called services lack free capacity should retry within
# the target of its route, but not at once: capacity is freed by calls that end, and an
# early retry does not free any.
RETRY_TARGET_SHARE = 0.35
# A request whose deadline is below this share of the longest one on its route counts as
# a retry after a refusal. Its key is reduced, so that it precedes most new requests,
# whose clients still have time to retry.
RETRY_DEADLINE_SHARE = 0.97
RETRY_KEY_FACTOR = 0.5
# Clients do not wait out a Retry-After above this share of their remaining time.
MAX_RETRY_AFTER_SHARE = 1 / 3
# Weight of one reported admission level in the smoothed level of a route.
LEVEL_WEIGHT = 0.2
KEY_RANGE = 1 << 32


def set_deadline(call, names, now):
    """Sets the deadline of the client of a call from its headers.

    :param names: :class:`~figpick.wire.HeaderNames`.
    :param now: monotonic seconds.
    :return: whether the deadline header is absent or a number.
    """
    value = call.request.header(names.deadline_ms)
    deadline_s = DEFAULT_DEADLINE_S
    if value is not None:
        if not value.isdigit():
            return False
        deadline_s = min(float(value) / 1000, MAX_DEADLINE_S)
    call.deadline = now + deadline_s
    return True


def set_route_deadlines(call, now):
    """Sets the response deadline and the target time of a call from its route.

    :param now: monotonic seconds.
    """
    route = call.route
    call.respond_by = call.deadline - DEADLINE_MARGIN_S
    if route.timeout_s is not None:
        limit = now + route.timeout_s + TIMEOUT_GRACE_S
        call.respond_by = min(call.respond_by, limit)
    call.target_at = call.respond_by
    if route.target_s is not None:
        call.target_at = min(call.respond_by, now + route.target_s)


def jittered_retry_after_s(expected_wait_s, remaining_s, jitter):
    """Returns the seconds after which a refused client may retry.

    The jitter keeps clients that are refused together from retrying together.

    :param expected_wait_s: seconds until capacity is expected to be free.
    :param remaining_s: seconds until the deadline of the client.
    :param jitter: random number in [0, 1).
    """
    wait_s = max(MIN_RETRY_AFTER_S, expected_wait_s) * (1.0 + jitter)
    return min(wait_s, max(0.0, remaining_s) * MAX_RETRY_AFTER_SHARE)


class EntryPolicy:
    """Decides on the admission of the requests at one node.

    :param running_requests: :class:`~figpick.nodes._executions.RunningRequests` of the
        upstream on this host.
    """

    def __init__(self, running_requests):
        self._running_requests = running_requests
        self._nested_call_detector = NestedCallDetector()
        self._throttles = {}
        self._levels = {}
        self._longest_deadline_s = {}

    def __repr__(self):
        return f"<EntryPolicy {self.admitted_shares()}>"

    def admitted_shares(self):
        """Returns the share of admitted requests by route, where it is below 1."""
        return {
            name: round(throttle.share, 3)
            for name, throttle in self._throttles.items()
            if throttle.share < 1.0
        }

    def classify(self, call):
        """Sets rank and key of a call and, if it is nested, its parent request."""
        route = call.route
        call.key = self._key(call)
        parent = self._running_requests.find_parent(call.request_id, call.deadline)
        self._nested_call_detector.record_request(
            route.name, parent.call.route if parent else None
        )
        if self._running_requests.has_derived_ids:
            is_nested = parent is not None or ID_SEPARATOR in call.request_id
        else:
            is_nested = self._nested_call_detector.is_nested(
                route.name, parent is not None
            )
        if not is_nested:
            call.rank = 2 * route.priority + 1
            return
        if self._running_requests.has_derived_ids:
            call.nested_by = "id"
        else:
            call.nested_by = "deadline" if parent is not None else "route"
        if parent is None and not self._running_requests.has_derived_ids:
            parent = self._running_requests.find_oldest(
                self._nested_call_detector.parent_routes(route.name)
            )
        call.is_nested = True
        call.parent = parent
        # Its own target does not matter, since a running request needs the response.
        call.target_at = call.respond_by
        if parent is None:
            call.rank = 2 * route.priority
        else:
            # A nested call has the priority and key of the request that waits for it.
            call.rank = parent.call.rank // 2 * 2
            call.key = parent.call.key
            call.is_retry = parent.call.is_retry

    def admits(self, call, now):
        """Returns whether the called services have free capacity for a request.

        :param now: monotonic seconds.
        """
        throttle = self._throttles.get(call.route.name)
        return throttle is None or throttle.admits(call.key, now)

    def admitted_share(self, route):
        """Returns the share of the requests of a route that are admitted.

        :param route: :class:`~figpick.configuration.Route` or ``None``.
        """
        throttle = route and self._throttles.get(route.name)
        return round(throttle.share, 2) if throttle else 1.0

    def level(self, route):
        """Returns the smoothed admission level that calls on a route met."""
        return self._levels.get(route.name, 1.0)

    def record_response_level(self, call, level):
        """Records the admission level that a response reports."""
        self.record_level(call.route, level)
        if call.parent is not None:
            call.parent.add_child_level(level)
        elif not call.is_nested:
            name = call.route.name
            throttle = self._throttles.get(name)
            if throttle is None:
                throttle = self._throttles[name] = EntryThrottle()
            throttle.observe(level)

    def record_level(self, route, level):
        """Records the admission level that a call on a route met."""
        known = self._levels.get(route.name, 1.0)
        self._levels[route.name] = known + LEVEL_WEIGHT * (level - known)

    def _key(self, call):
        key = crc32(call.request_id) / KEY_RANGE
        # A client that retries has less time left than others on the route.
        deadline_s = call.deadline - call.started_at
        longest_deadline_s = max(
            deadline_s, self._longest_deadline_s.get(call.route.name, 0.0)
        )
        self._longest_deadline_s[call.route.name] = longest_deadline_s
        if deadline_s < RETRY_DEADLINE_SHARE * longest_deadline_s:
            key *= RETRY_KEY_FACTOR
        return key

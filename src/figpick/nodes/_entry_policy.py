"""Decides at the entry which requests are admitted, and what their calls are worth."""

from zlib import crc32

from ..admission import EntryThrottle
from ._executions import ID_SEPARATOR
from ._origins import Origins

# A client that names no deadline is kept waiting this long at most.
DEFAULT_DEADLINE_S = 30.0
MAX_DEADLINE_S = 600.0
# An answer that is about to come is worth a short wait past the time of the route.
TIMEOUT_GRACE_S = 0.15
# A client that gives up at its deadline must have the answer before.
DEADLINE_MARGIN_S = 0.04
MIN_RETRY_AFTER_S = 0.2
# Refused for want of room below, a client comes back within the target of its route,
# but not at once: the room is found by others leaving, not by asking again.
RETRY_TARGET_SHARE = 0.35
# A client that was refused before goes before most new ones, which can come back yet.
RETURNING_SHARE = 0.97
RETURNING_KEY = 0.5
# Clients follow a longer pause only in part.
MAX_RETRY_SHARE = 1 / 3
LEVEL_WEIGHT = 0.2
KEY_RANGE = 1 << 32


def set_times(call, names, now):
    """Sets deadline, target and time to answer of a call from its headers and route.

    :param names: :class:`~figpick.wire.HeaderNames`.
    :param now: monotonic seconds.
    :return: whether the deadline could be read.
    """
    value = call.request.header(names.deadline_ms)
    deadline_s = DEFAULT_DEADLINE_S
    if value is not None:
        if not value.isdigit():
            return False
        deadline_s = min(int(value) / 1000, MAX_DEADLINE_S)
    call.deadline = now + deadline_s
    route = call.route
    call.answer_by = call.deadline - DEADLINE_MARGIN_S
    if route.timeout_s is not None:
        limit = now + route.timeout_s + TIMEOUT_GRACE_S
        call.answer_by = min(call.answer_by, limit)
    call.target_at = call.answer_by
    if route.target_s is not None:
        call.target_at = min(call.answer_by, now + route.target_s)
    return True


def pause_s(hint_s, left_s, chance):
    """Gives the seconds after which a refused client may come back.

    Pauses are spread, so that clients refused together do not return together.

    :param hint_s: seconds until room is expected.
    :param left_s: seconds that the client still waits.
    :param chance: random number in [0, 1).
    """
    wait_s = max(MIN_RETRY_AFTER_S, hint_s) * (1.0 + chance)
    return min(wait_s, max(0.0, left_s) * MAX_RETRY_SHARE)


class EntryPolicy:
    """Admission of requests at one node.

    :param running: :class:`~figpick.nodes._executions.RunningRequests` of the own
        upstream.
    """

    def __init__(self, running):
        self._running = running
        self._origins = Origins()
        self._throttles = {}
        self._levels = {}
        self._longest_s = {}

    def __repr__(self):
        return f"<EntryPolicy {self.shares()}>"

    def shares(self):
        """Share of the requests that are admitted, by route, where it is below 1."""
        return {
            name: round(throttle.share, 3)
            for name, throttle in self._throttles.items()
            if throttle.share < 1.0
        }

    def classify(self, call):
        """Sets rank and key of a call, and the running request that made it."""
        route = call.route
        call.key = self._key(call)
        parent = self._running.find_parent(call.request_id, call.deadline)
        self._origins.observe(route.name, parent.call.route if parent else None)
        if self._running.has_derived_ids:
            is_inner = parent is not None or ID_SEPARATOR in call.request_id
        else:
            is_inner = self._origins.is_inner(route.name, parent is not None)
        if not is_inner:
            call.rank = 2 * route.priority + 1
            return
        if parent is None and not self._running.has_derived_ids:
            parent = self._running.find_oldest(self._origins.parents(route.name))
        call.is_inner = True
        call.parent = parent
        # Its own target says little: the request that waits needs the answer.
        call.target_at = call.answer_by
        if parent is None:
            call.rank = 2 * route.priority
        else:
            # A call is worth the request that waits for it.
            call.rank = parent.call.rank // 2 * 2
            call.key = parent.call.key
            call.is_repeat = parent.call.is_repeat

    def admits(self, call, now):
        """Whether services below have room for one more request.

        :param now: monotonic seconds.
        """
        throttle = self._throttles.get(call.route.name)
        return throttle is None or throttle.admits(call.key, now)

    def share(self, route):
        """Share of the requests of a route that are admitted.

        :param route: :class:`~figpick.configuration.Route` or ``None``.
        """
        throttle = route and self._throttles.get(route.name)
        return round(throttle.share, 2) if throttle else 1.0

    def level(self, route):
        """Smoothed admission level that calls on a route met."""
        return self._levels.get(route.name, 1.0)

    def report(self, call, level):
        """Takes the admission level that an answer brings back."""
        self.note(call.route, level)
        if call.parent is not None:
            call.parent.add_child_level(level)
        elif not call.is_inner:
            name = call.route.name
            throttle = self._throttles.get(name)
            if throttle is None:
                throttle = self._throttles[name] = EntryThrottle()
            throttle.observe(level)

    def note(self, route, level):
        """Notes the admission level that a call on a route met."""
        known = self._levels.get(route.name, 1.0)
        self._levels[route.name] = known + LEVEL_WEIGHT * (level - known)

    def _key(self, call):
        key = crc32(call.request_id) / KEY_RANGE
        # A client that comes back has less time left than others on the route.
        given_s = call.deadline - call.started_at
        longest_s = max(given_s, self._longest_s.get(call.route.name, 0.0))
        self._longest_s[call.route.name] = longest_s
        if given_s < RETURNING_SHARE * longest_s:
            key *= RETURNING_KEY
        return key

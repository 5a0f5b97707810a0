"""Upstreams of the soak that name limits and leave, and the checks of both."""

import random
import time
from bisect import bisect_left
from collections import defaultdict
from typing import NamedTuple

LIMITS_PER_S = (1.3, 4.0, 12.0, 25.0)
LIMIT_AT_S = (0.2, 2.5)
LIMIT_LONGER_S = 5.0
LEAVE_AT_S = (0.5, 4.0)
LEAVE_FOR_S = (3.0, 5.0)
# Share of the leaving upstreams whose reports say so as well.
REPORTED_SHARE = 0.3

# Times and bounds of the rules.
STABLE_S = 3.0
DRAIN_S = 2.0
WINDOW_S = 4.0
EXCESS_FACTOR = 1.5
EXCESS_REQUESTS = 5
# A node counts as told this long after it passed on a response.
TOLD_S = 0.5
# Only these excuse the node at which a request began.
EXCUSES = ("SIGTERM", "SIGKILL", "SIGSTOP", "start")


class Notice(NamedTuple):
    """When an upstream states something in its responses.

    :param at_s: start, in seconds from the start of traffic.
    :param for_s: duration in seconds.
    :param limit: requests per second, 0 if it leaves.
    :param is_reported: whether its reports say that it leaves, too.
    """

    upstream: int
    at_s: float
    for_s: float
    limit: float
    is_reported: bool


def draw_notices(seed, seconds, upstream_count):
    """Returns the notices of a run: limits of half of the upstreams, one leave.

    :param seconds: seconds in which processes are disturbed. Limits last until the
        stops that begin then have ended.
    """
    rng = random.Random(f"notices {seed}")
    until_s = seconds + LIMIT_LONGER_S
    order = rng.sample(range(upstream_count), upstream_count)
    notices = []
    for upstream in order[1 : 1 + max(1, upstream_count // 2)]:
        at_s = rng.uniform(*LIMIT_AT_S)
        limit = rng.choice(LIMITS_PER_S)
        notices.append(Notice(upstream, at_s, until_s - at_s, limit, False))
    is_reported = rng.random() < REPORTED_SHARE
    at_s, for_s = rng.uniform(*LEAVE_AT_S), rng.uniform(*LEAVE_FOR_S)
    notices.append(Notice(order[0], at_s, for_s, 0.0, is_reported))
    return notices


class NoticeChecker:
    """Records notices and arrivals, and lists violations of what they bind to.

    :param windows: list of :class:`~bench.soak_responses.Window`.
    """

    def __init__(self, windows):
        self._windows = windows
        self._limits = {}
        self._told = defaultdict(list)
        self._arrivals = defaultdict(list)

    def record_limit(self, instance, limit, named_at, ended_at):
        """Records the limit that an instance named from one time to another."""
        self._limits[instance] = limit, named_at, ended_at

    def record_told(self, node, headers):
        """Records a notice in a response that a node passed on.

        :param headers: dict of lower-case names to values.
        """
        for name in ("server-limit", "server-leaving"):
            if name in headers:
                key = name, headers["instance-id"], node
                self._told[key].append(time.time())

    def record_arrival(self, instance, request_id):
        """Records a request that an instance got."""
        self._arrivals[instance].append((time.time(), request_id))

    def list_violations(self, requests):
        """Returns a dict of fields for each violation.

        :param requests: dict of ID to :class:`~bench.soak_clients.Request`.
        """
        return [*self._list_excesses(requests), *self._list_late(requests)]

    def summary(self):
        """Returns the limits that were named and the number of leaving instances."""
        left = {instance for name, instance, _ in self._told if "leaving" in name}
        return {
            "limits": sorted(limit for limit, *_ in self._limits.values()),
            "left": len(left),
        }

    def _list_excesses(self, requests):
        for instance, (limit, named_at, ended_at) in self._limits.items():
            times = [
                at
                for at, request_id in self._arrivals[instance]
                if named_at + STABLE_S <= at <= ended_at
                and request_id in requests
                and self._is_told("server-limit", instance, requests[request_id], at)
            ]
            allowed = EXCESS_FACTOR * limit * WINDOW_S + EXCESS_REQUESTS
            counts = [
                (bisect_left(times, start + WINDOW_S) - index, start)
                for index, start in enumerate(times)
            ]
            count, start = max(counts, default=(0, 0.0))
            if count > allowed:
                yield {
                    "rule": "LIMIT",
                    "text": "more requests in 4 s than the limit allows",
                    "instance": instance,
                    "limit": limit,
                    "requests": count,
                    "from": round(start, 3),
                }

    def _list_late(self, requests):
        for (name, instance, node), times in self._told.items():
            if name != "server-leaving":
                continue
            for at, request_id in self._arrivals[instance]:
                request = requests.get(request_id)
                if request is None or request.node != node:
                    continue
                told_at = self._first_bound(node, times, at)
                if told_at is not None and request.sent_at > told_at + DRAIN_S:
                    yield {
                        "rule": "DRAIN",
                        "text": "request at an upstream that had said that it leaves",
                        "instance": instance,
                        "id": request_id,
                        "node": node,
                        "told": round(told_at, 3),
                        "sent": round(request.sent_at, 3),
                    }

    def _is_told(self, name, instance, request, at):
        times = self._told.get((name, instance, request.node), [])
        index = bisect_left(times, at - TOLD_S)
        return index > 0 and not self._is_excused(request.node, times[index - 1], at)

    def _first_bound(self, node, times, at):
        """Returns when a node was first told without a restart or freeze since."""
        for told_at in times:
            if told_at <= at and not self._is_excused(node, told_at, at):
                return told_at
        return None

    def _is_excused(self, node, since, until):
        return any(
            window.node == node
            and window.kind in EXCUSES
            and window.started_at <= until
            and window.ended_at >= since
            for window in self._windows
        )

"""Upstreams of the soak that announce their end, and what happens right after."""

import random
import time
from typing import NamedTuple

from bench.soak_endpoints import send_request

DEPARTING_SHARE = 0.6
LOSS_SHARE = 0.6
SAME_IDENTITY_SHARE = 0.5
AT_S = (1.0, 5.0)
LOSS_AFTER_S = (0.0, 0.4)
DOWN_FOR_S = (0.0, 1.0)
LATE_BY_S = (0.2, 3.0)
SERVES_ON_S = (7.0, 9.0)
ACKNOWLEDGEMENT_TIMEOUT_S = 1.0

# Times of the rules.
STABLE_S = 3.0
DRAIN_S = 2.0
SLACK_S = 0.5


class Departure(NamedTuple):
    """When an upstream announces its end to its node, and how.

    :param at_s: start, in seconds from the start of traffic.
    :param is_deleted: whether it sends DELETE in place of a draining heartbeat.
    :param loss_after_s: seconds after which all processes are killed, negative if not.
    :param down_for_s: seconds for which they are down.
    :param late_by_s: seconds after which an earlier heartbeat arrives.
    :param serves_on_s: seconds for which it serves after that.
    :param keeps_identity: whether it starts again under its identity.
    """

    upstream: int
    at_s: float
    is_deleted: bool
    loss_after_s: float
    down_for_s: float
    late_by_s: float
    serves_on_s: float
    keeps_identity: bool


def draw_departure(seed, upstreams):
    """Returns the departure of a run, or ``None``.

    :param upstreams: numbers of the upstreams of which one may depart.
    """
    rng = random.Random(f"departures {seed}")
    if rng.random() > DEPARTING_SHARE:
        return None
    loss_after_s = rng.uniform(*LOSS_AFTER_S) if rng.random() < LOSS_SHARE else -1.0
    return Departure(
        rng.choice(upstreams),
        round(rng.uniform(*AT_S), 2),
        rng.random() < 0.5,
        round(loss_after_s, 2),
        round(rng.uniform(*DOWN_FOR_S), 2),
        round(rng.uniform(*LATE_BY_S), 2),
        round(rng.uniform(*SERVES_ON_S), 2),
        rng.random() < SAME_IDENTITY_SHARE,
    )


async def announce_end(address, instance, report, is_deleted):
    """Announces the end of an upstream.

    :param address: control address of its node.
    :param report: its next heartbeat, as a dict.
    :return: whether it was acknowledged.
    """
    method, value = "DELETE", None
    if not is_deleted:
        method, value = "PUT", {**report, "state": "draining"}
    path = f"/instances/{instance}"
    status, _ = await send_request(
        method, address, path, value, ACKNOWLEDGEMENT_TIMEOUT_S
    )
    return status == 200


class DepartureChecker:
    """Records acknowledged ends and later requests, and lists violations.

    :param windows: list of :class:`~bench.soak_responses.Window`.
    """

    def __init__(self, windows):
        self._windows = windows
        self._bound_at = {}
        self._arrivals = []

    def record_acknowledged(self, incarnation):
        """Records that the end of an incarnation is acknowledged now."""
        self._bound_at[incarnation] = time.time() + DRAIN_S

    def record_loss(self, incarnation):
        """Records that all processes were killed after that and run again now."""
        until = time.time() + 2 * STABLE_S
        self._bound_at[incarnation] = max(self._bound_at[incarnation], until)

    def record_arrival(self, incarnation, request_id):
        """Records a request that an incarnation got."""
        if incarnation in self._bound_at:
            self._arrivals.append((incarnation, time.time(), request_id))

    def list_violations(self, requests):
        """Returns a dict of fields for each violation.

        :param requests: dict of ID to :class:`~bench.soak_clients.Request`.
        """
        return [
            {
                "rule": "DRAIN",
                "text": "request at an upstream whose end was acknowledged",
                "instance": incarnation,
                "id": request_id,
                "at": round(at, 3),
            }
            for incarnation, at, request_id in self._arrivals
            if at > self._bound_at[incarnation] + SLACK_S
            and request_id in requests
            and not self._is_disturbed(requests[request_id], at)
        ]

    def summary(self):
        """Returns the number of acknowledged ends."""
        return {"ends": len(self._bound_at)}

    def _is_disturbed(self, request, at):
        return any(
            window.node in (request.node, None)
            and window.started_at <= at
            and window.ended_at >= request.sent_at - STABLE_S
            for window in self._windows
        )

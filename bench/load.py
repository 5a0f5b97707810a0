"""Open-loop load from a seed, and what an ideal admission would complete."""

import asyncio
import multiprocessing
import random
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple

import msgspec

from bench import deployments
from bench.client import HttpClient
from bench.cluster import Cluster
from bench.forwarder import ForwarderCluster

# Clients wait this long, or this many times the usual time of the longest request.
PATIENCE_S = 1.5
PATIENCE_TIMES = 3
RESEND_PAUSE_S = 0.05
QUEUE_MS = 100


class Phase(NamedTuple):
    """A stretch of constant load.

    :param seconds: its length.
    :param load: root requests as a multiple of the capacity.
    """

    seconds: float
    load: float


class Arrival(NamedTuple):
    """One root request of a schedule.

    :param at_s: seconds from the start.
    :param kind: :class:`~bench.deployments.RequestKind`.
    """

    number: int
    at_s: float
    kind: deployments.RequestKind


class Outcome(NamedTuple):
    """How a root request ended.

    :param ended_s: seconds from the start.
    :param status: HTTP status of the last answer, 0 without a whole one.
    :param reason: reason that figpick gave, empty otherwise.
    :param attempts: times that the client sent it.
    """

    arrival: Arrival
    ended_s: float
    status: int
    reason: str
    attempts: int

    @property
    def good(self):
        """Whether the request completed end to end."""
        return self.status == 200


def shrunk(deployment, factor):
    """Lowers the slots of all services alike, which lowers the capacity.

    :param factor: share of the slots that is kept.
    """
    services = [_shrunk_service(spec, factor) for spec in deployment.services]
    return deployment._replace(services=services)


def _shrunk_service(spec, factor):
    slots = int(spec.slots * factor)
    limits = {**spec.document["limits"], "slots": slots}
    document = {**spec.document, "limits": limits}
    return spec._replace(document=document, slots=slots)


def usual_s(kind):
    """Gives the seconds that a request of a kind takes without load."""
    return (kind.service_ms + sum(map(_tree_total_ms, kind.calls))) / 1000


def _tree_total_ms(call):
    return call[3] + sum(map(_tree_total_ms, call[4]))


def stretched(deployment, factor):
    """Lengthens service times and waits alike, which divides the capacity.

    :param factor: multiple of the service times.
    """
    services = [_stretched_service(spec, factor) for spec in deployment.services]

    def stretch_call(call):
        service, method, path, service_ms, calls = call
        below = tuple(stretch_call(each) for each in calls)
        return service, method, path, service_ms * factor, below

    kinds = [
        kind._replace(
            service_ms=kind.service_ms * factor,
            calls=tuple(stretch_call(call) for call in kind.calls),
        )
        for kind in deployment.kinds
    ]
    return deployment._replace(kinds=kinds, services=services)


def _stretched_service(spec, factor):
    limits = {**spec.document["limits"], "queue_ms": int(QUEUE_MS * factor)}
    return spec._replace(document={**spec.document, "limits": limits})


def schedule(deployment, seed, phases):
    """Draws Poisson arrivals.

    :param phases: list of :class:`Phase`.
    :return: list of :class:`Arrival`.
    """
    source = random.Random(seed)
    capacity = deployments.capacity(deployment)
    shares = [kind.share for kind in deployment.kinds]
    arrivals = []
    begin_s = 0.0
    for phase in phases:
        at_s = begin_s
        begin_s += phase.seconds
        while (at_s := at_s + source.expovariate(capacity * phase.load)) < begin_s:
            kind = source.choices(deployment.kinds, shares)[0]
            arrivals.append(Arrival(len(arrivals), at_s, kind))
    return arrivals


def ideal_goodput(deployment, arrivals, seconds):
    """Counts the requests that an admission which knows the capacity completes.

    It fills the slots of the bottleneck with the most important requests.

    :param arrivals: root requests of a phase.
    :param seconds: length of the phase.
    """
    service = deployment.bottleneck
    spec = next(spec for spec in deployment.services if spec.name == service)
    left_s = spec.host_count * spec.slots * seconds
    completed = 0.0
    for arrival in sorted(arrivals, key=lambda each: -each.kind.importance):
        work_s = deployments.work_s(service, arrival.kind)
        share = min(1.0, left_s / work_s) if work_s else 1.0
        completed += share
        left_s -= share * work_s
    return completed


def side_by_side(measure, name, seed):
    """Runs a measurement with figpick and with plain forwarding at the same time.

    Each has its own process, since one process can't send the load of both.

    :param measure: function from cluster class, name and seed to figures.
    :return: tuple of the figures with figpick and with plain forwarding.
    """
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(2, mp_context=context) as pool:
        figpick = pool.submit(measure, Cluster, name, seed)
        baseline = pool.submit(measure, ForwarderCluster, name, seed)
        return figpick.result(), baseline.result()


class LoadRun:
    """Sends a schedule to a cluster, whatever the answers.

    :param cluster: :class:`~bench.cluster.Cluster`.
    :param deployment: :class:`~bench.deployments.Deployment`.
    :param resends: times that a client sends a failed request again.
    """

    def __init__(self, cluster, deployment, resends=0):
        self._cluster = cluster
        self._deployment = deployment
        self._resends = resends
        self._client = HttpClient()
        longest_s = max(usual_s(kind) for kind in deployment.kinds)
        self._patience_s = max(PATIENCE_S, PATIENCE_TIMES * longest_s)
        self._entries = {
            spec.name: cluster.call_addresses(spec.name) for spec in deployment.services
        }
        self.started_at = 0.0
        self.outcomes = []

    async def run(self, arrivals):
        """Sends all requests and waits for their ends.

        :return: list of :class:`Outcome`.
        """
        self.started_at = time.monotonic()
        tasks = []
        for arrival in arrivals:
            await self.sleep_until(arrival.at_s)
            tasks.append(asyncio.ensure_future(self._send(arrival)))
        await asyncio.gather(*tasks)
        self._client.close()
        return self.outcomes

    async def sleep_until(self, at_s):
        """Waits until a time of the schedule."""
        pause_s = self.started_at + at_s - time.monotonic()
        if pause_s > 0:
            await asyncio.sleep(pause_s)

    async def _send(self, arrival):
        kind = arrival.kind
        headers = _headers(arrival)
        addresses = self._entries[kind.service]
        delay_s = self._deployment.client_delay_ms / 1000
        for attempt in range(1 + self._resends):
            await asyncio.sleep(delay_s)
            address = addresses[(arrival.number + attempt) % len(addresses)]
            answer = await self._client.request(
                address, kind.method, kind.path, headers, timeout_s=self._patience_s
            )
            await asyncio.sleep(delay_s)
            if answer.status == 200:
                break
            if attempt < self._resends:
                await asyncio.sleep(RESEND_PAUSE_S)
        reason = answer.headers.get("Figpick-Reason", "")
        ended_s = time.monotonic() - self.started_at
        outcome = Outcome(arrival, ended_s, answer.status, reason, attempt + 1)
        self.outcomes.append(outcome)


def summary(outcomes):
    """Counts outcomes by kind, status and reason, to explain a figure."""
    return dict(
        Counter(
            f"{each.arrival.kind.name} {each.status} {each.reason}".strip()
            for each in outcomes
        )
    )


def _headers(arrival):
    kind = arrival.kind
    identity = f"r{arrival.number}"
    plan = {
        "prefix": "/",
        "service_ms": kind.service_ms,
        "size": kind.size,
        "calls": [_below(call, f"{identity}.{n}") for n, call in enumerate(kind.calls)],
    }
    headers = {
        "Host": kind.service,
        "X-Request": identity,
        "X-Plan": msgspec.json.encode(plan).decode(),
    }
    if not kind.idempotent:
        headers["Idempotency-Key"] = identity
    return headers


def _below(call, identity):
    service, method, path, service_ms, calls = call
    plan = {
        "prefix": "/",
        "service_ms": service_ms,
        "calls": [_below(each, f"{identity}.{n}") for n, each in enumerate(calls)],
    }
    below = {"service": service, "method": method, "path": path, "plan": plan}
    if method != "GET":
        below["headers"] = {"Idempotency-Key": identity}
    return below

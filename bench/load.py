"""Open-loop load from a seed, and the goodput of an ideal admission control."""

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

# Clients time out after CLIENT_TIMEOUT_S, or after CLIENT_TIMEOUT_FACTOR times the
# typical duration of the slowest kind of request if that is longer.
CLIENT_TIMEOUT_S = 1.5
CLIENT_TIMEOUT_FACTOR = 3
RETRY_PAUSE_S = 0.05
QUEUE_MS = 100


class Phase(NamedTuple):
    """A period of constant load.

    :param seconds: duration of the phase.
    :param load: root requests as a multiple of the capacity.
    """

    seconds: float
    load: float


class Arrival(NamedTuple):
    """A root request of a schedule.

    :param at_s: seconds from the start of the run at which it is sent.
    :param kind: :class:`~bench.deployments.RequestKind`.
    """

    number: int
    at_s: float
    kind: deployments.RequestKind


class Outcome(NamedTuple):
    """The outcome of a root request.

    :param ended_s: seconds from the start of the run.
    :param status: HTTP status of the last response, 0 if it was not complete.
    :param reason: value of ``Figpick-Reason``; empty without that header.
    :param attempts: number of attempts of the client.
    """

    arrival: Arrival
    ended_s: float
    status: int
    reason: str
    attempts: int

    @property
    def succeeded(self):
        """Whether the request completed end to end."""
        return self.status == 200


def scale_slots(deployment, factor):
    """Returns the deployment with fewer slots and so with a lower capacity.

    :param factor: factor by which the slots of each service are multiplied.
    """
    services = [_scale_service_slots(spec, factor) for spec in deployment.services]
    return deployment._replace(services=services)


def _scale_service_slots(spec, factor):
    slots = int(spec.slots * factor)
    limits = {**spec.document["limits"], "slots": slots}
    document = {**spec.document, "limits": limits}
    return spec._replace(document=document, slots=slots)


def typical_duration_s(kind):
    """Returns the seconds that a request of a kind takes without load."""
    return (kind.service_ms + sum(map(_total_duration_ms, kind.calls))) / 1000


def _total_duration_ms(call):
    return call[3] + sum(map(_total_duration_ms, call[4]))


def scale_service_times(deployment, factor):
    """Returns the deployment with longer service times and so a lower capacity.

    :param factor: factor by which service times and queue times are multiplied.
    """
    services = [_scale_queue_time(spec, factor) for spec in deployment.services]

    def scale_call(call):
        service, method, path, service_ms, calls = call
        nested_calls = tuple(scale_call(each) for each in calls)
        return service, method, path, service_ms * factor, nested_calls

    kinds = [
        kind._replace(
            service_ms=kind.service_ms * factor,
            calls=tuple(scale_call(call) for call in kind.calls),
        )
        for kind in deployment.kinds
    ]
    return deployment._replace(kinds=kinds, services=services)


def _scale_queue_time(spec, factor):
    limits = {**spec.document["limits"], "queue_ms": int(QUEUE_MS * factor)}
    return spec._replace(document={**spec.document, "limits": limits})


def generate_arrivals(deployment, seed, phases):
    """Generates Poisson arrivals.

    :param phases: list of :class:`Phase`.
    :return: list of :class:`Arrival`.
    """
    rng = random.Random(seed)
    capacity = deployments.capacity(deployment)
    shares = [kind.share for kind in deployment.kinds]
    arrivals = []
    begin_s = 0.0
    for phase in phases:
        at_s = begin_s
        begin_s += phase.seconds
        while (at_s := at_s + rng.expovariate(capacity * phase.load)) < begin_s:
            kind = rng.choices(deployment.kinds, shares)[0]
            arrivals.append(Arrival(len(arrivals), at_s, kind))
    return arrivals


def ideal_goodput(deployment, arrivals, seconds):
    """Returns the number of requests that an ideal admission control completes.

    The ideal knows the capacity and fills the slots of the bottleneck with the most
    important requests.

    :param arrivals: root requests of a phase.
    :param seconds: duration of the phase.
    """
    service = deployment.bottleneck
    spec = next(spec for spec in deployment.services if spec.name == service)
    remaining_s = spec.host_count * spec.slots * seconds
    completed = 0.0
    for arrival in sorted(arrivals, key=lambda each: -each.kind.importance):
        work_s = deployments.work_s(service, arrival.kind)
        share = min(1.0, remaining_s / work_s) if work_s else 1.0
        completed += share
        remaining_s -= share * work_s
    return completed


def measure_with_baseline(measure, name, seed):
    """Measures figpick and plain forwarding at the same time.

    Each measurement has its own process, since one process can't send the load of
    both.

    :param measure: function of a cluster class, a deployment name and a seed that
        returns figures.
    :return: tuple of the figures with figpick and with plain forwarding.
    """
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(2, mp_context=context) as pool:
        figpick = pool.submit(measure, Cluster, name, seed)
        baseline = pool.submit(measure, ForwarderCluster, name, seed)
        return figpick.result(), baseline.result()


class LoadRun:
    """Sends the requests of a schedule on time, without waiting for responses.

    :param cluster: :class:`~bench.cluster.Cluster`.
    :param deployment: :class:`~bench.deployments.Deployment`.
    :param retries: maximum number of retries of a failed request by the client.
    """

    def __init__(self, cluster, deployment, retries=0):
        self._cluster = cluster
        self._deployment = deployment
        self._retries = retries
        self._client = HttpClient()
        longest_s = max(typical_duration_s(kind) for kind in deployment.kinds)
        self._timeout_s = max(CLIENT_TIMEOUT_S, CLIENT_TIMEOUT_FACTOR * longest_s)
        self._addresses = {
            spec.name: cluster.call_addresses(spec.name) for spec in deployment.services
        }
        self.started_at = 0.0
        self.outcomes = []

    async def run(self, arrivals):
        """Sends all requests and waits until each has ended.

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
        """Sleeps until a time of the schedule.

        :param at_s: seconds from the start of the run.
        """
        pause_s = self.started_at + at_s - time.monotonic()
        if pause_s > 0:
            await asyncio.sleep(pause_s)

    async def _send(self, arrival):
        kind = arrival.kind
        headers = _headers(arrival)
        addresses = self._addresses[kind.service]
        delay_s = self._deployment.client_delay_ms / 1000
        for attempt in range(1 + self._retries):
            await asyncio.sleep(delay_s)
            address = addresses[(arrival.number + attempt) % len(addresses)]
            response = await self._client.request(
                address, kind.method, kind.path, headers, timeout_s=self._timeout_s
            )
            await asyncio.sleep(delay_s)
            if response.status == 200:
                break
            if attempt < self._retries:
                await asyncio.sleep(RETRY_PAUSE_S)
        reason = response.headers.get("Figpick-Reason", "")
        ended_s = time.monotonic() - self.started_at
        outcome = Outcome(arrival, ended_s, response.status, reason, attempt + 1)
        self.outcomes.append(outcome)


def summary(outcomes):
    """Returns the number of outcomes by kind, status and reason."""
    return dict(
        Counter(
            f"{each.arrival.kind.name} {each.status} {each.reason}".strip()
            for each in outcomes
        )
    )


def _headers(arrival):
    kind = arrival.kind
    request_id = f"r{arrival.number}"
    plan = {
        "prefix": "/",
        "service_ms": kind.service_ms,
        "size": kind.size,
        "calls": [
            _nested_call(call, f"{request_id}.{n}") for n, call in enumerate(kind.calls)
        ],
    }
    headers = {
        "Host": kind.service,
        "X-Request": request_id,
        "X-Plan": msgspec.json.encode(plan).decode(),
    }
    if not kind.idempotent:
        headers["Idempotency-Key"] = request_id
    return headers


def _nested_call(call, request_id):
    service, method, path, service_ms, calls = call
    plan = {
        "prefix": "/",
        "service_ms": service_ms,
        "calls": [
            _nested_call(each, f"{request_id}.{n}") for n, each in enumerate(calls)
        ],
    }
    nested_call = {"service": service, "method": method, "path": path, "plan": plan}
    if method != "GET":
        nested_call["headers"] = {"Idempotency-Key": request_id}
    return nested_call

"""Compares goodput at two and four times the capacity with ideal admission control."""

import asyncio
from typing import NamedTuple

from bench import deployments, load
from bench.load import LoadRun, Phase
from bench.rows import Row

# Longer service times lower the capacity of both deployments to 100 root requests per
# second, so that one machine can generate four times the capacity.
SERVICE_TIME_FACTOR = {"cascade": 6.0, "kilimo": 3.0}
# The slots are full before and after each measured phase, so that work carried
# over into the phase and out of it cancels out.
PHASES = (Phase(1.5, 1.0), Phase(5.0, 2.0), Phase(1.5, 1.0), Phase(5.0, 4.0))
# Waits of up to this time are typical while the slots are full.
TYPICAL_WAIT_S = 0.3
MIN_GOODPUT = {2.0: 0.95, 4.0: 0.9}
MIN_TOP_SHARE = 0.99
TOP_IMPORTANCE = 9


class PhaseFigures(NamedTuple):
    """Figures of a measured phase.

    :param goodput: completed requests as a share of the ideal.
    :param top: completed share of the most important requests.
    """

    load: float
    goodput: float
    top: float


async def _measure_phases(cluster_class, deployment, arrivals):
    """Sends the requests of a schedule to a cluster and measures each phase.

    :return: list of :class:`PhaseFigures`.
    """
    async with cluster_class(deployment.services) as cluster:
        outcomes = await LoadRun(cluster, deployment).run(arrivals)
    figures = []
    begin_s = 0.0
    for phase in PHASES:
        end_s = begin_s + phase.seconds
        sent = [each for each in outcomes if begin_s <= each.arrival.at_s < end_s]
        begin_s = end_s
        if phase.load > 1:
            figures.append(_figures(deployment, phase, sent, end_s))
    return figures


def _figures(deployment, phase, sent, end_s):
    arrivals = [each.arrival for each in sent]
    ideal = load.ideal_goodput(deployment, arrivals, phase.seconds)
    completed = sum(each.succeeded and _counts_for_phase(each, end_s) for each in sent)
    top = [
        each.succeeded
        for each in sent
        if each.arrival.kind.importance == TOP_IMPORTANCE
    ]
    return PhaseFigures(
        phase.load,
        round(completed / ideal, 4),
        round(sum(top) / len(top), 4),
    )


def _counts_for_phase(outcome, end_s):
    """Returns whether a completed request counts for the phase in which it was sent.

    It may end after the phase by its typical duration and a queue wait, which make up
    for the work carried over into the phase. A request that waited longer used the
    capacity of the next phase.
    """
    limit_s = end_s + load.typical_duration_s(outcome.arrival.kind) + TYPICAL_WAIT_S
    return outcome.ended_s < limit_s


def measure(cluster_class, name, seed):
    """Measures a deployment under overload.

    :return: list of :class:`PhaseFigures`.
    """
    deployment = load.scale_service_times(
        getattr(deployments, name)(), SERVICE_TIME_FACTOR[name]
    )
    arrivals = load.generate_arrivals(deployment, seed, PHASES)
    return asyncio.run(_measure_phases(cluster_class, deployment, arrivals))


def run(seeds):
    """Yields the rows of both deployments, measured with the first seed."""
    seed = seeds[0]
    for name in SERVICE_TIME_FACTOR:
        both = load.measure_with_baseline(measure, name, seed)
        for figpick, baseline in zip(*both, strict=True):
            case_prefix = f"{name} {figpick.load:.0f}x"
            yield Row(
                "overload",
                f"{case_prefix} goodput",
                seed,
                baseline.goodput,
                figpick.goodput,
                MIN_GOODPUT[figpick.load],
                "share of ideal",
                at_most=False,
            )
            yield Row(
                "overload",
                f"{case_prefix} importance {TOP_IMPORTANCE}",
                seed,
                baseline.top,
                figpick.top,
                MIN_TOP_SHARE,
                "share",
                at_most=False,
            )

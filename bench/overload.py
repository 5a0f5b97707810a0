"""Goodput at two and four times the capacity, compared with an ideal admission."""

import asyncio
from typing import NamedTuple

from bench import deployments, load
from bench.load import LoadRun, Phase
from bench.rows import Row

# Longer service times bring both deployments to 100 root requests a second, so that
# one machine carries four times the capacity.
STRETCH = {"cascade": 6.0, "kilimo": 3.0}
# The slots are full before and after each measured phase, so that work carried
# into it and out of it cancel out.
PHASES = (Phase(1.5, 1.0), Phase(5.0, 2.0), Phase(1.5, 1.0), Phase(5.0, 4.0))
# Waits up to this time are usual when the slots are full.
WAIT_S = 0.3
GOODPUT_BOUND = {2.0: 0.95, 4.0: 0.9}
TOP_BOUND = 0.99
TOP_IMPORTANCE = 9


class PhaseFigures(NamedTuple):
    """Figures of a measured phase.

    :param goodput: completed requests relative to the ideal.
    :param top: share of the most important requests that completed.
    """

    load: float
    goodput: float
    top: float


async def _send(cluster_class, deployment, arrivals):
    """Sends a schedule through a cluster.

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
    completed = sum(each.good and _in_phase(each, end_s) for each in sent)
    top = [each.good for each in sent if each.arrival.kind.importance == TOP_IMPORTANCE]
    return PhaseFigures(
        phase.load,
        round(completed / ideal, 4),
        round(sum(top) / len(top), 4),
    )


def _in_phase(outcome, end_s):
    """Whether the work can have ended in the phase, apart from what it carried in.

    A request that waited into the next phase used the capacity of that one.
    """
    limit_s = end_s + load.usual_s(outcome.arrival.kind) + WAIT_S
    return outcome.ended_s < limit_s


def measure(cluster_class, name, seed):
    """Measures a deployment.

    :return: list of :class:`PhaseFigures`.
    """
    deployment = load.stretched(getattr(deployments, name)(), STRETCH[name])
    arrivals = load.schedule(deployment, seed, PHASES)
    return asyncio.run(_send(cluster_class, deployment, arrivals))


def run(seeds):
    """Runs both deployments, each with the first seed."""
    seed = seeds[0]
    for name in STRETCH:
        both = load.side_by_side(measure, name, seed)
        for figpick, baseline in zip(*both, strict=True):
            times = f"{name} {figpick.load:.0f}x"
            yield Row(
                "overload",
                f"{times} goodput",
                seed,
                baseline.goodput,
                figpick.goodput,
                GOODPUT_BOUND[figpick.load],
                "share of ideal",
                at_most=False,
            )
            yield Row(
                "overload",
                f"{times} importance {TOP_IMPORTANCE}",
                seed,
                baseline.top,
                figpick.top,
                TOP_BOUND,
                "share",
                at_most=False,
            )

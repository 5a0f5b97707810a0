"""Measures the time until goodput recovers from a slow service and a retry storm.

The bottleneck service is ten times slower for 10 s while load doubles and clients
retry failed requests without backoff.
"""

import asyncio

from bench import deployments, load
from bench.load import LoadRun, Phase
from bench.rows import Row

# A slowed request that is running when the trigger ends holds its slot for up to ten
# more service times, so service times are shorter than in the overload experiment.
SERVICE_TIME_FACTOR = {"cascade": 2.0, "kilimo": 1.0}
SLOT_FACTOR = 0.5
MAX_RECOVERY_S = {"cascade": 2.0, "kilimo": 1.0}
NORMAL_LOAD = 0.7
SURGE_LOAD = 1.4
SLOW_FACTOR = b"10"
BEFORE_S = 1.0
TRIGGER_S = 10.0
AFTER_S = 2.5
PHASES = (
    Phase(BEFORE_S, NORMAL_LOAD),
    Phase(TRIGGER_S, SURGE_LOAD),
    Phase(AFTER_S, NORMAL_LOAD),
)
RETRIES = 5
WINDOW_S = 0.5
STEP_S = 0.1
NORMAL_SHARE = 0.95


def recovery_s(outcomes):
    """Returns the seconds from the end of the trigger until goodput is normal.

    Goodput is the completed share of the requests first sent in a window of half a
    second. It must be normal in all later windows too.
    """
    end_s = BEFORE_S + TRIGGER_S
    last_s = end_s + AFTER_S - WINDOW_S
    steps = round((last_s - end_s) / STEP_S)
    recovered_s = AFTER_S
    for step in range(steps, -1, -1):
        begin_s = end_s + step * STEP_S
        succeeded = [
            each.succeeded
            for each in outcomes
            if begin_s <= each.arrival.at_s < begin_s + WINDOW_S
        ]
        if sum(succeeded) < NORMAL_SHARE * len(succeeded):
            break
        recovered_s = step * STEP_S
    return round(recovered_s, 1)


async def _measure_recovery(cluster_class, deployment, arrivals):
    """Sends the requests to a cluster and slows its bottleneck meanwhile.

    :return: seconds until goodput is normal.
    """
    async with cluster_class(deployment.services) as cluster:
        run = LoadRun(cluster, deployment, RETRIES)
        slow_task = asyncio.ensure_future(_slow_bottleneck(cluster, deployment, run))
        outcomes = await run.run(arrivals)
        await slow_task
    return recovery_s(outcomes)


async def _slow_bottleneck(cluster, deployment, run):
    hosts = [host for host in cluster.hosts if host.service == deployment.bottleneck]
    await asyncio.sleep(BEFORE_S)
    for host in hosts:
        await cluster.send_command(host, "slow", SLOW_FACTOR)
    await run.sleep_until(BEFORE_S + TRIGGER_S)
    for host in hosts:
        await cluster.send_command(host, "slow", b"1")


def make_deployment(name):
    """Returns the deployment scaled to the size of this experiment."""
    deployment = getattr(deployments, name)()
    return load.scale_service_times(
        load.scale_slots(deployment, SLOT_FACTOR), SERVICE_TIME_FACTOR[name]
    )


def measure(cluster_class, name, seed):
    """Measures the recovery of a deployment.

    :return: seconds until goodput is normal.
    """
    deployment = make_deployment(name)
    arrivals = load.generate_arrivals(deployment, seed, PHASES)
    return asyncio.run(_measure_recovery(cluster_class, deployment, arrivals))


def run(seeds):
    """Yields the rows of both deployments, measured with the first seed."""
    seed = seeds[0]
    for name, bound_s in MAX_RECOVERY_S.items():
        figpick, baseline = load.measure_with_baseline(measure, name, seed)
        case = f"{name} recovery"
        yield Row("recovery", case, seed, baseline, figpick, bound_s, "s")

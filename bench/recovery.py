"""Time until goodput is normal after a slow service in a surge of retries.

The deepest service becomes ten times slower for 10 s while load doubles and
clients send failed requests again at once.
"""

import asyncio

from bench import deployments, load
from bench.load import LoadRun, Phase
from bench.rows import Row

# A slow request that runs as the trigger ends holds its slot for up to ten service
# times more, so service times are not lengthened as far as under overload.
STRETCH = {"cascade": 2.0, "kilimo": 1.0}
SLOTS_KEPT = 0.5
BOUND_S = {"cascade": 2.0, "kilimo": 1.0}
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
RESENDS = 5
WINDOW_S = 0.5
STEP_S = 0.1
NORMAL_SHARE = 0.95


def recovery_s(outcomes):
    """Gives the seconds from the end of the trigger until goodput is normal.

    Goodput is the share of the requests first sent in a window that complete; it
    must stay normal from then on, over windows of half a second.
    """
    end_s = BEFORE_S + TRIGGER_S
    last_s = end_s + AFTER_S - WINDOW_S
    steps = round((last_s - end_s) / STEP_S)
    recovered_s = AFTER_S
    for step in range(steps, -1, -1):
        begin_s = end_s + step * STEP_S
        good = [
            each.good
            for each in outcomes
            if begin_s <= each.arrival.at_s < begin_s + WINDOW_S
        ]
        if sum(good) < NORMAL_SHARE * len(good):
            break
        recovered_s = step * STEP_S
    return round(recovered_s, 1)


async def _send(cluster_class, deployment, arrivals):
    """Runs the disturbance on a cluster.

    :return: seconds until goodput is normal.
    """
    async with cluster_class(deployment.services) as cluster:
        run = LoadRun(cluster, deployment, RESENDS)
        disturbance = asyncio.ensure_future(_disturb(cluster, deployment, run))
        outcomes = await run.run(arrivals)
        await disturbance
    return recovery_s(outcomes)


async def _disturb(cluster, deployment, run):
    hosts = [host for host in cluster.hosts if host.service == deployment.bottleneck]
    await asyncio.sleep(BEFORE_S)
    for host in hosts:
        await cluster.send_command(host, "slow", SLOW_FACTOR)
    await run.sleep_until(BEFORE_S + TRIGGER_S)
    for host in hosts:
        await cluster.send_command(host, "slow", b"1")


def scaled(name):
    """Gives the deployment in the size of this experiment."""
    deployment = getattr(deployments, name)()
    return load.stretched(load.shrunk(deployment, SLOTS_KEPT), STRETCH[name])


def measure(cluster_class, name, seed):
    """Measures a deployment.

    :return: seconds until goodput is normal.
    """
    deployment = scaled(name)
    arrivals = load.schedule(deployment, seed, PHASES)
    return asyncio.run(_send(cluster_class, deployment, arrivals))


def run(seeds):
    """Runs both deployments, each with the first seed."""
    seed = seeds[0]
    for name, bound_s in BOUND_S.items():
        figpick, baseline = load.side_by_side(measure, name, seed)
        case = f"{name} recovery"
        yield Row("recovery", case, seed, baseline, figpick, bound_s, "s")

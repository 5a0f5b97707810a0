"""Operators that change the same documents at once and resend their changes."""

import asyncio

from bench import control_cluster, schedules
from bench.schedules import Variant
from figpick.registry._registry import Registry

OPERATORS = 6


class UncheckedRegistry(Registry):
    """Relies on the check before a change enters the log."""

    def _is_conflict(self, command):
        return False


def plan(schedule):
    """Adds the faults of one schedule."""
    simulation = schedule.simulation
    random = schedule.random
    schedule.pause_s = lambda: random.uniform(0.0, 0.05)
    simulation.duplicates = 0.05

    def depose():
        leader = simulation.leader()
        if leader is not None:
            if random.random() < 0.5:
                simulation.isolate(leader.name)
            else:
                leader.crash()
        schedule.later(random.uniform(0.5, 2.0), mend)

    def mend():
        simulation.cut_links.clear()
        for process in simulation.processes.values():
            if not process.is_up:
                process.start()
        schedule.later(random.uniform(0.5, 3.0), depose)

    schedule.later(random.uniform(2.0, 4.0), depose)


async def scenario(cluster, workload):
    """Lets six operators change one document while leaders are killed."""
    workload.start(OPERATORS)
    for _ in range(2):
        await asyncio.sleep(cluster.random.uniform(0.5, 1.0))
        name = await cluster.leader()
        if name is not None:
            cluster.kill(name)
            await asyncio.sleep(1.5)
            cluster.start(name)
    await asyncio.sleep(0.5)
    await workload.stop()
    return await workload.check()


def run(seeds):
    """Runs the schedules, on pure modules and with processes.

    :param seeds: not used; the schedules have their own seeds.
    """
    variant = Variant(registry_class=UncheckedRegistry)
    yield from schedules.rows("race", plan, variant, OPERATORS)
    yield from control_cluster.rows("race", scenario)

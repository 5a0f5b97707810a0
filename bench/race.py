"""Operators that change the same documents concurrently and retry their changes."""

import asyncio

from bench import control_cluster, schedules
from bench.schedules import Variant
from figpick.registry._registry import Registry

OPERATORS = 6


class UncheckedRegistry(Registry):
    """Checks for conflicts only before a change enters the log."""

    def _is_conflict(self, command):
        return False


def plan(schedule):
    """Adds crashes and isolations of the leader to a schedule."""
    simulation = schedule.simulation
    random = schedule.random
    schedule.pause_s = lambda: random.uniform(0.0, 0.05)
    simulation.duplicate_probability = 0.05

    def disrupt_leader():
        leader = simulation.leader()
        if leader is not None:
            if random.random() < 0.5:
                simulation.isolate(leader.name)
            else:
                leader.crash()
        schedule.run_later(random.uniform(0.5, 2.0), heal)

    def heal():
        simulation.cut_links.clear()
        for process in simulation.processes.values():
            if not process.is_up:
                process.start()
        schedule.run_later(random.uniform(0.5, 3.0), disrupt_leader)

    schedule.run_later(random.uniform(2.0, 4.0), disrupt_leader)


async def scenario(cluster, workload):
    """Runs six operators that change one document while leaders are killed."""
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
    """Runs the schedules in the simulation and the scenario with real processes.

    :param seeds: not used; the schedules have their own seeds.
    """
    variant = Variant(registry_class=UncheckedRegistry)
    yield from schedules.rows("race", plan, variant, OPERATORS)
    yield from control_cluster.rows("race", scenario)

"""Operators that change the same documents at once and resend their changes."""

from bench import schedules
from bench.schedules import Variant
from figpick._registry import Registry

OPERATORS = 6


class UncheckedRegistry(Registry):
    """Relies on the check before a change enters the log."""

    def _is_conflict(self, command):
        return False


def plan(schedule):
    """Adds the faults of one schedule."""
    world = schedule.world
    random = schedule.random
    schedule.pause_s = lambda: random.uniform(0.0, 0.05)
    world.duplicates = 0.05

    def depose():
        leader = world.leader()
        if leader is not None:
            if random.random() < 0.5:
                world.isolate(leader.name)
            else:
                leader.crash()
        schedule.later(random.uniform(0.5, 2.0), mend)

    def mend():
        world.cuts.clear()
        for process in world.processes.values():
            if not process.is_up:
                process.start()
        schedule.later(random.uniform(0.5, 3.0), depose)

    schedule.later(random.uniform(2.0, 4.0), depose)


def run(seeds):
    """Runs the schedules.

    :param seeds: not used; the schedules have their own 500 seeds.
    """
    variant = Variant(registry_class=UncheckedRegistry)
    yield from schedules.rows("race", plan, variant, OPERATORS)

"""Control processes that lose power, also in the middle of a write."""

from bench import schedules
from bench.schedules import Variant

OPERATORS = 2
FIRST_FAULT_S = 2.0


def plan(schedule):
    """Adds the faults of one schedule."""
    world = schedule.world
    random = schedule.random
    schedule.pause_s = lambda: random.uniform(0.0, 0.1)

    def fail():
        process = random.choice(list(world.processes.values()))
        kind = random.choice(("crash", "crash", "write", "write", "disk", "all"))
        if kind == "all":
            for each in world.processes.values():
                each.crash()
        elif kind == "write":
            process.files.lose_power_at_write = True
        elif kind == "disk":
            process.files.fails = True
        else:
            process.crash()
        schedule.later(random.uniform(0.2, 1.5), restart)

    def restart():
        for process in world.processes.values():
            if process.is_up and process.replica.failure is not None:
                process.crash()
            if not process.is_up:
                process.start()
        schedule.later(random.uniform(0.2, 2.0), fail)

    schedule.later(FIRST_FAULT_S, fail)


def run(seeds):
    """Runs the schedules.

    :param seeds: not used; the schedules have their own 500 seeds.
    """
    yield from schedules.rows("restart", plan, Variant(syncs=False), OPERATORS)

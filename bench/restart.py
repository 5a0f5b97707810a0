"""Control processes that lose power, some of them during a write."""

import time

from bench import control_cluster, schedules
from bench.rows import Row
from bench.schedules import Variant
from figpick.base._errors import PeerError

OPERATORS = 2
CHANGE_COUNT = 500
RESTART_TIMEOUT_S = 15.0
TIMED_CASES = (
    ("slowest restart of one process after 500 changes", 2),
    ("slowest cold start of all after 500 changes", None),
)
FIRST_FAULT_S = 2.0


def plan(schedule):
    """Adds crashes, power losses during writes and full disks to a schedule."""
    simulation = schedule.simulation
    random = schedule.random
    schedule.pause_s = lambda: random.uniform(0.0, 0.1)

    def inject_fault():
        process = random.choice(list(simulation.processes.values()))
        kind = random.choice(("crash", "crash", "write", "write", "disk", "all"))
        if kind == "all":
            for each in simulation.processes.values():
                each.crash()
        elif kind == "write":
            process.files.lose_power_at_write = True
        elif kind == "disk":
            process.files.is_full = True
        else:
            process.crash()
        schedule.run_later(random.uniform(0.2, 1.5), restart)

    def restart():
        for process in simulation.processes.values():
            if process.is_up and process.replica.failure is not None:
                process.crash()
            if not process.is_up:
                process.start()
        schedule.run_later(random.uniform(0.2, 2.0), inject_fault)

    schedule.run_later(FIRST_FAULT_S, inject_fault)


async def scenario(cluster, workload):
    """Makes 500 changes, restarts one process and then all of them.

    :return: tuple of the number of violations, a list of their descriptions, and
        the seconds of both restarts.
    """
    version = 0
    name = await cluster.leader()
    for number in range(CHANGE_COUNT):
        version = await workload.change(f"c{number}", "parts", version, name)
    one_s = await _restart(cluster, [name], version)
    all_s = await _restart(cluster, cluster.names, version)
    violations, problems = await workload.check()
    return violations, problems, one_s, all_s


async def _restart(cluster, names, version):
    """Restarts processes and returns the seconds until all have applied a version."""
    for name in names:
        cluster.kill(name)
    started_at = time.monotonic()
    for name in names:
        cluster.start(name)

    async def has_applied():
        try:
            states = [await cluster.control_state(name) for name in names]
        except PeerError:
            return False
        return all(each["documents"].get("parts") == version for each in states)

    await control_cluster.wait_for(has_applied, RESTART_TIMEOUT_S, 0.02)
    return time.monotonic() - started_at


def run(seeds):
    """Runs the schedules in the simulation and the scenario with real processes.

    :param seeds: not used; the schedules have their own seeds.
    """
    yield from schedules.rows("restart", plan, Variant(syncs=False), OPERATORS)
    times = []

    async def timed_scenario(cluster, workload):
        violations, problems, *seconds = await scenario(cluster, workload)
        times.append(seconds)
        return violations, problems

    yield from control_cluster.rows("restart", timed_scenario)
    for number, (case, bound) in enumerate(TIMED_CASES):
        slowest = max(each[number] for each in times)
        yield Row("restart", case, 1, None, round(slowest, 2), bound, "s")

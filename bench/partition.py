"""Control processes under full or one-way partitions, message loss and delays."""

import asyncio

from bench import control_cluster, schedules
from bench.schedules import CompactingReplica, SmallPartsRaft, Variant, make_document

OPERATORS = 2
FIRST_FAULT_S = 2.0
PUT_TIMEOUT_S = 2.0


class UnsafeVoteRaft(SmallPartsRaft):
    """Votes for candidates whose log lacks committed entries."""

    def _is_up_to_date(self, message):
        return True


class UnsafeVoteReplica(CompactingReplica):
    raft_class = UnsafeVoteRaft


def plan(schedule):
    """Adds network partitions, loss, duplicates and delays to a schedule."""
    simulation = schedule.simulation
    random = schedule.random
    simulation.loss_probability = random.choice((0, 0, 0.02, 0.15))
    simulation.duplicate_probability = random.choice((0, 0.05))
    simulation.long_delay_probability = random.choice((0, 0, 0.05))

    def cut():
        leader = simulation.leader()
        name = random.choice(schedule.names)
        if leader is not None and random.random() < 0.5:
            name = leader.name
        kind = random.choice(("whole", "whole", "in", "out", "pair"))
        others = [other for other in schedule.names if other != name]
        if kind == "whole":
            simulation.isolate(name)
        elif kind == "pair":
            simulation.cut_link(name, others[0])
            simulation.cut_link(others[0], name)
        else:
            for other in others:
                simulation.cut_link(*((other, name) if kind == "in" else (name, other)))
        schedule.run_later(random.choice((0.3, 1.0, 3.0, 6.0)), heal)

    def heal():
        simulation.cut_links.clear()
        schedule.run_later(random.uniform(0.1, 2.0), cut)

    schedule.run_later(FIRST_FAULT_S, cut)


async def scenario(cluster, workload):
    """Isolates the leader for some seconds and then reconnects it."""
    workload.start(OPERATORS)
    await asyncio.sleep(1.0)
    name = await cluster.leader()
    cluster.isolate(name)
    await asyncio.sleep(2.5)
    refused = await asyncio.gather(
        cluster.reports_no_quorum(name, "get", {"service": "parts"}),
        cluster.reports_no_quorum(name, "put", make_change("refused")),
    )
    if not all(refused):
        workload.problems.append(f"{name} replied without a quorum")
    other = next(each for each in cluster.names if each != name)
    await cluster.send_directly(other, "put", make_change("accepted"), PUT_TIMEOUT_S)
    term = max([(await cluster.control_state(each))["term"] for each in cluster.names])
    cluster.heal()
    await asyncio.sleep(1.5)
    await workload.stop()
    if (await cluster.control_state(name))["term"] != term:
        workload.problems.append(f"{name} forced an election when it was reconnected")
    return await workload.check()


def make_change(change):
    """Returns a change that adds a document."""
    return {"document": make_document("scans", 1), "base": 0, "change": change}


def run(seeds):
    """Runs the schedules in the simulation and the scenario with real processes.

    :param seeds: not used; the schedules have their own seeds.
    """
    yield from schedules.rows(
        "partition", plan, Variant(replica_class=UnsafeVoteReplica), OPERATORS
    )
    yield from control_cluster.rows("partition", scenario)

"""A control host is replaced, and a second one fails right after."""

import asyncio

from bench import control_cluster, schedules
from bench.schedules import Variant, make_document
from figpick.consensus._consensus_messages import Membership
from figpick.consensus._formation import name_of

OPERATORS = 2
STEP_S = 0.05
PUT_TIMEOUT_S = 2.0


class Repair:
    """Performs the steps of an operator who replaces a host."""

    def __init__(self, schedule, name):
        self._schedule = schedule
        self._simulation = schedule.simulation
        self._name = name
        self._process = self._simulation.processes[name]

    def start(self):
        """Crashes the host, which loses its disk, and starts a replacement."""
        self._process.crash()
        self._schedule.run_later(
            self._schedule.random.uniform(0.1, 1.0), self._start_replacement
        )

    def _start_replacement(self):
        self._process.replace_disk(self._schedule.new_identity(self._name))
        self._process.start()
        if self._schedule.variant.keeps_identity:
            self._fail_second_host()
        else:
            self._advance()

    def _advance(self):
        """Sends the next change to the leader until the replacement is a voter."""
        leader = self._simulation.leader()
        identity = self._process.files and self._process.replica.identity
        if leader is not None and leader is not self._process:
            members = leader.replica.raft.members
            if identity in members.voters and not self._has_pending_change(leader):
                self._fail_second_host()
                return
            change = self._next_membership(leader, members, identity)
            if change is not None:
                function = leader.replica.change_members
                leader.call(function, change, lambda *_: None, leader.now())
        self._schedule.run_later(STEP_S, self._advance)

    def _has_pending_change(self, leader):
        raft = leader.replica.raft
        return raft.log.members_index > raft.commit_index

    def _next_membership(self, leader, members, identity):
        voters, learners = dict(members.voters), dict(members.learners)
        for other in (*voters, *learners):
            if name_of(other) == self._name and other != identity:
                voters.pop(other, None)
                learners.pop(other, None)
                return Membership(voters, learners)
        if identity not in learners:
            return Membership(voters, {**learners, identity: self._name})
        progress = leader.replica.raft.progress.get(identity)
        if progress is None or progress.match < leader.replica.raft.commit_index:
            return None
        learners.pop(identity)
        return Membership({**voters, identity: self._name}, learners)

    def _fail_second_host(self):
        others = [name for name in self._schedule.names if name != self._name]
        name = self._schedule.random.choice(others)
        process = self._simulation.processes[name]
        if self._schedule.random.random() < 0.5:
            process.crash()
        else:
            self._simulation.isolate(name)
        self._schedule.run_later(
            self._schedule.random.uniform(1.0, 4.0), self._heal, process
        )

    def _heal(self, process):
        self._simulation.cut_links.clear()
        if not process.is_up:
            process.start()


def plan(schedule):
    """Adds the replacement of a host to a schedule.

    In half of the schedules another host is isolated for 0.5 s until the first one
    fails, so that only the leader has the last changes. In some schedules the
    leader is isolated during the membership change.
    """
    random = schedule.random
    name, isolated = random.sample(schedule.names, 2)
    failure_at = random.uniform(2.5, 4.0)
    if random.random() < 0.5:
        schedule.run_later(failure_at - 0.5, schedule.simulation.isolate, isolated)
        schedule.run_later(failure_at, schedule.simulation.cut_links.clear)
    schedule.run_later(failure_at, Repair(schedule, name).start)
    if random.random() < 0.3:
        schedule.run_later(
            failure_at + random.uniform(0.3, 1.5), _isolate_leader, schedule
        )


def _isolate_leader(schedule):
    leader = schedule.simulation.leader()
    if leader is not None:
        schedule.simulation.isolate(leader.name)
        schedule.run_later(1.5, schedule.simulation.cut_links.clear)


async def scenario(cluster, workload):
    """Replaces a host and its disk and kills a second host right after."""
    workload.start(OPERATORS)
    await asyncio.sleep(1.0)
    name, second, third = cluster.random.sample(cluster.names, 3)
    cluster.kill(name)
    cluster.erase_disk(name)
    cluster.start(name)
    address = cluster.relay_address(name)
    await cluster.change_members(third, {"action": "remove", "name": name})
    message = {"action": "add", "name": name, "address": address}
    await cluster.change_members(third, message)
    cluster.kill(second)
    await asyncio.sleep(2.5)
    change = {"document": make_document("scans", 1), "base": 0, "change": "after"}
    await cluster.send_directly(name, "put", change, PUT_TIMEOUT_S)
    await workload.stop()
    outcome = await workload.check()
    cluster.start(second)
    return outcome


def run(seeds):
    """Runs the schedules in the simulation and the scenario with real processes.

    :param seeds: not used; the schedules have their own seeds.
    """
    variant = Variant(keeps_identity=True)
    yield from schedules.rows("repair", plan, variant, OPERATORS)
    yield from control_cluster.rows("repair", scenario)

"""A control host is replaced, and a second one is lost right after."""

import asyncio

from bench import control_cluster, schedules
from bench.schedules import Variant, make_document
from figpick.consensus._consensus_messages import Membership
from figpick.consensus._formation import name_of

OPERATORS = 2
STEP_S = 0.05
PUT_TIMEOUT_S = 2.0


class Repair:
    """The steps of an operator who replaces a host."""

    def __init__(self, schedule, name):
        self._schedule = schedule
        self._simulation = schedule.simulation
        self._name = name
        self._process = self._simulation.processes[name]

    def begin(self):
        """Loses the host with its disk and starts a new one."""
        self._process.crash()
        self._schedule.later(self._schedule.random.uniform(0.1, 1.0), self._start)

    def _start(self):
        self._process.replace_disk(self._schedule.new_identity(self._name))
        self._process.start()
        if self._schedule.variant.keeps_identity:
            self._lose_second()
        else:
            self._step()

    def _step(self):
        """Takes the next step at the leader, until the new host votes."""
        leader = self._simulation.leader()
        identity = self._process.files and self._process.replica.identity
        if leader is not None and leader is not self._process:
            members = leader.replica.raft.members
            if identity in members.voters and not self._pending(leader):
                self._lose_second()
                return
            change = self._next(leader, members, identity)
            if change is not None:
                function = leader.replica.change_members
                leader.call(function, change, lambda *_: None, leader.now())
        self._schedule.later(STEP_S, self._step)

    def _pending(self, leader):
        raft = leader.replica.raft
        return raft.log.members_index > raft.commit

    def _next(self, leader, members, identity):
        voters, learners = dict(members.voters), dict(members.learners)
        for other in (*voters, *learners):
            if name_of(other) == self._name and other != identity:
                voters.pop(other, None)
                learners.pop(other, None)
                return Membership(voters, learners)
        if identity not in learners:
            return Membership(voters, {**learners, identity: self._name})
        progress = leader.replica.raft.progress.get(identity)
        if progress is None or progress.match < leader.replica.raft.commit:
            return None
        learners.pop(identity)
        return Membership({**voters, identity: self._name}, learners)

    def _lose_second(self):
        others = [name for name in self._schedule.names if name != self._name]
        name = self._schedule.random.choice(others)
        process = self._simulation.processes[name]
        if self._schedule.random.random() < 0.5:
            process.crash()
        else:
            self._simulation.isolate(name)
        self._schedule.later(
            self._schedule.random.uniform(1.0, 4.0), self._mend, process
        )

    def _mend(self, process):
        self._simulation.cut_links.clear()
        if not process.is_up:
            process.start()


def plan(schedule):
    """Adds the faults of one schedule.

    In half of the schedules another host was cut off until the first one is
    lost, so that only the leader has the last changes. In some the leader is cut
    off while the membership changes.
    """
    random = schedule.random
    name, cut_off = random.sample(schedule.names, 2)
    lost_at = random.uniform(2.5, 4.0)
    if random.random() < 0.5:
        schedule.later(lost_at - 0.5, schedule.simulation.isolate, cut_off)
        schedule.later(lost_at, schedule.simulation.cut_links.clear)
    schedule.later(lost_at, Repair(schedule, name).begin)
    if random.random() < 0.3:
        schedule.later(lost_at + random.uniform(0.3, 1.5), _cut_leader, schedule)


def _cut_leader(schedule):
    leader = schedule.simulation.leader()
    if leader is not None:
        schedule.simulation.isolate(leader.name)
        schedule.later(1.5, schedule.simulation.cut_links.clear)


async def scenario(cluster, workload):
    """Replaces a host with its disk and kills a second one right after."""
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
    await cluster.ask(name, "put", change, PUT_TIMEOUT_S)
    await workload.stop()
    outcome = await workload.check()
    cluster.start(second)
    return outcome


def run(seeds):
    """Runs the schedules, on pure modules and with processes.

    :param seeds: not used; the schedules have their own seeds.
    """
    variant = Variant(keeps_identity=True)
    yield from schedules.rows("repair", plan, variant, OPERATORS)
    yield from control_cluster.rows("repair", scenario)

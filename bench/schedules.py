"""Seeded schedules of faults on simulated control processes.

``python -m bench.schedules KIND SEED`` replays one schedule and prints what it
found. A schedule is a list of faults; operators change documents meanwhile, and
the outcome is compared with what they were told.
"""

import importlib
import random
import sys
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from typing import NamedTuple

from bench.rows import Row
from bench.simulation import Simulation
from figpick.base._errors import ConflictError
from figpick.consensus._consensus import Raft
from figpick.consensus._consensus_messages import Membership
from figpick.consensus._formation import name_of
from figpick.consensus._replica import Replica
from figpick.registry._registry import Registry

PROCESS_NAMES = tuple(f"control-{number}" for number in range(1, 6))
SIZES = (3, 3, 3, 5)
SERVICES = ("parts", "scans")
RUN_S = 12.0
SETTLE_S = 8.0
RESEND_S = (0.3, 1.2)
LOST_ANSWERS = 0.15
MAX_ATTEMPTS = 12
SCHEDULES = 500
WORKERS = 4
CHUNK = 5


class SmallPartsRaft(Raft):
    """Sends a snapshot in many parts."""

    snapshot_part_bytes = 1500


class CompactingReplica(Replica):
    """Replaces its log so often that schedules install snapshots."""

    raft_class = SmallPartsRaft
    compact_entries = 25


class Variant(NamedTuple):
    """Parts of the control process, of which a variant may lack a safeguard."""

    replica_class: type = CompactingReplica
    registry_class: type = Registry
    syncs: bool = True
    keeps_identity: bool = False


class Outcome(NamedTuple):
    """What a schedule found; every count but ``accepted`` must be 0."""

    accepted: int
    lost: int
    reverted: int
    twice: int
    stale_reads: int
    other: int
    problems: tuple

    @property
    def violations(self):
        """Number of all violations."""
        return self.lost + self.reverted + self.twice + self.stale_reads + self.other


class Operator:
    """Changes documents one after the other and resends what is not answered."""

    def __init__(self, schedule, number):
        self._schedule = schedule
        self._simulation = schedule.simulation
        self._number = number
        self._count = 0
        self._bases = dict.fromkeys(SERVICES, 0)

    def begin(self):
        """Starts the next change."""
        if self._simulation.now > self._schedule.end_s:
            return
        self._count += 1
        service = self._simulation.random.choice(SERVICES)
        message = {
            "document": make_document(service, self._count % 10),
            "base": self._bases[service],
            "change": f"{self._number}-{self._count}",
            "author": f"operator-{self._number}",
        }
        self._attempt(message, 1)

    def _attempt(self, message, attempt):
        process = self._simulation.random.choice(
            list(self._simulation.processes.values())
        )
        leader = self._simulation.leader()
        if leader is not None and self._simulation.random.random() < 0.7:
            process = leader
        state = {"answered": False}

        def done(answer, error):
            if error is None:
                self._schedule.note_accepted(message, answer)
            elif not isinstance(error, ConflictError):
                return
            if state["answered"] or self._simulation.random.random() < LOST_ANSWERS:
                return
            state["answered"] = True
            self._learn(message["document"]["service"], answer, error)
            self._simulation.after(self._schedule.pause_s(), self.begin)

        if process.is_up:
            replica = process.replica
            process.call(
                replica.put, message, self._simulation.now, done, process.now()
            )
        wait_s = self._simulation.random.uniform(*RESEND_S)
        self._simulation.after(wait_s, self._resend, message, attempt, state)

    def _resend(self, message, attempt, state):
        if state["answered"]:
            return
        state["answered"] = True
        if attempt < MAX_ATTEMPTS:
            self._attempt(message, attempt + 1)
        else:
            self.begin()

    def _learn(self, service, answer, error):
        current = answer or error.current
        self._bases[service] = max(self._bases[service], current["version"])


class Schedule:
    """One run: processes, operators, faults and checks.

    :param seed: seed of every random choice.
    :param plan: function that adds the faults to a schedule.
    :param variant: :class:`Variant`.
    :param operators: number of operators.
    """

    def __init__(self, seed, plan, variant, operators=2):
        self.random = random.Random(seed)
        self.variant = variant
        self.end_s = RUN_S
        self.names = PROCESS_NAMES[: self.random.choice(SIZES)]
        self.simulation = Simulation(
            self.random,
            self.names,
            variant.replica_class,
            variant.registry_class,
            variant.syncs,
        )
        self._disks = 0
        self._accepted = {}
        self._last_accepted = dict.fromkeys(SERVICES, 0)
        self.problems = []
        self._counts = dict.fromkeys(("lost", "reverted", "twice", "stale_reads"), 0)
        self._form()
        for number in range(operators):
            self.simulation.after(1.5, Operator(self, number).begin)
        self.simulation.after(1.5, self._read)
        plan(self)

    def run(self):
        """Runs the schedule and the checks.

        :return: :class:`Outcome`.
        """
        self.simulation.run_until(self.end_s)
        self._heal()
        self.simulation.run_until(self.end_s + SETTLE_S)
        self._check()
        other = len(self.simulation.violations) + self._check_agreement()
        return Outcome(
            accepted=len(self._accepted),
            other=other,
            problems=tuple(self.problems + self.simulation.violations),
            **self._counts,
        )

    def later(self, wait_s, function, *arguments):
        """Calls a function of the plan after a time, unless the run has ended."""

        def call():
            if self.simulation.now <= self.end_s:
                function(*arguments)

        self.simulation.after(wait_s, call)

    def pause_s(self):
        """Gives the pause of an operator between two changes."""
        return self.random.uniform(0.02, 0.3)

    def new_identity(self, name):
        """Gives the identity of a process with a new disk."""
        if self.variant.keeps_identity:
            return f"{name}#1"
        self._disks += 1
        return f"{name}#{self._disks}"

    def note_accepted(self, message, answer):
        """Notes that an operator was told that a change is accepted."""
        change = message["change"]
        service = answer["service"]
        known = self._accepted.setdefault(change, answer)
        if known != answer:
            self._note("twice", f"{change} got {known} and then {answer}")
        last = self._last_accepted[service]
        self._last_accepted[service] = max(last, answer["version"])

    def leading_replica(self):
        """Gives the replica of the leader, or ``None``."""
        leader = self.simulation.leader()
        return leader and leader.replica

    def _form(self):
        identities = {name: self.new_identity(name) for name in self.names}
        members = Membership(
            {identity: name for name, identity in identities.items()}, {}
        )
        for name, process in self.simulation.processes.items():
            process.replace_disk(identities[name])
            process.start()
            process.call(process.replica.form, members, process.now())

    def _read(self):
        """Reads at a random process; the answer must not be older than changes
        that were accepted before the read began."""
        process = self.random.choice(list(self.simulation.processes.values()))
        known = dict(self._last_accepted)

        def done(answer, error):
            if error is not None:
                return
            versions = process.replica.registry.versions
            for service, version in known.items():
                if versions.get(service, 0) < version:
                    self._note("stale_reads", f"read of {service} before {version}")

        if process.is_up:
            process.call(process.replica.read, done, process.now())
        if self.simulation.now < self.end_s:
            self.simulation.after(self.random.uniform(0.05, 0.4), self._read)

    def _heal(self):
        self.simulation.cut_links.clear()
        self.simulation.loss = self.simulation.long_delays = 0.0
        for process in self.simulation.processes.values():
            process.files.is_full = process.files.lose_power_at_write = False
            if process.is_up and process.replica.failure is not None:
                process.crash()
            if not process.is_up:
                process.start()

    def _check(self):
        leader = self.simulation.leader()
        if leader is None:
            self.problems.append("no leader after the faults ended")
            self._counts["lost"] += len(self._accepted)
            return
        registry = leader.replica.registry
        accepted = {}
        for service in SERVICES:
            version = 0
            for record in registry.history(service):
                if record["change"] in accepted:
                    self._note("twice", f"{record['change']} is in the history twice")
                if record["base"] != version or record["version"] <= version:
                    self._note("reverted", f"{service} {record} after {version}")
                version = record["version"]
                accepted[record["change"]] = version
        for change, answer in self._accepted.items():
            if accepted.get(change) != answer["version"]:
                self._note("lost", f"{change}, accepted as {answer}")

    def _check_agreement(self):
        """Compares the registries of all voters with that of the leader."""
        leader = self.simulation.leader()
        if leader is None:
            return 1
        count = 0
        expected = leader.replica.registry.encode()
        for identity in leader.replica.raft.members.voters:
            process = self.simulation.processes[name_of(identity)]
            is_equal = process.is_up and process.replica.registry.encode() == expected
            if not is_equal:
                count += 1
                self.problems.append(f"{process.name} differs from the leader")
        return count

    def _note(self, kind, problem):
        self._counts[kind] += 1
        self.problems.append(f"{kind}: {problem}")


def make_document(service, importance):
    """Makes a small valid document."""
    route = {"method": "GET", "path": "/*", "importance": importance}
    return {"service": service, "routes": [{**route, "idempotent": True}]}


def run_schedule(plan, variant, operators, seed):
    """Runs one schedule.

    :return: :class:`Outcome`.
    """
    return Schedule(seed, plan, variant, operators).run()


def run_all(plan, variant, operators, seeds):
    """Runs schedules on a few processes.

    :return: list of tuples of seed and :class:`Outcome`.
    """
    task = partial(run_schedule, plan, variant, operators)
    with ProcessPoolExecutor(WORKERS) as pool:
        outcomes = pool.map(task, seeds, chunksize=CHUNK)
        return list(zip(seeds, outcomes, strict=True))


def rows(experiment, plan, variant, operators=2):
    """Runs 500 schedules, and again without a safeguard as the baseline.

    :param variant: :class:`Variant` that lacks a safeguard.
    :return: list of :class:`~bench.rows.Row`.
    """
    seeds = range(1, SCHEDULES + 1)
    results = run_all(plan, Variant(), operators, seeds)
    baseline = run_all(plan, variant, operators, seeds)
    found = []
    for kind in ("lost", "reverted", "twice", "stale_reads", "other"):
        figure = sum(getattr(outcome, kind) for _, outcome in results)
        without = sum(getattr(outcome, kind) for _, outcome in baseline)
        case = f"{SCHEDULES} schedules: {kind.replace('_', ' ')}"
        found.append(Row(experiment, case, 1, without, figure, 0, "changes"))
    accepted = sum(outcome.accepted for _, outcome in results)
    case = f"{SCHEDULES} schedules: accepted"
    found.append(Row(experiment, case, 1, None, accepted, None, "changes"))
    for seed, outcome in results:
        if outcome.violations:
            print(f"seed {seed}: {outcome.problems[:3]}", file=sys.stderr)
    return found


def main(experiment, seed):
    """Replays one schedule.

    :return: exit code, 1 when a check failed.
    """
    module = importlib.import_module(f"bench.{experiment}")
    outcome = run_schedule(module.plan, Variant(), module.OPERATORS, seed)
    print(outcome._replace(problems=()))
    for problem in outcome.problems:
        print(problem)
    return 1 if outcome.violations else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1], int(sys.argv[2])))

"""Seeded schedules of faults on simulated control processes.

``python -m bench.schedules KIND SEED`` replays one schedule and prints its outcome.
A schedule is a sequence of faults. Operators change documents while the faults
occur; at the end, the stored history is compared with the replies they received.
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
CLUSTER_SIZES = (3, 3, 3, 5)
SERVICES = ("parts", "scans")
RUN_S = 12.0
SETTLE_S = 8.0
RETRY_DELAY_RANGE_S = (0.3, 1.2)
LOST_REPLY_PROBABILITY = 0.15
MAX_ATTEMPTS = 12
SCHEDULE_COUNT = 500
WORKER_COUNT = 4
CHUNK_SIZE = 5


class SmallPartsRaft(Raft):
    """Sends snapshots in small parts, so that each takes many messages."""

    snapshot_part_bytes = 1500


class CompactingReplica(Replica):
    """Compacts its log so often that schedules install snapshots."""

    raft_class = SmallPartsRaft
    compact_entries = 25


class Variant(NamedTuple):
    """Configuration of the control processes; a variant may lack a safeguard.

    :param syncs: whether synced writes survive a power loss.
    :param keeps_identity: whether a process keeps its identity on a new disk.
    """

    replica_class: type = CompactingReplica
    registry_class: type = Registry
    syncs: bool = True
    keeps_identity: bool = False


class Outcome(NamedTuple):
    """Result of a schedule; every count except ``accepted`` must be 0."""

    accepted: int
    lost: int
    reverted: int
    twice: int
    stale_reads: int
    other: int
    problems: tuple

    @property
    def violations(self):
        """Total number of violations."""
        return self.lost + self.reverted + self.twice + self.stale_reads + self.other


class Operator:
    """Changes documents one at a time and retries changes without a reply."""

    def __init__(self, schedule, number):
        self._schedule = schedule
        self._simulation = schedule.simulation
        self._number = number
        self._count = 0
        self._bases = dict.fromkeys(SERVICES, 0)

    def start_change(self):
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

        def on_done(result, error):
            if error is None:
                self._schedule.record_accepted(message, result)
            elif not isinstance(error, ConflictError):
                return
            if (
                state["answered"]
                or self._simulation.random.random() < LOST_REPLY_PROBABILITY
            ):
                return
            state["answered"] = True
            self._update_base(message["document"]["service"], result, error)
            self._simulation.call_later(self._schedule.pause_s(), self.start_change)

        if process.is_up:
            replica = process.replica
            process.call(
                replica.put, message, self._simulation.now, on_done, process.now()
            )
        wait_s = self._simulation.random.uniform(*RETRY_DELAY_RANGE_S)
        self._simulation.call_later(wait_s, self._retry, message, attempt, state)

    def _retry(self, message, attempt, state):
        if state["answered"]:
            return
        state["answered"] = True
        if attempt < MAX_ATTEMPTS:
            self._attempt(message, attempt + 1)
        else:
            self.start_change()

    def _update_base(self, service, result, error):
        current = result or error.current
        self._bases[service] = max(self._bases[service], current["version"])


class Schedule:
    """One run: processes, operators, faults and checks.

    :param seed: seed of all random choices.
    :param plan: function that adds the faults to a schedule.
    :param variant: :class:`Variant`.
    :param operators: number of operators.
    """

    def __init__(self, seed, plan, variant, operators=2):
        self.random = random.Random(seed)
        self.variant = variant
        self.end_s = RUN_S
        self.names = PROCESS_NAMES[: self.random.choice(CLUSTER_SIZES)]
        self.simulation = Simulation(
            self.random,
            self.names,
            variant.replica_class,
            variant.registry_class,
            variant.syncs,
        )
        self._disk_count = 0
        self._accepted = {}
        self._last_accepted = dict.fromkeys(SERVICES, 0)
        self.problems = []
        self._counts = dict.fromkeys(("lost", "reverted", "twice", "stale_reads"), 0)
        self._form_cluster()
        for number in range(operators):
            self.simulation.call_later(1.5, Operator(self, number).start_change)
        self.simulation.call_later(1.5, self._read)
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

    def run_later(self, delay_s, function, *arguments):
        """Calls a function of the plan after a delay, unless the run has ended."""

        def call():
            if self.simulation.now <= self.end_s:
                function(*arguments)

        self.simulation.call_later(delay_s, call)

    def pause_s(self):
        """Returns the pause of an operator between two changes, in seconds."""
        return self.random.uniform(0.02, 0.3)

    def new_identity(self, name):
        """Returns the identity of a process with a new disk."""
        if self.variant.keeps_identity:
            return f"{name}#1"
        self._disk_count += 1
        return f"{name}#{self._disk_count}"

    def record_accepted(self, message, result):
        """Records the result of an accepted change; later results must be equal."""
        change = message["change"]
        service = result["service"]
        known = self._accepted.setdefault(change, result)
        if known != result:
            self._record_violation(
                "twice", f"{change} was accepted as {known}, then as {result}"
            )
        last = self._last_accepted[service]
        self._last_accepted[service] = max(last, result["version"])

    def leading_replica(self):
        """Returns the replica of the leader, or ``None``."""
        leader = self.simulation.leader()
        return leader and leader.replica

    def _form_cluster(self):
        identities = {name: self.new_identity(name) for name in self.names}
        members = Membership(
            {identity: name for name, identity in identities.items()}, {}
        )
        for name, process in self.simulation.processes.items():
            process.replace_disk(identities[name])
            process.start()
            process.call(process.replica.form, members, process.now())

    def _read(self):
        """Reads at a random process and checks that the result is not stale.

        It must include all changes that were accepted before the read began.
        """
        process = self.random.choice(list(self.simulation.processes.values()))
        known = dict(self._last_accepted)

        def on_done(result, error):
            if error is not None:
                return
            versions = process.replica.registry.versions
            for service, version in known.items():
                if versions.get(service, 0) < version:
                    self._record_violation(
                        "stale_reads", f"read of {service} is older than {version}"
                    )

        if process.is_up:
            process.call(process.replica.read, on_done, process.now())
        if self.simulation.now < self.end_s:
            self.simulation.call_later(self.random.uniform(0.05, 0.4), self._read)

    def _heal(self):
        self.simulation.cut_links.clear()
        self.simulation.loss_probability = self.simulation.long_delay_probability = 0.0
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
                    self._record_violation(
                        "twice", f"{record['change']} is in the history twice"
                    )
                if record["base"] != version or record["version"] <= version:
                    self._record_violation(
                        "reverted", f"{service}: {record} follows version {version}"
                    )
                version = record["version"]
                accepted[record["change"]] = version
        for change, result in self._accepted.items():
            if accepted.get(change) != result["version"]:
                self._record_violation(
                    "lost", f"{change}, accepted as {result}, is missing"
                )

    def _check_agreement(self):
        """Returns the number of voters whose registry differs from the leader's."""
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
                self.problems.append(
                    f"registry of {process.name} differs from the leader's"
                )
        return count

    def _record_violation(self, kind, problem):
        self._counts[kind] += 1
        self.problems.append(f"{kind}: {problem}")


def make_document(service, importance):
    """Returns a small valid document."""
    route = {"method": "GET", "path": "/*", "importance": importance}
    return {"service": service, "routes": [{**route, "idempotent": True}]}


def run_schedule(plan, variant, operators, seed):
    """Runs one schedule.

    :return: :class:`Outcome`.
    """
    return Schedule(seed, plan, variant, operators).run()


def run_schedules(plan, variant, operators, seeds):
    """Runs schedules in parallel worker processes.

    :return: list of pairs of a seed and its :class:`Outcome`.
    """
    task = partial(run_schedule, plan, variant, operators)
    with ProcessPoolExecutor(WORKER_COUNT) as pool:
        outcomes = pool.map(task, seeds, chunksize=CHUNK_SIZE)
        return list(zip(seeds, outcomes, strict=True))


def rows(experiment, plan, variant, operators=2):
    """Runs 500 schedules, and again without a safeguard as the baseline.

    :param variant: :class:`Variant` that lacks a safeguard.
    :return: list of :class:`~bench.rows.Row`.
    """
    seeds = range(1, SCHEDULE_COUNT + 1)
    results = run_schedules(plan, Variant(), operators, seeds)
    baseline = run_schedules(plan, variant, operators, seeds)
    result_rows = []
    for kind in ("lost", "reverted", "twice", "stale_reads", "other"):
        figure = sum(getattr(outcome, kind) for _, outcome in results)
        baseline_figure = sum(getattr(outcome, kind) for _, outcome in baseline)
        case = f"{SCHEDULE_COUNT} schedules: {kind.replace('_', ' ')}"
        result_rows.append(
            Row(experiment, case, 1, baseline_figure, figure, 0, "changes")
        )
    accepted = sum(outcome.accepted for _, outcome in results)
    case = f"{SCHEDULE_COUNT} schedules: accepted"
    result_rows.append(Row(experiment, case, 1, None, accepted, None, "changes"))
    for seed, outcome in results:
        if outcome.violations:
            print(f"seed {seed}: {outcome.problems[:3]}", file=sys.stderr)
    return result_rows


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

"""The quorum of control processes on simulated disks, clocks and networks."""

import random

import pytest

from bench import partition, race, repair, restart, schedules
from bench.schedules import Variant, make_document, run_schedule
from bench.simulation import Simulation
from figpick.base._errors import NoQuorumError
from figpick.consensus._consensus import MembershipError, Raft
from figpick.consensus._consensus_messages import (
    NO_SNAPSHOT,
    Append,
    AppendReply,
    Entry,
    Membership,
    StoredState,
    Transfer,
    VoteReply,
    VoteState,
    decode,
    encode,
)
from figpick.consensus._formation import Formation

SEEDS = range(1, 13)
MODULES = (partition, race, repair, restart)


@pytest.fixture
def simulation():
    names = schedules.PROCESS_NAMES[:3]
    simulation = Simulation(random.Random(1), names)
    members = Membership({f"{name}#1": name for name in names}, {})
    for name, process in simulation.processes.items():
        process.replace_disk(f"{name}#1")
        process.start()
        process.call(process.replica.form, members, process.now())
    simulation.run_until(3.0)
    return simulation


class ResultCollector:
    """Collects the results and errors that a request reports."""

    def __init__(self):
        self.results = []

    def __call__(self, result, error):
        self.results.append(error or result or "done")


def put(simulation, process, change, base):
    collector = ResultCollector()
    message = {"document": make_document("parts", 1), "base": base, "change": change}
    process.call(process.replica.put, message, 0.0, collector, process.now())
    simulation.run_until(simulation.now + 0.3)
    return collector.results


@pytest.mark.parametrize("module", MODULES, ids=lambda module: module.__name__)
@pytest.mark.parametrize("seed", SEEDS)
def test_no_accepted_change_is_lost_reverted_or_applied_twice(module, seed):
    """Guards against quorum failures that occur only in rare schedules."""
    outcome = run_schedule(module.plan, Variant(), module.OPERATORS, seed)
    assert outcome.accepted > 0
    assert outcome.violations == 0, outcome.problems


def test_check_notices_disks_that_lose_synced_writes():
    """Guards against a check of the schedules that never detects a fault."""
    outcomes = [
        run_schedule(restart.plan, Variant(syncs=False), 2, seed) for seed in SEEDS
    ]
    assert sum(outcome.lost for outcome in outcomes) > 0


def test_schedule_is_determined_by_its_seed():
    """Guards against failures that cannot be reproduced from their seed."""
    first, second = (run_schedule(race.plan, Variant(), 6, 7) for _ in range(2))
    assert first == second


def test_leader_that_is_cut_off_refuses_reads_and_writes(simulation):
    """Guards against stale results from a leader without a quorum."""
    leader = simulation.leader()
    simulation.isolate(leader.name)
    read = ResultCollector()
    leader.call(leader.replica.read, read, leader.now())
    written = put(simulation, leader, "lost", 0)
    assert read.results == [] and written == []
    simulation.run_until(simulation.now + 3.0)
    assert isinstance(read.results[0], NoQuorumError)
    assert isinstance(written[0], NoQuorumError)


def test_returning_host_does_not_disturb_the_leader(simulation):
    """Guards against elections forced by a host that was partitioned for a minute."""
    leader = simulation.leader()
    follower = next(
        each for each in simulation.processes.values() if each is not leader
    )
    simulation.isolate(follower.name)
    simulation.run_until(60.0)
    term = leader.replica.raft.term
    simulation.cut_links.clear()
    simulation.run_until(65.0)
    assert leader.replica.raft.is_leader
    assert leader.replica.raft.term == follower.replica.raft.term == term


def test_leader_that_stops_is_followed_at_once(simulation):
    """Guards against a planned stop that leaves the quorum without a leader."""
    previous = simulation.leader()
    term = previous.replica.raft.term
    previous.call(previous.replica.transfer_leadership, previous.now())
    simulation.run_until(simulation.now + 0.1)
    previous.crash()
    leader = simulation.leader()
    assert leader is not previous and leader.replica.raft.term == term + 1
    assert put(simulation, leader, "a", 0)[0]["change"] == "a"


def test_only_the_leader_hands_over(simulation):
    """Guards against elections that a late request of a former leader starts."""
    previous = simulation.leader()
    followers = [
        each for each in simulation.running_processes() if each is not previous
    ]
    raft = previous.replica.raft
    term = raft.term
    identities = [each.replica.identity for each in followers]
    for sender, old_term in ((raft.leader, term - 1), (identities[0], term)):
        request = Transfer(sender, identities[1], old_term)
        followers[1].call(followers[1].replica.receive, request, followers[1].now())
    simulation.run_until(simulation.now + 1.0)
    assert simulation.leader() is previous and raft.term == term


def test_retried_change_gets_its_first_result_from_a_later_leader(simulation):
    """Guards against a change that is applied twice when its reply is lost."""
    first = put(simulation, simulation.leader(), "a", 0)
    later = put(simulation, simulation.leader(), "b", first[0]["version"])
    simulation.leader().crash()
    simulation.run_until(simulation.now + 4.0)
    assert put(simulation, simulation.leader(), "a", 0) == first
    assert later[0]["version"] > first[0]["version"]


def test_membership_changes_one_at_a_time(simulation):
    """Guards against old and new quorums that do not overlap."""
    replica = simulation.leader().replica
    voters = replica.raft.members.voters
    fewer = dict(list(voters.items())[:1])
    with pytest.raises(MembershipError):
        replica.raft.change_members(Membership(fewer, {}), simulation.leader().now())
    replica.raft.change_members(Membership(voters, {"new#1": "new"}), 0.0)
    with pytest.raises(MembershipError):
        replica.raft.change_members(Membership(voters, {}), 0.0)


def test_failed_write_ends_participation(simulation):
    """Guards against acknowledging entries that may not be on disk."""
    leader = simulation.leader()
    leader.files.is_full = True
    results = put(simulation, leader, "a", 0)
    assert isinstance(results[0], NoQuorumError)
    assert "No space left" in str(leader.replica.failure)
    simulation.run_until(simulation.now + 4.0)
    assert simulation.leader() is not leader
    assert put(simulation, simulation.leader(), "b", 0)[0]["change"] == "b"


def test_replaced_disk_cannot_form_a_second_quorum():
    """Guards against a process that votes with an empty disk under its old identity."""
    addresses = {"a": "1.1.1.1:1", "b": "1.1.1.1:2"}
    formation = Formation("b#2", addresses)
    voters = {"a#1": "1.1.1.1:1", "b#1": "1.1.1.1:2"}
    first = {"voters": voters, "learners": {}}
    formation.record_identity(
        {"identity": "a#1", "formed": True, "first_members": first}
    )
    assert formation.must_be_added and formation.members is None


def test_messages_of_other_releases_are_read():
    """Guards against two releases that cannot decode each other's messages."""
    fields = encode(Append("a#1", "b#1", 2, 0, 0))
    del fields["round"]
    message = decode(Append, {**fields, "field_of_a_later_release": 1, "v": 2})
    assert message == Append("a#1", "b#1", 2, 0, 0, v=2)


def test_member_that_lost_synced_entries_is_not_flooded(simulation):
    """Guards against an endless exchange with a member whose disk lost entries."""
    follower = next(
        each
        for each in simulation.processes.values()
        if each is not simulation.leader()
    )
    old = dict(follower.files._durable)
    version = 0
    for number in range(5):
        result = put(simulation, simulation.leader(), f"c{number}", version)[0]
        version = result["version"]
    follower.crash()
    follower.files._durable = old
    follower.start()
    put(simulation, simulation.leader(), "later", version)
    sent = []
    send = simulation.send
    simulation.send = lambda *arguments: (sent.append(1), send(*arguments))
    simulation.run_until(simulation.now + 1.0)
    assert len(sent) < 100


def test_host_cut_off_from_the_leader_only_does_not_disturb_it(simulation):
    """Guards against elections forced by a host cut off only from the leader."""
    leader = simulation.leader()
    follower = next(
        each for each in simulation.processes.values() if each is not leader
    )
    term = leader.replica.raft.term
    simulation.cut_link(leader.name, follower.name)
    simulation.cut_link(follower.name, leader.name)
    simulation.run_until(30.0)
    assert leader.replica.raft.is_leader
    assert leader.replica.raft.term == term


def test_entry_of_an_earlier_term_is_not_committed_by_counting():
    """Guards against two faults of a new leader.

    It must not count copies of an entry of an earlier term as committed, since such an
    entry can still be lost. It must not change the membership before it has committed
    an entry of its own term.
    """
    members = Membership({"a#1": "a", "b#1": "b", "c#1": "c"}, {})
    entries = (
        Entry(1, 1, "members", members._asdict()),
        Entry(2, 2, "command", {}),
    )
    stored = StoredState(VoteState(3, None), NO_SNAPSHOT, entries)
    raft = Raft("a#1", stored, random.Random(1), 0.0)
    raft.tick(2.0)
    raft.receive(VoteReply("b#1", "a#1", 4, True, pre=True), 2.0)
    raft.receive(VoteReply("b#1", "a#1", 4, True), 2.0)
    raft.mark_synced(raft.take_output(), 2.0)
    assert raft.is_leader
    raft.receive(AppendReply("b#1", "a#1", 4, True, match=2), 2.1)
    assert raft.commit_index == 0
    with pytest.raises(MembershipError):
        raft.change_members(Membership({"a#1": "a", "b#1": "b"}, {}), 2.1)
    raft.receive(AppendReply("b#1", "a#1", 4, True, match=3), 2.2)
    assert raft.commit_index == 3


@pytest.mark.parametrize("seed", range(1, 11))
def test_quorum_leads_soon_after_all_its_processes_were_killed(seed):
    """Guards against a late configuration after all control processes were restarted.

    A quorum that lost its leader holds an election after 0.6 s at the earliest. A
    quorum whose processes have all just started must elect a leader sooner.
    """
    names = schedules.PROCESS_NAMES[:3]
    simulation = Simulation(random.Random(seed), names)
    members = Membership({f"{name}#1": name for name in names}, {})
    for name, process in simulation.processes.items():
        process.replace_disk(f"{name}#1")
        process.start()
        process.call(process.replica.form, members, process.now())
    simulation.run_until(3.0)
    for process in simulation.processes.values():
        process.crash()
    simulation.run_until(simulation.now + 0.5)
    for process in simulation.processes.values():
        process.start()
    simulation.run_until(simulation.now + 0.58)
    leaders = [
        process
        for process in simulation.processes.values()
        if process.replica.raft.is_leader
    ]
    assert len(leaders) == 1


@pytest.mark.parametrize("seed", range(1, 11))
def test_quorum_leads_soon_after_the_last_of_its_majority_has_started(seed):
    """Guards against a pre-vote that is repeated only after an election timeout.

    Of five processes that were killed, three start 0.35 s after the others, whose first
    pre-vote then finds no majority. Without a prompt repetition there was no leader for
    another 0.6 to 1.2 s, and nodes that had restarted refused every request meanwhile.
    """
    names = [f"control-{number}" for number in range(5)]
    simulation = Simulation(random.Random(seed), names)
    members = Membership({f"{name}#1": name for name in names}, {})
    processes = list(simulation.processes.values())
    for name, process in simulation.processes.items():
        process.replace_disk(f"{name}#1")
        process.start()
        process.call(process.replica.form, members, process.now())
    simulation.run_until(3.0)
    for process in processes:
        process.crash()
    simulation.run_until(simulation.now + 0.5)
    for process in processes[:2]:
        process.start()
    simulation.run_until(simulation.now + 0.35)
    for process in processes[2:]:
        process.start()
    simulation.run_until(simulation.now + 0.45)
    assert sum(process.replica.raft.is_leader for process in processes) == 1


def test_committed_entries_are_known_right_after_a_restart():
    """Guards against nodes without a configuration until a leader is elected.

    Of three entries the first two were known to be committed when the last was written.
    """
    members = Membership({"a#1": "a", "b#1": "b", "c#1": "c"}, {})
    entries = (
        Entry(1, 1, "members", members._asdict()),
        Entry(2, 1, "command", {"text": "first"}),
        Entry(3, 1, "command", {"text": "second"}),
    )
    stored = StoredState(VoteState(1, None), NO_SNAPSHOT, entries, 2)
    raft = Raft("a#1", stored, random.Random(1), 0.0)
    assert raft.leader is None
    assert [entry.index for entry in raft.take_output().committed] == [1, 2]

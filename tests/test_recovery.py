"""A quorum is restored by hand after a majority of its disks is lost."""

import random

import pytest

from bench.simulation import Simulation
from figpick.base._files import Files
from figpick.consensus._consensus_messages import MEMBERS, Entry, Membership
from figpick.consensus._recovery import NoLogError, recover_storage
from figpick.consensus._storage import Storage
from figpick.operators import _cli

from .membership_fleet import CommandRegistry

NAMES = ("a", "b", "c")


@pytest.fixture
def simulation():
    simulation = Simulation(random.Random(1), NAMES, registry_class=CommandRegistry)
    members = Membership({f"{name}#1": name for name in NAMES}, {})
    for name, process in simulation.processes.items():
        process.replace_disk(f"{name}#1")
        process.start()
        process.call(process.replica.form, members, process.now())
    simulation.run_until(3.0)
    return simulation


def propose(simulation, number):
    results = []
    process = simulation.leader()
    process.call(
        process.replica.propose,
        {"number": number},
        lambda _, error: results.append(error),
        process.now(),
    )
    simulation.run_until(simulation.now + 0.5)
    assert results == [None]


def lose_all_but_one(simulation):
    survivor = simulation.leader()
    for process in simulation.running_processes():
        process.crash()
    survivor.files.lose_power()
    return survivor


def test_recovered_disk_serves_its_changes_and_takes_in_new_hosts(simulation):
    """Guards against a lost majority after which nothing can be read or changed."""
    propose(simulation, 1)
    survivor = lose_all_but_one(simulation)
    survivor.start()
    simulation.run_until(simulation.now + 10.0)
    assert simulation.leader() is None
    survivor.crash()
    before = recover_storage(Storage(survivor.files))
    assert before.voters == list(NAMES)
    survivor.start()
    simulation.run_until(simulation.now + 2.0)
    assert survivor.replica.registry.commands == [1]
    other = next(name for name in NAMES if name != survivor.name)
    process = simulation.processes[other]
    process.replace_disk(f"{other}#2")
    process.start()
    members = Membership({survivor.disk_identity: survivor.name}, {f"{other}#2": other})
    for change in (members, Membership(members.addresses, {})):
        survivor.call(
            survivor.replica.change_members, change, lambda *_: None, survivor.now()
        )
        simulation.run_until(simulation.now + 0.5)
    propose(simulation, 2)
    assert process.replica.registry.commands == [1, 2]


def test_disk_without_a_log_cannot_be_recovered(simulation):
    """Guards against a new quorum that starts from nothing by mistake."""
    survivor = lose_all_but_one(simulation)
    survivor.replace_disk("a#2")
    with pytest.raises(NoLogError):
        recover_storage(Storage(survivor.files))


def test_command_shows_a_disk_before_it_changes_it(tmp_path, capsys):
    """Guards against an operator who drops changes of a better disk unseen."""
    folder = str(tmp_path)
    members = Membership({"a#1": "127.0.0.1:1", "b#1": "127.0.0.1:2"}, {})
    entries = [Entry(1, 1, MEMBERS, members._asdict())]
    storage = Storage(Files(folder))
    storage.create("a#1", entries)
    log = tmp_path / "log"
    content = log.read_bytes()
    _cli.main(["recover", folder])
    shown = capsys.readouterr().out
    assert log.read_bytes() == content and '"last_index": 1' in shown
    _cli.main(["recover", folder, "--lose-other-disks"])
    stored = Storage(Files(folder)).load()
    assert stored.entries[-1].data == {"voters": {"a#1": "127.0.0.1:1"}, "learners": {}}

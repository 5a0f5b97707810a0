"""Tests of configurations: validation, routes and their replicated history."""

import random

import pytest

from figpick.base._errors import NoQuorumError
from figpick.base._files import Files
from figpick.configuration import (
    ACCEPTED,
    CONFLICT,
    NEW,
    ChangeSet,
    Configuration,
    ConfigurationRegistry,
    Limits,
    Refusal,
    Route,
    RoutingTable,
    ServiceSettings,
    VersionConflictError,
    check,
    encode_command,
)
from figpick.configuration._registry import MAX_REFUSALS
from figpick.consensus._consensus_messages import (
    NO_SNAPSHOT,
    Membership,
    StoredState,
    VoteState,
)
from figpick.consensus._replica import Replica
from figpick.consensus._storage import Storage

SERVICES = {"a": ServiceSettings("a", "/health", 10)}
GOOD = Route("r1", "h.example", "/p/", True, 1.0, 0.5, 0, 2, (("a", 1.0),))


def configuration(*routes):
    return Configuration(1, 0, routes, SERVICES, Limits())


def change(version, base, digest=None):
    return ChangeSet(version, base, digest or f"d{version}", "")._asdict()


@pytest.mark.parametrize(
    ("route", "problem"),
    [
        (GOOD._replace(host=""), "empty"),
        (GOOD._replace(prefix="/p"), "slash"),
        (GOOD._replace(attempts=0), "at least 1"),
        (GOOD._replace(target_s=61.0), "minute"),
        (GOOD._replace(split=(("b", 1.0),)), "unknown service 'b'"),
        (GOOD._replace(split=(("a", 0.0),)), "weight"),
        (GOOD._replace(timeout_s=0.0), "above 0"),
    ],
)
def test_faults_of_a_route_have_its_path(route, problem):
    first = GOOD._replace(name="r0", prefix="/q/")
    faults = check(configuration(first, route))
    assert faults
    assert all(fault.path.startswith("routes.1") for fault in faults)
    assert any(problem in fault.problem for fault in faults)


def test_two_routes_with_one_host_and_prefix_are_invalid():
    assert check(configuration(GOOD, GOOD._replace(name="r2")))
    assert not check(configuration(GOOD))


@pytest.mark.parametrize(
    ("path", "name"),
    [
        ("/p/x", "short"),
        ("/p/q/x", "long"),
        ("/p/q/", "long"),
        ("/p/qx", "short"),
        ("/p", None),
        ("/", None),
    ],
)
def test_longest_prefix_wins(path, name):
    table = RoutingTable(
        (
            GOOD._replace(name="short", prefix="/p/"),
            GOOD._replace(name="long", prefix="/p/q/"),
        )
    )
    found = table.find("H.example:80", path)
    assert (found.name if found else None) == name
    assert table.find("other.example", path) is None


def test_only_one_of_two_changes_based_on_one_version_is_accepted():
    registry = ConfigurationRegistry()
    assert registry.apply(change(2, 0), 1) == 2
    assert registry.apply(change(5, 2, "x"), 2) == 5
    assert isinstance(registry.apply(change(5, 2, "y"), 3), VersionConflictError)
    assert registry.current.digest == "x"
    assert registry.revision == 2


def test_retried_change_gets_its_first_result():
    """Guards against refusing an accepted change when it is retried."""
    registry = ConfigurationRegistry()
    registry.apply(change(2, 0), 1)
    registry.apply(change(5, 2), 2)
    assert registry.apply(change(2, 0), 3) == 2
    assert registry.version == 5


@pytest.mark.parametrize("conflicting", [change(2, 2), change(1, 2), change(7, 1)])
def test_change_not_based_on_the_current_version_is_refused(conflicting):
    registry = ConfigurationRegistry()
    registry.apply(change(2, 0), 1)
    conflicting["digest"] = "other"
    assert isinstance(registry.apply(conflicting, 2), VersionConflictError)


def test_state_is_restored_from_a_snapshot():
    registry = ConfigurationRegistry()
    registry.apply(change(2, 0), 1)
    registry.apply(change(5, 2), 2)
    restored = ConfigurationRegistry()
    restored.restore(registry.encode())
    assert restored.current == registry.current
    assert restored.revision == 2
    assert restored.is_accepted("d2")


LATE = ChangeSet(7, 5, "late", "")
LATE_REFUSAL = encode_command(Refusal(*LATE[:3]))


def refusing_registry():
    """Returns a registry that refused a change before it learned of its base."""
    registry = ConfigurationRegistry()
    registry.apply(change(2, 0), 1)
    assert registry.may_apply_later(LATE)
    assert registry.apply(LATE_REFUSAL, 2) == CONFLICT
    return registry


def test_refusal_is_kept_in_a_snapshot():
    """Guards against a refused change that comes into force after a compaction."""
    registry = ConfigurationRegistry()
    registry.restore(refusing_registry().encode())
    registry.apply(change(5, 2), 3)
    assert registry.decide(LATE) == CONFLICT
    assert "another version" in str(registry.conflict_error(LATE))


def test_change_whose_base_came_before_the_refusal_is_not_refused():
    """Guards against a refusal of one copy while another is accepted."""
    registry = ConfigurationRegistry()
    registry.apply(change(5, 0), 1)
    assert registry.apply(LATE_REFUSAL, 2) == NEW
    assert registry.apply(LATE._asdict(), 3) == 7
    assert registry.apply(LATE_REFUSAL, 4) == ACCEPTED


def test_members_that_keep_no_refusals_decide_alike():
    """Guards against members of two releases whose configurations differ.

    A leader of an earlier release passes on a change that was refused.
    """
    registry = refusing_registry()
    earlier = ConfigurationRegistry()
    earlier.apply(change(2, 0), 1)
    for each in (registry, earlier):
        each.apply(change(5, 2), 3)
        assert each.apply(LATE._asdict(), 4) == 7


def test_earlier_releases_pass_over_other_commands():
    """Guards against a member of an earlier release that cannot apply an entry."""
    fields = ChangeSet(**LATE_REFUSAL)
    assert fields.base < 0
    assert fields.version == 0


def test_command_of_a_later_release_has_no_effect():
    """Guards against a member that cannot apply an entry of a later release."""
    registry = ConfigurationRegistry()
    registry.apply(change(2, 0), 1)
    later = ChangeSet(0, -1, "later", "{}")._asdict()
    assert isinstance(registry.apply(later, 2), VersionConflictError)
    assert registry.version == 2


def test_snapshot_of_an_earlier_release_is_restored():
    registry = ConfigurationRegistry()
    registry.restore(b'{"current":[2,0,"d2",""],"revision":1,"accepted":{"d2":2}}')
    assert registry.apply(LATE_REFUSAL, 2) == CONFLICT


def test_refusals_are_bounded():
    """Guards against a refusal that is answered but not kept."""
    registry = ConfigurationRegistry()
    registry.apply(change(2, 0), 1)
    for number in range(MAX_REFUSALS):
        registry.apply(encode_command(Refusal(7, 5, f"x{number}")), 2 + number)
    assert isinstance(registry.apply(LATE_REFUSAL, 9000), NoQuorumError)
    registry.apply(change(9, 2), 9001)
    assert registry.apply(encode_command(Refusal(12, 11, "y")), 9002) == CONFLICT


def test_accepted_change_is_kept_after_a_restart(tmp_path):
    def start():
        storage = Storage(Files(str(tmp_path)))
        stored = storage.load()
        if stored is None:
            storage.create("one#1")
            stored = StoredState(VoteState(0, None), NO_SNAPSHOT, ())
        registry = ConfigurationRegistry()
        return Replica(storage, stored, registry, random.Random(1), 0.0), registry

    replica, registry = start()
    replica.form(Membership({"one#1": "127.0.0.1:1"}, {}), 0.0)
    replica.tick(5.0)
    results = []
    replica.propose(change(2, 0), lambda *result: results.append(result), 5.0)
    assert results == [(2, None)]
    replica, registry = start()
    replica.tick(5.0)
    assert registry.version == 2

"""Tests of configurations: validation, routes and their replicated history."""

import random

import pytest

from figpick.base._files import Files
from figpick.configuration import (
    ChangeSet,
    Configuration,
    ConfigurationRegistry,
    Limits,
    Route,
    RoutingTable,
    ServiceSettings,
    VersionConflictError,
    check,
)
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

"""Tests of the records of hosts and how they are merged."""

import pytest

from figpick.base._errors import PeerError
from figpick.directory import LEFT, NODE, Announcer, Directory, HostRecord


def record(name="n1", incarnation=5, version=0, token=1, **fields):
    values = {"data_center": "dc", "service": "parts", "state": "ready", **fields}
    return HostRecord(
        name, incarnation, version, token, NODE, "127.0.0.1", 7000, **values
    )


def test_newer_record_replaces_the_older_one():
    directory = Directory()
    assert directory.merge(record(version=1))
    assert not directory.merge(record(version=0))
    assert directory.merge(record(version=2, state=LEFT))
    assert directory.hosts("parts") == []


def test_removed_host_returns_only_with_a_newer_record():
    """Guards against a removed host that an outdated directory brings back."""
    directory = Directory()
    directory.merge(record(version=3))
    directory.remove("n1")
    assert not directory.merge(record(version=3))
    assert directory.merge(record(version=4))


def test_record_supersedes_an_earlier_incarnation_with_a_clock_ahead():
    """Guards against a host whose record is ignored after its clock was set back."""
    directory = Directory()
    announcer = Announcer(record(incarnation=1000, token=2), directory)
    earlier = record(incarnation=9000, version=7, token=1)
    assert announcer.handle_record(list(earlier)) is announcer.record
    assert announcer.record.order > earlier.order
    assert announcer.handle_record(list(earlier)) is None


def test_receiving_the_own_record_changes_nothing():
    announcer = Announcer(record(), Directory())
    assert announcer.handle_record(list(announcer.record)) is None


def test_update_raises_the_version_only_for_changes():
    announcer = Announcer(record(), Directory())
    assert not announcer.update(state="ready")
    assert announcer.update(state="draining")
    assert announcer.record.version == 1


@pytest.mark.parametrize("fields", [[], ["n1"], [1] * 8, list(record()) + [1]])
def test_invalid_record_is_an_error(fields):
    with pytest.raises(PeerError):
        Announcer(record(), Directory()).handle_record(fields)

"""Tests of merge rules, suspicion and retention of member records."""

from zlib import crc32

from figpick.membership import _members
from figpick.membership._members import (
    DRAINING,
    FAILED,
    FAILED_AFTER_S,
    LEFT,
    READY,
    SUSPECT,
    TOMBSTONE_S,
    Member,
    Members,
)


def record(name, version=1, state=READY, incarnation=1000):
    return Member(
        name=name,
        incarnation=incarnation,
        version=version,
        state=state,
        role="node",
        service="parts",
        peer_address=f"127.0.0.1:{crc32(name.encode()) % 60_000}",
        call_address="",
        upstream_address="127.0.0.1:9",
        data_center="dc-1",
        region="region-1",
        slots=4,
        connections=40,
    )


def test_late_update_does_not_restore_a_member_that_left():
    """Guards against calls to an upstream that has left."""
    members = Members(record("a"))
    members.merge(record("b", version=5, state=LEFT))
    assert not members.merge(record("b", version=4))
    members.expire(0.0)
    members.expire(TOMBSTONE_S - 1)
    assert not members.merge(record("b", version=4))
    members.expire(TOMBSTONE_S + 1)
    assert members.get("b") is None


def test_restarted_member_replaces_its_tombstone():
    """Guards against a restarted upstream that receives no calls."""
    members = Members(record("a"))
    members.merge(record("b", version=5, state=LEFT))
    assert members.merge(record("b", version=1, incarnation=2000))
    assert members.get("b").state == READY


def test_suspect_fails_after_five_seconds_unless_it_refutes():
    """Guards against members that stay suspect forever or fail despite a refutation."""
    members = Members(record("a"))
    members.merge(record("b"))
    members.merge(record("c"))
    assert members.suspect("b", 10.0)
    assert members.suspect("c", 10.0)
    assert members.merge(record("c", version=2))
    members.expire(10.0 + FAILED_AFTER_S - 0.1)
    assert members.get("b").state == SUSPECT
    members.expire(10.0 + FAILED_AFTER_S)
    assert members.get("b").state == FAILED
    assert members.get("c").state == READY


def test_process_refutes_its_own_failed_state():
    """Guards against a running process that others consider failed."""
    members = Members(record("a", version=3))
    assert members.merge(record("a", version=3, state=FAILED))
    assert members.own.state == READY
    assert members.own.order > record("a", version=3, state=FAILED).order


def test_refutation_supersedes_a_record_from_a_clock_ahead():
    """Guards against a clock that was set back before a restart."""
    members = Members(record("a"))
    members.merge(record("a", version=9, incarnation=5000))
    assert members.own.order > record("a", version=9, incarnation=5000).order


def test_draining_member_receives_no_calls_while_it_is_suspected():
    """Guards against new calls to an upstream that is leaving."""
    members = Members(record("a"))
    members.merge(record("b", state=DRAINING))
    members.suspect("b", 0.0)
    assert members.get("b").state == DRAINING
    members.expire(FAILED_AFTER_S)
    assert members.get("b").state == FAILED


def test_failed_member_that_still_replies_stays_reachable():
    """Guards against removing upstreams on the same side of a partition."""
    members = Members(record("a"))
    members.merge(record("b", state=FAILED))
    assert not members.is_reachable("b")
    members.merge(record("b", version=2))
    members.merge(record("b", version=2, state=FAILED))
    address = members.get("b").peer_address
    members.reply_tracker.record_reply(address, 1.0)
    assert members.is_reachable("b")
    members.reply_tracker.record_failure(address)
    assert not members.is_reachable("b")
    members.merge(record("b", version=3, state=LEFT))
    members.reply_tracker.record_reply(address, 2.0)
    assert not members.is_reachable("b")


def test_record_of_a_later_release_is_decoded():
    """Guards against two releases that cannot run together."""
    assert _members.decode([*record("b"), "a later field"]) == record("b")

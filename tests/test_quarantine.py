"""Suspected and quarantined requests, and the slot for suspects."""

from hypothesis import given, strategies as st

from figpick.retries._quarantine import (
    CRASH_WINDOW_S,
    DECISION_HOLD_S,
    QUARANTINE_DURATION_S,
    Quarantine,
    SuspectSlot,
)

REQUEST = "jobs GET /x"


def test_quarantine_ends_after_10_minutes():
    """Guards against a quarantine that never ends or ends too early."""
    quarantine = Quarantine()
    quarantine.quarantine("poison", "u1", REQUEST, 0.0)
    assert quarantine.is_quarantined("poison", QUARANTINE_DURATION_S - 1)
    assert not quarantine.is_quarantined("poison", QUARANTINE_DURATION_S + 1)


def test_crash_with_two_repeated_suspects_has_ambiguous_cause():
    """Guards against a quarantine of the wrong one of two suspects.

    Both were in flight in the same two crashes, so either may be the cause.
    """
    quarantine = Quarantine()
    for name in ("poison", "harmless"):
        quarantine.record_crash(name, "u1", REQUEST, False, 0.0)
    quarantine.record_crash("bystander", "u2", REQUEST, False, 5.0)
    quarantine.record_crash("poison", "u2", REQUEST, False, 5.0)
    assert not quarantine.has_ambiguous_cause("poison", "u2", 5.0)
    quarantine.record_crash("harmless", "u2", REQUEST, False, 5.0 + CRASH_WINDOW_S / 2)
    assert quarantine.has_ambiguous_cause("poison", "u2", 5.0)
    assert quarantine.has_ambiguous_cause("harmless", "u2", 5.0)


def test_suspect_that_crashed_alone_is_held():
    """Guards against further crashes, on any node, before the quarantine decision."""
    first, second = Quarantine(), Quarantine()
    event = first.record_crash("poison", "u1", REQUEST, True, 0.0)
    second.apply_event(event, 0.0)
    for quarantine in (first, second):
        assert quarantine.is_held("poison", DECISION_HOLD_S / 2)
        assert not quarantine.is_held("poison", 2 * DECISION_HOLD_S)


def test_completed_suspect_is_cleared():
    """Guards against a quarantine of a request that was in two unrelated crashes."""
    quarantine = Quarantine()
    quarantine.record_crash("harmless", "u1", REQUEST, False, 0.0)
    assert quarantine.is_suspect("harmless", 1.0)
    quarantine.clear("harmless")
    assert not quarantine.is_suspect("harmless", 1.0)


def test_release_and_events_reach_other_nodes():
    """Guards against nodes that keep a quarantine that an operator ended."""
    first, second = Quarantine(), Quarantine()
    second.apply_event(first.record_crash("poison", "u1", REQUEST, False, 0.0), 0.0)
    second.apply_event(first.quarantine("poison", "u1", REQUEST, 0.0), 0.0)
    assert second.is_quarantined("poison", 1.0)
    second.apply_event(first.release("poison"), 1.0)
    assert not first.is_quarantined("poison", 1.0)
    assert not second.is_quarantined("poison", 1.0)


@given(st.lists(st.tuples(st.integers(0, 3), st.booleans(), st.floats(0, 2))))
def test_one_suspect_holds_the_slot_at_a_time(steps):
    """Guards against two suspects on one upstream and a quarantine of the wrong one."""
    slot, now, lease_ends = SuspectSlot(), 0.0, {}
    for holder, is_release, pause_s in steps:
        now += pause_s
        if is_release:
            slot.release(holder)
            lease_ends.pop(holder, None)
        elif slot.acquire(holder, 1.0, now):
            lease_ends[holder] = now + 1.0
        assert sum(until > now for until in lease_ends.values()) <= 1

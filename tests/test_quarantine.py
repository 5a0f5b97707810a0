"""Quarantine: requests that crash upstreams."""

from hypothesis import given, strategies as st

from figpick.retries._quarantine import (
    CRASH_S,
    HOLD_S,
    QUARANTINE_S,
    Quarantine,
    SuspectSlot,
)

REQUEST = "jobs GET /x"


def test_quarantine_ends_after_10_minutes():
    """Guards against a request that is refused for good, or too briefly."""
    quarantine = Quarantine()
    quarantine.quarantine("poison", "u1", REQUEST, 0.0)
    assert quarantine.is_quarantined("poison", QUARANTINE_S - 1)
    assert not quarantine.is_quarantined("poison", QUARANTINE_S + 1)


def test_crash_with_two_old_suspects_is_shared():
    """Guards against blaming one of two requests that crashed together twice."""
    quarantine = Quarantine()
    for name in ("poison", "harmless"):
        quarantine.suspect(name, "u1", REQUEST, False, 0.0)
    quarantine.suspect("bystander", "u2", REQUEST, False, 5.0)
    quarantine.suspect("poison", "u2", REQUEST, False, 5.0)
    assert not quarantine.is_shared("poison", "u2", 5.0)
    quarantine.suspect("harmless", "u2", REQUEST, False, 5.0 + CRASH_S / 2)
    assert quarantine.is_shared("poison", "u2", 5.0)
    assert quarantine.is_shared("harmless", "u2", 5.0)


def test_accused_suspect_waits_for_its_verdict():
    """Guards against further crashes while one is judged, also elsewhere."""
    first, second = Quarantine(), Quarantine()
    event = first.suspect("poison", "u1", REQUEST, True, 0.0)
    second.receive(event, 0.0)
    for quarantine in (first, second):
        assert quarantine.is_held("poison", HOLD_S / 2)
        assert not quarantine.is_held("poison", 2 * HOLD_S)


def test_completed_suspect_is_cleared():
    """Guards against a quarantine after two unrelated crashes."""
    quarantine = Quarantine()
    quarantine.suspect("harmless", "u1", REQUEST, False, 0.0)
    assert quarantine.is_suspect("harmless", 1.0)
    quarantine.clear("harmless")
    assert not quarantine.is_suspect("harmless", 1.0)


def test_release_and_events_reach_other_nodes():
    """Guards against nodes that disagree after an operator's release."""
    first, second = Quarantine(), Quarantine()
    second.receive(first.suspect("poison", "u1", REQUEST, False, 0.0), 0.0)
    second.receive(first.quarantine("poison", "u1", REQUEST, 0.0), 0.0)
    assert second.is_quarantined("poison", 1.0)
    second.receive(first.release("poison"), 1.0)
    assert not first.is_quarantined("poison", 1.0)
    assert not second.is_quarantined("poison", 1.0)


@given(st.lists(st.tuples(st.integers(0, 3), st.booleans(), st.floats(0, 2))))
def test_one_suspect_at_a_time(steps):
    """Guards against two suspects on one upstream, which blames the wrong one."""
    slot, now, held = SuspectSlot(), 0.0, {}
    for holder, frees, pause_s in steps:
        now += pause_s
        if frees:
            slot.free(holder)
            held.pop(holder, None)
        elif slot.take(holder, 1.0, now):
            held[holder] = now + 1.0
        assert sum(until > now for until in held.values()) <= 1

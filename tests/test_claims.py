"""Claims: a keyed request is never granted to two claimants."""

from itertools import pairwise

from hypothesis import given, settings, strategies as st

from figpick.calls._plans import ClockReading
from figpick.claims import _keys
from figpick.claims._claim_holder import (
    FINISHED,
    GRANTED,
    NONE,
    RUNNING,
    UNKNOWN,
    UNSYNCED,
    Claim,
    Holder,
    Reply,
    decide,
)
from figpick.claims._claim_records import RETENTION_S
from tests.claim_schedules import Schedule

SCHEDULES = 400
ROSTER = {
    "service": "parts",
    "epoch": 1,
    "positions": ["a", "b", "c"],
    "epochs": [1, 1, 1],
    "since": 1010.0,
    "changed": 1010.0,
}
CLAIM = Claim("parts", 1, 0, "00ff", None, "one", 10.0)
RESPONSE = {"status": 200, "headers": [], "body": "done"}


def clock_reading(seconds):
    return ClockReading(seconds, seconds)


def in_sync_holder():
    holder = Holder("a", clock_reading(1000.0))
    holder.adopt(ROSTER, clock_reading(1011.0))
    holder.confirm(1, 1011.0)
    return holder


@settings(max_examples=SCHEDULES, deadline=None)
@given(st.integers(0, 1 << 32))
def test_uuid7_key_runs_at_most_once(seed):
    """Guards against two grants under restarts, lost messages and roster changes."""
    assert len(Schedule(seed, uuid7=True).run()) <= 1


@settings(max_examples=SCHEDULES, deadline=None)
@given(st.integers(0, 1 << 32))
def test_other_key_runs_once_in_its_retention(seed):
    """Guards against a second grant within the retention period."""
    executed = Schedule(seed, uuid7=False).run()
    gaps = [later - earlier for earlier, later in pairwise(executed)]
    assert all(gap >= RETENTION_S for gap in gaps)


def test_released_record_does_not_renew_an_old_key():
    """Guards against a grant of a key that is older than its records (seed 274)."""
    claim = CLAIM._replace(created=1012.0)
    holder = in_sync_holder()
    assert holder.claim(claim, clock_reading(1012.0)).result == GRANTED
    holder.release(claim, clock_reading(1012.1))
    holder.confirm(1, 1612.0)
    later = claim._replace(claimant="two")
    assert holder.claim(later, clock_reading(1613.0)).result == UNKNOWN


def test_retry_gets_the_stored_response():
    """Guards against a second execution after a lost response."""
    holder = in_sync_holder()
    other = CLAIM._replace(claimant="two")
    assert holder.claim(CLAIM, clock_reading(1012.0)).result == GRANTED
    assert holder.claim(other, clock_reading(1012.1)).result == RUNNING
    holder.finish(CLAIM, RESPONSE, clock_reading(1012.2))
    assert holder.claim(other, clock_reading(1012.3)) == Reply(FINISHED, RESPONSE)


def test_claim_past_its_deadline_is_unknown():
    """Guards against replying ``running`` forever after the claimant has failed."""
    holder = in_sync_holder()
    holder.claim(CLAIM, clock_reading(1012.0))
    other = CLAIM._replace(claimant="two")
    assert holder.claim(other, clock_reading(1023.0)).result == UNKNOWN


def test_release_that_overtakes_its_claim_wins():
    """Guards against a claim that is never withdrawn when messages are reordered."""
    holder = in_sync_holder()
    holder.release(CLAIM, clock_reading(1012.0))
    assert holder.claim(CLAIM, clock_reading(1012.1)).result == RUNNING
    other = CLAIM._replace(claimant="two")
    assert holder.claim(other, clock_reading(1012.2)).result == GRANTED


def test_restarted_holder_decides_only_on_new_uuid7_keys():
    """Guards against a holder that grants claims again after losing its records."""
    holder = Holder("a", clock_reading(2000.0))
    holder.adopt(ROSTER, clock_reading(2001.0))
    holder.confirm(1, 2001.0)
    old = CLAIM._replace(created=2000.5)
    new = CLAIM._replace(created=2001.5)
    assert holder.claim(CLAIM, clock_reading(2002.0)).result == UNSYNCED
    assert holder.lookup(old, clock_reading(2002.0)).result == UNSYNCED
    assert holder.claim(new, clock_reading(2002.0)).result == GRANTED


def test_key_from_the_future_is_not_granted():
    """Guards against a key whose records would expire before the key does."""
    holder = in_sync_holder()
    future = CLAIM._replace(created=1014.0)
    assert holder.claim(future, clock_reading(1012.0)).result == UNKNOWN


def test_not_run_needs_a_quorum():
    """Guards against the outcome ``not-run`` based on the reply of a single holder."""
    assert decide([Reply(NONE)], 3).result == UNSYNCED
    assert decide([Reply(NONE), Reply(UNSYNCED)], 3).result == UNSYNCED
    assert decide([Reply(NONE), Reply(NONE)], 3).result == NONE
    assert decide([Reply(NONE), Reply(NONE), Reply(FINISHED)], 3).result == FINISHED


@given(st.floats(0, 1 << 38, exclude_max=True))
def test_uuid7_carries_its_creation_time(now):
    """Guards against parsing a creation time that differs from the real one."""
    assert abs(_keys.created_at(_keys.new_key(now)) - now) < 0.01


def test_other_keys_have_no_creation_time():
    """Guards against parsing a creation time from a key that is not a UUIDv7."""
    for key in ("", "order-7", "6ba7b810-9dad-41d1-80b4-00c04fd430c8"):
        assert _keys.created_at(key) is None

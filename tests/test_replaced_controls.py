"""Control hosts are replaced, and then as many disks are lost as must be borne."""

import pytest

from .membership_schedules import MembershipSchedule, run_schedule

KINDS = ("planned", "unannounced", "planned leader", "unannounced leader")
SHORT_SEARCH_SEEDS = range(1, 41)


def play(fleet, kinds, seed):
    """Replaces hosts one after the other and returns what is wrong at the end."""
    schedule = MembershipSchedule(seed, fleet)
    schedule.start()
    for number, kind in enumerate(kinds):
        slot = schedule.slots[number]
        if kind.endswith("leader"):
            slot = schedule.leading_slot()
        if kind.startswith("planned"):
            schedule.replace_planned(slot)
        else:
            schedule.replace_unannounced(slot)
        schedule.wait_until_nothing_is_lost()
    return schedule.finish().problems


def problems_of(fleet, kinds):
    return [problem for seed in range(8) for problem in play(fleet, kinds, seed)]


@pytest.mark.parametrize("fleet", [(3, 1), (5, 2)], ids=str)
@pytest.mark.parametrize("kind", KINDS)
def test_changes_are_readable_after_a_replacement_and_lost_disks(kind, fleet):
    """Guards against a majority that includes a host that is gone for good."""
    assert not problems_of(fleet, [kind])


@pytest.mark.parametrize("kind", KINDS)
def test_changes_are_readable_after_two_replacements_and_lost_disks(kind):
    """Guards against voters that add up with each replaced host."""
    assert not problems_of((5, 2), [kind, kind])


@pytest.mark.parametrize("kind", KINDS)
def test_changes_are_readable_after_replacements_at_the_cap_of_voters(kind):
    """Guards against successors that never vote because their predecessors do."""
    assert not problems_of((11, 2), [kind, kind])


def test_no_schedule_loses_what_was_acknowledged():
    """Guards against losses that occur only in rare orders of faults."""
    outcomes = [run_schedule(seed) for seed in SHORT_SEARCH_SEEDS]
    assert sum(outcome.acknowledged for outcome in outcomes) > 0
    failed = [outcome for outcome in outcomes if outcome.problems]
    assert not failed

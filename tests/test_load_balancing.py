"""Load balancing: choice, slow start, ejection and selection of upstreams."""

import random
from collections import namedtuple

from hypothesis import given, strategies as st

from figpick.routing._load_balancing import (
    MIN_CONSECUTIVE_FAILURES,
    SLOW_START_S,
    Health,
    choose,
    eject_failing,
    select_subset,
)

Place = namedtuple("Place", "name data_center")


@given(st.integers(1, 9), st.data())
def test_at_most_half_are_ejected(number, data):
    """Guards against a service that loses all upstreams because all of them fail."""
    healths = [Health() for _ in range(number)]
    for health in healths:
        for _ in range(data.draw(st.integers(0, 8))):
            health.record_failure(1.0)
    eject_failing(healths, 1.0)
    assert sum(health.is_ejected for health in healths) <= number // 2


def test_ejected_upstream_returns_after_a_successful_trial():
    """Guards against an upstream that stays ejected after it has recovered."""
    healths = [Health(), Health()]
    for _ in range(MIN_CONSECUTIVE_FAILURES):
        healths[0].record_failure(0.0)
    eject_failing(healths, 0.0)
    assert not healths[0].allows_call(0, 0.4)
    assert healths[0].allows_call(0, 1.0)
    assert not healths[0].allows_call(1, 1.0)
    healths[0].record_success(0.01)
    assert healths[0].allows_call(5, 1.0)


def test_weight_of_a_cold_upstream_grows_slowly():
    """Guards against full load on an upstream that has just started."""
    health = Health(cold_since=100.0)
    weights = [health.weight(100.0 + age) for age in (0, SLOW_START_S / 2)]
    assert weights[0] == 0.1
    assert 0.5 < weights[1] < 0.6
    assert health.weight(100.0 + SLOW_START_S) == 1.0


def test_candidate_with_the_highest_cost_is_never_chosen():
    """Guards against a choice that ignores the expected wait."""
    costs = {"a": 1.0, "b": 2.0, "c": 9.0}
    rng = random.Random(1)
    chosen = {choose(list(costs), costs.get, rng) for _ in range(200)}
    assert chosen == {"a", "b"}


@given(st.integers(9, 40), st.integers(0, 39))
def test_subset_is_stable_when_a_member_leaves(number, left):
    """Guards against a change of all permits when one upstream leaves."""
    members = [Place(f"m{index}", f"dc-{index % 6}") for index in range(number)]
    before = select_subset("caller", members, "dc-1", 8)
    rest = [member for member in members if member.name != f"m{left}"]
    after = select_subset("caller", rest, "dc-1", 8)
    assert len(before) == 8
    assert len(before - after) <= 1


def test_no_upstream_is_ejected_when_the_whole_service_fails():
    """Guards against losing half of the capacity after all upstreams were slow."""
    healths = [Health() for _ in range(4)]
    for health in healths:
        for _ in range(MIN_CONSECUTIVE_FAILURES):
            health.record_failure(0.0)
    assert eject_failing(healths, 0.0) == 0

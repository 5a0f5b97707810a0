"""Choice, slow start, ejection and the subset of upstreams."""

import random
from collections import namedtuple

from hypothesis import given, strategies as st

from figpick.routing._load_balancing import (
    FAILURES_IN_ROW,
    SLOW_START_S,
    Health,
    choose,
    review,
    subset,
)

Place = namedtuple("Place", "name data_center")


@given(st.integers(1, 9), st.data())
def test_at_most_half_are_ejected(number, data):
    """Guards against a service without upstreams because all of them fail."""
    healths = [Health() for _ in range(number)]
    for health in healths:
        for _ in range(data.draw(st.integers(0, 8))):
            health.fail(1.0)
    review(healths, 1.0)
    assert sum(health.is_ejected for health in healths) <= number // 2


def test_ejected_upstream_is_tried_again_and_returns():
    """Guards against an upstream that stays ejected after it has recovered."""
    healths = [Health(), Health()]
    for _ in range(FAILURES_IN_ROW):
        healths[0].fail(0.0)
    review(healths, 0.0)
    assert not healths[0].allows(0, 0.4)
    assert healths[0].allows(0, 1.0)
    assert not healths[0].allows(1, 1.0)
    healths[0].succeed(0.01)
    assert healths[0].allows(5, 1.0)


def test_cold_upstream_gets_its_share_slowly():
    """Guards against full load on an upstream that has just started."""
    health = Health(cold_since=100.0)
    weights = [health.weight(100.0 + age) for age in (0, SLOW_START_S / 2)]
    assert weights[0] == 0.1
    assert 0.5 < weights[1] < 0.6
    assert health.weight(100.0 + SLOW_START_S) == 1.0


def test_slowest_of_all_is_never_chosen():
    """Guards against a choice that ignores the expected wait."""
    costs = {"a": 1.0, "b": 2.0, "c": 9.0}
    source = random.Random(1)
    chosen = {choose(list(costs), costs.get, source) for _ in range(200)}
    assert chosen == {"a", "b"}


@given(st.integers(9, 40), st.integers(0, 39))
def test_subset_is_stable_when_a_member_leaves(number, left):
    """Guards against moving all permits when one upstream changes."""
    members = [Place(f"m{index}", f"dc-{index % 6}") for index in range(number)]
    before = subset("caller", members, "dc-1", 8)
    rest = [member for member in members if member.name != f"m{left}"]
    after = subset("caller", rest, "dc-1", 8)
    assert len(before) == 8
    assert len(before - after) <= 1


def test_service_that_fails_as_a_whole_ejects_nobody():
    """Guards against half of the capacity lost after a slow phase of all."""
    healths = [Health() for _ in range(4)]
    for health in healths:
        for _ in range(FAILURES_IN_ROW):
            health.fail(0.0)
    assert review(healths, 0.0) == 0

"""Rosters: which nodes hold the claims of a service."""

import random

from hypothesis import given, settings, strategies as st

from figpick.claims._rosters import (
    GROUP_SIZE,
    POSITION_COUNT,
    REPLACE_AFTER_S,
    Candidate,
    Rosters,
    group_holders,
    propose,
)


def candidates(count, failed=(), failed_s=REPLACE_AFTER_S):
    return [
        Candidate(f"n{i}", f"dc-{i % 3}", 100.0, failed_s if i in failed else 0.0)
        for i in range(count)
    ]


def settle(roster, nodes, now=0.0):
    for _ in range(POSITION_COUNT * 2):
        now += 10.0
        roster = propose("parts", roster, nodes, now) or roster
    return roster


def groups(roster):
    return [
        group_holders(roster["positions"], index) for index in range(POSITION_COUNT)
    ]


@settings(max_examples=100, deadline=None)
@given(st.integers(0, 1 << 32))
def test_each_group_changes_by_one_holder_at_most(seed):
    """Guards against quorums of two epochs that share no holder."""
    rng = random.Random(seed)
    roster, now = None, 0.0
    for _ in range(30):
        count = rng.randrange(1, 8)
        failed = {i for i in range(count) if rng.random() < 0.3}
        now += rng.choice((1.0, 6.0))
        proposed = propose("parts", roster, candidates(count, failed), now)
        if proposed is None:
            continue
        for old, new in zip(groups(roster or proposed), groups(proposed), strict=True):
            assert len(set(old) - set(new)) <= 1
            assert len(set(new) - set(old)) <= 1
            assert not len(old) == GROUP_SIZE > len(new)
        roster = proposed


def test_groups_spread_over_nodes_and_data_centers():
    """Guards against a group that fails with one host or data centre."""
    for count in (3, 4, 6, 7, 40):
        nodes = candidates(count)
        data_centers = {node.name: node.data_center for node in nodes}
        for group in groups(propose("parts", None, nodes, 0.0)):
            assert len(group) == GROUP_SIZE
            if count % 3 == 0:
                assert len({data_centers[name] for name in group}) == GROUP_SIZE


def test_small_service_uses_all_its_nodes():
    """Guards against a service of one or two nodes without holders."""
    assert groups(propose("parts", None, candidates(1), 0.0))[0] == ["n0"]
    assert set(groups(propose("parts", None, candidates(2), 0.0))[0]) == {"n0", "n1"}


def test_failed_node_is_replaced_after_30_s():
    """Guards against a roster that changes at each restart, or never."""
    roster = propose("parts", None, candidates(5), 0.0)
    brief = candidates(5, {1}, REPLACE_AFTER_S - 1)
    assert propose("parts", roster, brief, 100.0) is None
    roster = settle(roster, candidates(5, {1}))
    assert "n1" not in roster["positions"]


def test_holder_that_is_not_known_keeps_its_positions():
    """Guards against a new roster when a leader starts with an empty member view."""
    roster = propose("parts", None, candidates(5), 0.0)
    assert propose("parts", roster, candidates(4), 100.0) is None


def test_roster_grows_with_its_service():
    """Guards against a service that keeps the roster made for its first node."""
    roster = settle(propose("parts", None, candidates(1), 0.0), candidates(3))
    assert all(len(group) == GROUP_SIZE for group in groups(roster))


def test_older_roster_is_not_adopted():
    """Guards against a late message that reverts a roster."""
    rosters = Rosters()
    assert rosters.adopt({"service": "parts", "epoch": 2, "positions": ["a"]})
    assert not rosters.adopt({"service": "parts", "epoch": 1, "positions": ["b"]})
    assert rosters.get("parts")["positions"] == ["a"]

"""Limits on retries: the budget of a service and the grants of a root request."""

from hypothesis import given, strategies as st

from figpick.retries._retry_limits import (
    BUDGET_WINDOW_S,
    KEYED_ROOT_LIFETIME_S,
    MIN_OTHER_RETRIES,
    MIN_RETRIES_AFTER_BREAK,
    RetryBudget,
    RootRetryGrants,
)

RATIO = 0.1
EVENTS = st.lists(st.tuples(st.floats(0, 0.1), st.booleans()), max_size=400)


@given(EVENTS, st.sampled_from((MIN_RETRIES_AFTER_BREAK, MIN_OTHER_RETRIES)))
def test_budget_is_never_exceeded(events, min_retries):
    """Guards against more retries of a service than its ratio allows."""
    budget = RetryBudget()
    now, calls, retries = 0.0, [], []
    for pause_s, is_call in events:
        now += pause_s
        if is_call:
            budget.record_call(now)
            calls.append(now)
        elif budget.try_take(RATIO, min_retries, now):
            retries.append(now)
        start = now - BUDGET_WINDOW_S
        recent_calls = sum(at > start for at in calls)
        recent_retries = sum(at > start for at in retries)
        if retries and retries[-1] == now and not is_call:
            allowed = max(min_retries, RATIO * recent_calls)
            assert recent_retries <= allowed


@given(st.integers(0, 10), st.lists(st.booleans(), max_size=40))
def test_root_request_gets_no_more_than_its_grants(grants, keyed):
    """Guards against more retries than granted, also when a root request is retried."""
    root_grants = RootRetryGrants()
    root_grants.add_root("plain", grants)
    issued = {True: 0, False: 0}
    for step, is_keyed in enumerate(keyed):
        root, known = root_grants.add_keyed_root("identity", f"r{step}", grants, step)
        assert (root, known) == ("r0", step > 0)
        issued[is_keyed] += root_grants.grant(root if is_keyed else "plain", step)
    assert max(issued.values()) <= grants


def test_ended_root_request_gets_no_grant():
    """Guards against retries by executions whose root request has ended."""
    root_grants = RootRetryGrants()
    root_grants.add_root("root", 2)
    root_grants.remove_root("root")
    assert not root_grants.grant("root", 0.0)
    root_grants.add_keyed_root("identity", "keyed", 2, 0.0)
    assert not root_grants.grant("keyed", KEYED_ROOT_LIFETIME_S)

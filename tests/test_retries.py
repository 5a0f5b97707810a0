"""Retries: the budget of a service and the ledger of a root request."""

from hypothesis import given, strategies as st

from figpick.retries._retry_limits import (
    BUDGET_WINDOW_S,
    KEYED_ROOT_S,
    LEAST_AFTER_BREAK,
    LEAST_REPETITIONS,
    RetryBudget,
    RetryLedger,
)

RATIO = 0.1
EVENTS = st.lists(st.tuples(st.floats(0, 0.1), st.booleans()), max_size=400)


@given(EVENTS, st.sampled_from((LEAST_AFTER_BREAK, LEAST_REPETITIONS)))
def test_budget_is_never_exceeded(events, least):
    """Guards against a service that gets more than its share of retries."""
    budget = RetryBudget()
    now, calls, retries = 0.0, [], []
    for pause_s, is_call in events:
        now += pause_s
        if is_call:
            budget.offer(now)
            calls.append(now)
        elif budget.take(RATIO, least, now):
            retries.append(now)
        start = now - BUDGET_WINDOW_S
        recent_calls = sum(at > start for at in calls)
        recent_retries = sum(at > start for at in retries)
        if retries and retries[-1] == now and not is_call:
            allowed = max(least, RATIO * recent_calls)
            assert recent_retries <= allowed


@given(st.integers(0, 10), st.lists(st.booleans(), max_size=40))
def test_root_gets_no_more_than_its_grants(grants, keyed):
    """Guards against retries over the bound of a root, also across resends."""
    ledger = RetryLedger()
    ledger.open("plain", grants)
    issued = {True: 0, False: 0}
    for step, is_keyed in enumerate(keyed):
        root, known = ledger.open_keyed("identity", f"r{step}", grants, step)
        assert (root, known) == ("r0", step > 0)
        issued[is_keyed] += ledger.grant(root if is_keyed else "plain", step)
    assert max(issued.values()) <= grants


def test_ended_root_gets_no_grant():
    """Guards against executions that outlive their root request."""
    ledger = RetryLedger()
    ledger.open("root", 2)
    ledger.close("root")
    assert not ledger.grant("root", 0.0)
    ledger.open_keyed("identity", "keyed", 2, 0.0)
    assert not ledger.grant("keyed", KEYED_ROOT_S)

"""The learned limit follows what the upstream can run."""

from figpick.permits._concurrency_limit import (
    AdaptiveLimit,
    DownstreamCalls,
    Observation,
)

NORMAL = Observation(completed=50, own_s=0.1, rate=100.0, shed=0)


def learn(limit, seen, ticks, now):
    for _ in range(ticks):
        now += 0.1
        limit.update(seen, now)
    return now


def test_limit_falls_on_shedding_and_returns():
    """Guards against more load on an upstream that refuses, or lasting caution."""
    limit = AdaptiveLimit(40)
    now = learn(limit, NORMAL, 5, 0.0)
    now = learn(limit, NORMAL._replace(shed=3), 1, now)
    assert limit.value == 30
    learn(limit, NORMAL, 10, now)
    assert limit.value == 40


def test_limit_falls_when_service_is_slow_without_more_throughput():
    """Guards against a queue that builds up inside the upstream."""
    limit = AdaptiveLimit(40)
    now = learn(limit, NORMAL, 5, 0.0)
    learn(limit, NORMAL._replace(own_s=0.4), 10, now)
    assert 1 <= limit.value < 40


def test_slower_calls_below_do_not_lower_the_limit():
    """Guards against a limit that falls because a service below is slow."""
    calls = DownstreamCalls()
    calls.begin("e1", 1.0)
    calls.begin("e1", 1.1)
    calls.end("e1", False, 1.2)
    calls.end("e1", True, 1.5)
    assert calls.pop_total_s() == 0.5
    assert calls.count_unexplained_refusals(2, 1.6) == 1

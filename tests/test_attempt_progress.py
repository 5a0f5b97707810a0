"""Which waiting calls count as sent on a silent connection."""

from figpick.routing._attempt_progress import (
    AttemptProgress,
    Latencies,
    UpstreamAttempts,
    Verdict,
)

ROUTE = ("parts", "r1")


def flights(expected_s=0.01):
    latencies = Latencies()
    if expected_s is not None:
        latencies.observe(ROUTE, expected_s)
    return UpstreamAttempts(latencies)


def sent(table, now, fresh=False):
    flight = AttemptProgress(ROUTE, fresh, now, None)
    table.add(flight)
    return flight


def answered(table, sent_at, now, fresh=False):
    flight = sent(table, sent_at, fresh)
    table.record_response_head(flight, now)
    table.remove(flight)


def verdicts(table, now):
    return [verdict for _, verdict in table.assess(now)]


def test_three_overtaking_calls_make_a_call_suspect():
    """Guards against waiting for a silent connection until the deadline."""
    table = flights()
    sent(table, 0.0)
    for number in range(3):
        answered(table, 0.01 * number + 0.01, 0.01 * number + 0.02)
    assert verdicts(table, 0.09) == []
    assert verdicts(table, 0.11) == [Verdict.SUSPECT]
    assert verdicts(table, 0.21) == [Verdict.GIVE_UP]


def test_probe_decides_without_other_calls():
    """Guards against a silent connection that no other call exposes."""
    table = flights()
    sent(table, 0.0)
    assert verdicts(table, 0.11) == [Verdict.PROBE]
    table.record_probe(0.11)
    assert verdicts(table, 0.13) == [Verdict.SUSPECT]


def test_slow_upstream_is_not_silent():
    """Guards against giving up calls because their upstream became slow."""
    table = flights()
    sent(table, 0.0)
    sent(table, 0.12, fresh=True)
    table.record_probe(0.11)
    assert verdicts(table, 0.21) == []
    slow = flights()
    sent(slow, 0.0)
    for number in range(3):
        answered(slow, 0.01 + number * 0.01, 0.2 + number * 0.01)
    assert verdicts(slow, 0.3) == []


def test_unknown_latency_makes_no_call_suspect():
    """Guards against giving up the first call of a slow route."""
    table = flights(expected_s=None)
    sent(table, 0.0)
    table.record_probe(0.1)
    assert verdicts(table, 5.0) == []


def test_call_that_waits_for_its_caller_is_not_suspect():
    """Guards against cutting an answer that its caller reads slowly."""
    table = flights()
    flight = sent(table, 0.0)
    flight.awaits_upstream = False
    table.record_probe(0.1)
    assert verdicts(table, 5.0) == []

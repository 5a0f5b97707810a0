"""Detection of calls that wait on a silent connection."""

from figpick.routing._attempt_progress import (
    Action,
    AttemptProgress,
    Latencies,
    UpstreamAttempts,
)

ROUTE = ("parts", "r1")


def make_attempts(expected_s=0.01):
    latencies = Latencies()
    if expected_s is not None:
        latencies.observe(ROUTE, expected_s)
    return UpstreamAttempts(latencies)


def send(attempts, now, on_new_connection=False):
    attempt = AttemptProgress(ROUTE, on_new_connection, now, None)
    attempts.add(attempt)
    return attempt


def send_and_respond(attempts, sent_at, now, on_new_connection=False):
    attempt = send(attempts, sent_at, on_new_connection)
    attempts.record_response_head(attempt, now)
    attempts.remove(attempt)


def actions(attempts, now):
    return [action for _, action in attempts.overdue_attempts(now)]


def test_call_is_suspected_after_three_overtaking_calls():
    """Guards against calls that wait for a silent connection until their deadline."""
    attempts = make_attempts()
    send(attempts, 0.0)
    for number in range(3):
        send_and_respond(attempts, 0.01 * number + 0.01, 0.01 * number + 0.02)
    assert actions(attempts, 0.09) == []
    assert actions(attempts, 0.11) == [Action.SUSPECT]
    assert actions(attempts, 0.21) == [Action.GIVE_UP]


def test_probe_detects_a_silent_connection_without_other_calls():
    """Guards against a silent connection that stays undetected without other calls."""
    attempts = make_attempts()
    send(attempts, 0.0)
    assert actions(attempts, 0.11) == [Action.PROBE]
    attempts.record_probe(0.11)
    assert actions(attempts, 0.13) == [Action.SUSPECT]


def test_slow_upstream_is_not_silent():
    """Guards against giving up calls because their upstream became slow."""
    attempts = make_attempts()
    send(attempts, 0.0)
    send(attempts, 0.12, on_new_connection=True)
    attempts.record_probe(0.11)
    assert actions(attempts, 0.21) == []
    slow = make_attempts()
    send(slow, 0.0)
    for number in range(3):
        send_and_respond(slow, 0.01 + number * 0.01, 0.2 + number * 0.01)
    assert actions(slow, 0.3) == []


def test_no_call_is_suspected_without_a_known_latency():
    """Guards against giving up the first call of a slow route."""
    attempts = make_attempts(expected_s=None)
    send(attempts, 0.0)
    attempts.record_probe(0.1)
    assert actions(attempts, 5.0) == []


def test_call_that_waits_for_its_caller_is_not_suspected():
    """Guards against cutting off a response that its caller reads slowly."""
    attempts = make_attempts()
    attempt = send(attempts, 0.0)
    attempt.awaits_upstream = False
    attempts.record_probe(0.1)
    assert actions(attempts, 5.0) == []

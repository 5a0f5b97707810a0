"""Tests of the selection of hosts and services."""

from collections import Counter

import pytest

from figpick.placing import Load, Target, WeightedRoundRobin, choose, slow_call_share


def target(
    name,
    is_same_data_center=True,
    running=0,
    queued=0,
    limit=35,
    service_s=0.05,
    wait_ms=0,
):
    each = Target(name, is_same_data_center)
    each.load = Load(running, queued, limit, wait_ms, wait_ms)
    each.record_success("r", service_s, 0.0)
    return each


def test_host_of_the_same_data_center_is_chosen_with_free_capacity():
    near, far = target("near", running=10), target("far", is_same_data_center=False)
    assert choose([far, near], "r", True, 0.0) is near


def test_calls_leave_the_data_center_when_its_host_is_full():
    near = target("near", running=35, queued=60, service_s=0.1, wait_ms=170)
    far = target("far", is_same_data_center=False, service_s=0.1)
    assert choose([near, far], "r", True, 0.0) is far


def test_equal_hosts_share_the_calls():
    """Guards against filling one host to its limit while an equal host is idle."""
    hosts = [target(name, is_same_data_center=False, limit=36) for name in "ab"]
    running = dict.fromkeys("ab", 0)
    for _ in range(30):
        chosen = choose(hosts, "r", True, 0.0)
        running[chosen.name] += 1
        chosen.update_load(Load(running[chosen.name], 0, 36), 0.0)
    assert abs(running["a"] - running["b"]) <= 2


def test_host_with_free_capacity_elsewhere_is_preferred_to_a_full_one():
    """Guards against requests refused at the entry while slots are free elsewhere.

    The near host works at its limit, but its calls wait for a few milliseconds only,
    since the entry already refuses calls that would wait longer.
    """
    near = target("near", running=36, queued=13, limit=36, wait_ms=2)
    far = target("far", is_same_data_center=False, running=9, limit=36)
    assert choose([near, far], "r", True, 0.0) is far


def test_failing_host_is_avoided_and_used_again_later():
    """Guards against a host with free slots that stays unused after failures."""
    bad, good = target("bad"), target("good", is_same_data_center=False)
    for _ in range(10):
        bad.record_failure(0.0)
    assert choose([bad, good], "r", True, 0.0) is good
    assert choose([bad, good], "r", True, 10.0) is bad


def test_host_that_its_owner_reports_as_failing_is_avoided():
    """Guards against callers that each have to detect the failures themselves."""
    bad, good = target("bad"), target("good", is_same_data_center=False, running=20)
    bad.update_load(Load(0, 0, 35, failure_percent=90), 0.0)
    assert choose([bad, good], "r", True, 0.0) is good
    assert choose([bad, good], "r", True, 10.0) is bad


@pytest.mark.parametrize(
    ("running", "share"),
    [
        ([(0.2, 0.1)] * 8, 0.0),
        ([(1.0, 0.1)] * 6 + [(0.1, 0.1)] * 2, 0.75),
        ([(0.25, 0.01)] * 8, 0.0),
        ([(9.0, 0.1)] * 3, 0.0),
    ],
)
def test_slow_upstream_is_detected_by_its_running_calls(running, share):
    """Guards against detecting a slow upstream only once its responses arrive."""
    assert slow_call_share(running) == share


def test_host_that_fails_rarely_keeps_its_share():
    """Guards against a queue at one host while another one has free capacity.

    One response in fifty is a failure at a host that is otherwise free.
    """
    flaky, full = target("flaky"), target("full", running=35, queued=70, wait_ms=100)
    chosen = 0
    for number in range(500):
        now = number * 0.005
        best = choose([flaky, full], "r", True, now)
        chosen += best is flaky
        if number % 50 == 0:
            flaky.record_failure(now)
        else:
            flaky.record_success("r", 0.05, now)
    assert chosen >= 490


def test_cold_host_is_avoided():
    cold, warm = target("cold", service_s=0.1), target("warm", service_s=0.1)
    cold.cold_until = 5.0
    assert choose([cold, warm], "r", True, 1.0) is warm


def test_only_the_wait_of_the_kind_of_call_counts():
    """Guards against calls that avoid a fast host because other calls wait there."""
    fast, slow = target("fast", service_s=0.02), target("slow", service_s=0.04)
    fast.load = Load(36, 80, 36, inner_wait_ms=5, entry_wait_ms=900)
    slow.load = Load(36, 80, 36, inner_wait_ms=5, entry_wait_ms=100)
    assert choose([fast, slow], "r", True, 0.0) is fast
    assert choose([fast, slow], "r", False, 0.0) is slow


def test_calls_sent_since_the_load_report_count():
    """Guards against sending a whole burst to the host last reported as free."""
    hosts = [target("a", limit=10), target("b", limit=10)]
    taken = Counter()
    for _ in range(40):
        chosen = choose(hosts, "r", True, 0.0)
        chosen.sent_since_report += 1
        taken[chosen.name] += 1
    assert abs(taken["a"] - taken["b"]) <= 10


def test_weighted_round_robin_gives_exact_shares():
    services = WeightedRoundRobin({"a": 90, "b": 10, "c": 0})
    counts = Counter(services.next() for _ in range(200))
    assert counts == {"a": 180, "b": 20}


def test_host_that_was_slow_once_is_tried_again():
    """Guards against a host that is avoided for ever after an overload.

    The service time of a host that makes nested calls includes their waits. A host that
    got no call afterwards kept the time that it had needed during the overload, and the
    host of the same data centre got all calls until its slots were full.
    """
    near = target("near", running=30)
    far = target("far", is_same_data_center=False, service_s=0.9)
    assert choose([near, far], "r", True, 0.1) is near
    near.record_success("r", 0.2, 6.0)
    near.update_load(Load(35, 0, 35), 6.0)
    assert choose([near, far], "r", True, 6.0) is far


def test_host_of_another_data_center_is_not_tried_without_need():
    """Guards against traffic between data centres that serves no caller."""
    near = target("near", service_s=0.1)
    far = target("far", is_same_data_center=False, service_s=0.2)
    assert choose([near, far], "r", True, 60.0) is near


def test_entry_request_stays_in_its_data_center_within_its_target():
    """Guards against traffic between data centres that serves no caller.

    A response that arrives before the target of its request has its full value, so a
    faster host of another data centre does not help the caller.
    """
    near = target("near", service_s=0.24)
    far = target("far", is_same_data_center=False, service_s=0.08)
    assert choose([near, far], "r", False, 0.0, target_s=1.5) is near
    assert choose([near, far], "r", False, 0.0, target_s=0.3) is far
    near.update_load(Load(35, 20, 35, 400, 400), 0.0)
    assert choose([near, far], "r", False, 0.0, target_s=1.5) is far

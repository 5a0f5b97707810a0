"""The soak detects requests at upstreams whose end was acknowledged."""

from types import SimpleNamespace

import pytest

from bench import soak_departures
from bench.soak_departures import DepartureChecker, draw_departure
from bench.soak_responses import Window

ACKNOWLEDGED_AT = 1000.0
LOST_UNTIL = 1001.0


def observe(monkeypatch, arrived_at, is_lost=False, windows=()):
    """Returns the rules that a request at an upstream that left violates."""
    clock = SimpleNamespace(now=ACKNOWLEDGED_AT)
    monkeypatch.setattr(
        soak_departures, "time", SimpleNamespace(time=lambda: clock.now)
    )
    checker = DepartureChecker(list(windows))
    checker.record_acknowledged("i-1 5")
    if is_lost:
        clock.now = LOST_UNTIL
        checker.record_loss("i-1 5")
    clock.now = arrived_at
    checker.record_arrival("i-1 5", "a")
    checker.record_arrival("i-1 6", "a")
    requests = {"a": SimpleNamespace(node=3, sent_at=arrived_at - 0.1)}
    return [item["rule"] for item in checker.list_violations(requests)]


@pytest.mark.parametrize(
    ("arrived_at", "is_lost", "rules"),
    [
        (1002.4, False, []),
        (1002.6, False, ["DRAIN"]),
        (1007.4, True, []),
        (1007.6, True, ["DRAIN"]),
    ],
)
def test_request_after_an_acknowledged_end_is_detected(
    monkeypatch, arrived_at, is_lost, rules
):
    assert observe(monkeypatch, arrived_at, is_lost) == rules


@pytest.mark.parametrize(
    ("node", "ended_at", "rules"),
    [
        (3, 1004.9, []),
        (None, 1004.9, []),
        (4, 1004.9, ["DRAIN"]),
        (3, 999.0, ["DRAIN"]),
    ],
)
def test_only_a_disturbance_of_the_sending_node_excuses(
    monkeypatch, node, ended_at, rules
):
    windows = [Window(node, "SIGKILL", 998.0, ended_at)]
    assert observe(monkeypatch, 1005.0, windows=windows) == rules


def test_departure_depends_on_the_seed_only():
    drawn = [draw_departure(seed, [0, 2]) for seed in range(40)]
    assert drawn == [draw_departure(seed, [0, 2]) for seed in range(40)]
    departures = [each for each in drawn if each is not None]
    assert 10 < len(departures) < 40
    assert {each.upstream for each in departures} == {0, 2}
    assert {each.loss_after_s >= 0 for each in departures} == {True, False}

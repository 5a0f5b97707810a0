"""Tests that admission levels follow the load and are forwarded by route."""

import pytest
from hypothesis import given, strategies as st

from figpick.permits._admission_levels import (
    PRIORITY_BINS,
    LevelController,
    Report,
    RouteLevels,
    level_for,
    rate_above,
)


@given(
    st.lists(st.floats(0, 1000), min_size=PRIORITY_BINS, max_size=PRIORITY_BINS),
    st.floats(0.1, 10_000),
)
def test_level_admits_what_fits(rates, capacity):
    """Guards against a level that admits more than the capacity or far less."""
    level = level_for(rates, capacity)
    above = rate_above(rates, level)
    assert above <= capacity * 1.001 + 1e-6
    if sum(rates) > capacity:
        assert above >= capacity * 0.999 - 1e-6
    else:
        assert level == 0


def run_load(controller, offered, service_s, seconds, start=0.0):
    now = start
    while now < start + seconds:
        now += 0.1
        pairs = tuple((index, rate / 10) for index, rate in offered.items())
        report = Report(0.1, pairs, completed=10, latency_s=10 * service_s)
        controller.add_report("caller", report, now)
        controller.update(10, now)
    return now


def test_level_rises_in_overload_and_falls_after_it():
    """Guards against a level that does not fall after the overload."""
    controller = LevelController()
    now = run_load(controller, {4: 200, 36: 40}, 0.1, 3.0)
    assert controller.level == pytest.approx(1.25 - 65 / 800, abs=0.01)
    run_load(controller, {4: 20, 36: 10}, 0.1, 3.0, now)
    assert controller.level == 0


def test_draining_upstream_keeps_its_level_defined():
    """Guards against a division by the limit of 0, which terminated the node."""
    controller = LevelController()
    now = run_load(controller, {4: 200, 36: 40}, 0.1, 3.0)
    level = controller.level
    assert controller.update(0, now) <= level


def test_level_applies_to_routes_that_make_the_call():
    """Guards against refusals of routes that do not use the overloaded service."""
    routes = RouteLevels()
    for number in range(20):
        routes.record_call("r1", f"e{number}", ("parts", "p"))
        if number % 4 == 0:
            routes.record_call("r2", f"f{number}", ("parts", "p"))
    routes.record_executions("r1", 20)
    routes.record_executions("r2", 20)
    assert routes.levels(lambda service, route_id: 1.5) == {"r1": 1.5}

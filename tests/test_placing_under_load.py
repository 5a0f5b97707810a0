"""Tests of host selection together with admission, on a simulated load."""

import pytest

from .played_load import Burst, Simulation


@pytest.mark.parametrize(
    ("call_demand", "entry_demand"), [(0.8, 0.4), (0.8, 0.6), (1.2, 0.6), (1.5, 1.0)]
)
def test_no_request_is_refused_while_slots_are_free(call_demand, entry_demand):
    """Guards against a queue at a fast host while a slow one has free slots.

    Entry requests take long; when they counted towards the typical service time of
    nested calls, the slow host looked slower for those than it is.
    """
    calls, entries, use = Simulation(call_demand, entry_demand).run()
    assert use >= 0.95
    assert min(calls, entries) >= 0.25


def test_nothing_is_refused_below_the_capacity():
    calls, entries, _ = Simulation(0.5, 0.3).run()
    assert min(calls, entries) >= 0.97


@pytest.mark.parametrize("seed", range(4, 9))
@pytest.mark.parametrize(
    "burst", [Burst(8.0, 12.0, rate=2.5), Burst(8.0, 11.0, slowness=3.0)]
)
def test_service_is_normal_soon_after_an_overload(burst, seed):
    """Guards against an entry that stays closed after the overload has ended.

    Requests that were admitted before continue to make calls. A level that was lowered
    again until all of them had ended closed the entry, and the slots were free for a
    second or two after the burst.
    """
    simulation = Simulation(0.75, 0.05, burst, seed)
    simulation.run()
    assert simulation.served_share(5.0, 8.0) >= 0.97
    assert simulation.served_share(burst.end_s + 1.0, burst.end_s + 3.0) >= 0.95

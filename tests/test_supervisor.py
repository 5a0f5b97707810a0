"""Restarts of failing parts and their limits."""

import asyncio

import pytest

from figpick.base import _supervisor
from figpick.base._clock import Clock
from figpick.base._supervisor import RestartLimitError, Supervisor


def run(supervisor, seconds=2.0):
    async def scenario():
        async with asyncio.timeout(seconds):
            await supervisor.run()

    asyncio.run(scenario())


@pytest.fixture(autouse=True)
def no_delay(monkeypatch):
    monkeypatch.setattr(_supervisor, "RESTART_DELAY_S", 0.0)


def test_failing_part_is_restarted_without_its_neighbours():
    """Guards against one failure that stops or restarts other parts."""
    starts = {"bad": 0, "good": 0}
    tree = Supervisor("process", Clock())
    group = tree.add_group("group")

    async def bad():
        starts["bad"] += 1
        if starts["bad"] < 3:
            raise ValueError("fails twice")

    async def good():
        starts["good"] += 1

    group.add("bad", bad)
    group.add("good", good)
    run(tree)
    assert starts == {"bad": 3, "good": 1}
    assert tree.dump()["groups"]["group"] == {"bad": 2, "good": 0}


def test_part_that_always_fails_ends_the_tree():
    """Guards against a process that runs on without one of its parts."""
    tree = Supervisor("process", Clock())
    starts = []

    async def bad():
        starts.append(1)
        raise ValueError("always fails")

    tree.add_group("group").add("bad", bad)
    with pytest.raises(RestartLimitError):
        run(tree)
    per_group = _supervisor.MAX_RESTARTS + 1
    assert len(starts) == per_group * per_group


def test_periodic_tasks_share_wake_ups_and_keep_their_period():
    """Guards against processor time of an idle node that goes into wake-ups."""
    for period_s in (0.1, 0.5, 1.0):
        for step in range(200):
            now = 1000.0 + step * 0.0137
            pause_s = _supervisor.pause_s(period_s, now, step / 200)
            turn = (now + pause_s) / _supervisor.GRID_S
            assert abs(turn - round(turn)) < 1e-6
            assert 0 < pause_s <= 1.2 * period_s + _supervisor.GRID_S / 2 + 1e-6
            if period_s > _supervisor.GRID_S:
                assert pause_s >= 0.8 * period_s - _supervisor.GRID_S / 2 - 1e-6

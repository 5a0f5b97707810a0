"""Restarts of failed tasks and their limits."""

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
def no_restart_delay(monkeypatch):
    monkeypatch.setattr(_supervisor, "RESTART_DELAY_S", 0.0)


def test_failed_task_is_restarted_without_its_siblings():
    """Guards against a failed task that stops or restarts other tasks."""
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


def test_task_that_always_fails_ends_the_supervisor_tree():
    """Guards against a process that keeps running without one of its tasks."""
    tree = Supervisor("process", Clock())
    starts = []

    async def bad():
        starts.append(1)
        raise ValueError("always fails")

    tree.add_group("group").add("bad", bad)
    with pytest.raises(RestartLimitError):
        run(tree)
    max_starts = _supervisor.MAX_RESTARTS + 1
    assert len(starts) == max_starts * max_starts


def test_periodic_tasks_share_wake_ups_and_keep_their_period():
    """Guards against an idle node that spends its processor time on wake-ups."""
    for period_s in (0.1, 0.5, 1.0):
        for step in range(200):
            now = 1000.0 + step * 0.0137
            delay_s = _supervisor.next_delay_s(period_s, now, step / 200)
            grid_steps = (now + delay_s) / _supervisor.WAKE_UP_GRID_S
            assert abs(grid_steps - round(grid_steps)) < 1e-6
            assert 0 < delay_s <= 1.2 * period_s + _supervisor.WAKE_UP_GRID_S / 2 + 1e-6
            if period_s > _supervisor.WAKE_UP_GRID_S:
                assert delay_s >= 0.8 * period_s - _supervisor.WAKE_UP_GRID_S / 2 - 1e-6

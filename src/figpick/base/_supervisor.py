"""A supervisor tree that restarts failed tasks up to a restart limit."""

import asyncio
import random
from collections import deque
from math import floor

from ._errors import FigpickError
from ._logs import logger

MAX_RESTARTS = 5
RESTART_WINDOW_S = 30.0
RESTART_DELAY_S = 0.1
PERIOD_JITTER_RANGE = (0.8, 1.2)
WAKE_UP_GRID_S = 0.1

log = logger("supervisor")


def next_delay_s(period_s, now, random_share):
    """Returns the delay in seconds until the next run of a periodic task.

    Delays end at multiples of 100 ms, so that the tasks of a process share wake-ups. On
    an idle node the wake-ups cost more than the tasks themselves.

    :param period_s: period of the task in seconds.
    :param now: monotonic time in seconds.
    :param random_share: random number in [0, 1) that places the delay in the range of
        the jitter.
    """
    low, high = PERIOD_JITTER_RANGE
    due_at = now + period_s * (low + (high - low) * random_share)
    grid_steps = max(round(due_at / WAKE_UP_GRID_S), floor(now / WAKE_UP_GRID_S) + 1)
    return grid_steps * WAKE_UP_GRID_S - now


class RestartLimitError(FigpickError):
    """A supervised task failed more often than the restart limit allows."""


class Supervisor:
    """Runs tasks and restarts those that fail.

    A supervisor may be a child of another one. When one of its tasks exceeds the
    restart limit, its ``run`` raises an error and the parent restarts the whole group.

    :param name: name in log lines and in the state dump.
    :param clock: :class:`~figpick.base._clock.Clock`.
    """

    def __init__(self, name, clock):
        self.name = name
        self._clock = clock
        self._children = {}
        self._restarts = {}
        self._groups = {}

    def __repr__(self):
        return f"<Supervisor {self.name} {len(self._children)}>"

    def add(self, name, factory):
        """Adds a task as a child.

        :param factory: function that returns the coroutine to run.
        """
        self._children[name] = factory
        self._restarts[name] = deque()

    def add_group(self, name):
        """Adds a supervisor as a child.

        :return: :class:`Supervisor`.
        """
        group = self._groups[name] = Supervisor(name, self._clock)
        self.add(name, group.run)
        return group

    def add_periodic(self, name, function, period_s):
        """Adds a task that awaits ``function()`` about every ``period_s`` seconds.

        The delay is jittered, so that processes that start together do not run their
        tasks at the same time.
        """

        async def repeat():
            while True:
                await function()
                now = self._clock.monotonic()
                await asyncio.sleep(next_delay_s(period_s, now, random.random()))

        self.add(name, repeat)

    async def run(self):
        """Runs all children until cancelled.

        :raises RestartLimitError: when a child fails too often.
        """
        for times in self._restarts.values():
            times.clear()
        try:
            async with asyncio.TaskGroup() as group:
                for name, factory in self._children.items():
                    group.create_task(self._supervise(name, factory))
        except ExceptionGroup as errors:
            raise errors.exceptions[0] from None

    def dump(self):
        """Returns the number of recent restarts by child and group."""
        counts = {name: len(times) for name, times in self._restarts.items()}
        groups = {name: group.dump() for name, group in self._groups.items()}
        return {"restarts": counts, "groups": groups} if groups else counts

    async def _supervise(self, name, factory):
        while True:
            try:
                await factory()
                return
            except RestartLimitError as error:
                log.error("Group {} of {} restarts: {}.", name, self.name, error)
            except Exception:
                log.exception("Task {} of {} failed.", name, self.name)
            self._count_restart(name, self._clock.monotonic())
            await asyncio.sleep(RESTART_DELAY_S)

    def _count_restart(self, name, now):
        times = self._restarts[name]
        times.append(now)
        while now - times[0] > RESTART_WINDOW_S:
            times.popleft()
        if len(times) > MAX_RESTARTS:
            message = f"{name} failed {len(times)} times in {RESTART_WINDOW_S:.0f} s"
            raise RestartLimitError(message)

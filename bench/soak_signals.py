"""Schedule of signals of the soak test, and processes that receive them."""

import asyncio
import contextlib
import json
import os
import random
import re
import signal
import time
from pathlib import Path
from typing import NamedTuple

from bench.soak_cluster import GRACE_S, ManagedProcess

MEAN_NODE_EVENT_INTERVAL_S = 1.2
MEAN_CONTROL_EVENT_INTERVAL_S = 3.0
MIN_EVENT_INTERVAL_S = 0.2
FIRST_EVENT_AT_S = 0.7
# Runs with more nodes than this have more events.
USUAL_NODE_COUNT = 12
# Time after SIGTERM at which a process is killed, a margin longer than its grace time.
KILL_AFTER_S = GRACE_S + 1.0
RELOAD_EFFECT_S = 2.0
# Slowed processes run in short slices, so that messages take longer, as between hosts
# that are far from each other, and arrive one by one.
SLICE_PAUSE_S = (0.002, 0.03)
SLICE_RUN_S = (0.002, 0.01)
NODE_EVENTS = {
    "rolling": 5,
    "stop": 3,
    "stop-twice": 2,
    "stop-paused": 1,
    "stop-in-pause": 1,
    "stop-reloaded": 2,
    "restart-reloaded": 1,
    "restart-stopped": 2,
    "reload": 2,
    "kill": 1,
    "pause": 1,
    "reset": 1,
}
CONTROL_EVENTS = {
    "kill-leader": 4,
    "stop-leader": 3,
    "pause-leader": 1,
    "restart-all": 2,
    "restart-all-slowed": 4,
    "stop": 1,
    "reload": 1,
}


PAUSED_STOPS = ("stop-paused", "stop-in-pause")
# Times of the signals of one series, from the stop or the start of a process.
SERIES_S = (0.0, 5.5)
START_SERIES_S = (0.0, 1.5)
# A process is stopped so soon after its start.
SOON_STOP_S = (0.1, 1.5)
HANDLER_POLL_INTERVAL_S = 0.01
LOWERED_SHARE = 0.5
LOWERED_AFTER_S = (0.2, 3.5)
LOWERED_FOR_S = (0.4, 1.2)


class Event(NamedTuple):
    """Event in the schedule of a run.

    :param at_s: start, in seconds from the start of traffic.
    :param target: number of the first process.
    :param count: number of processes, signals or rounds.
    :param gap_s: seconds between them.
    :param for_s: seconds until a process that has ended is started, or of a pause.
    """

    at_s: float
    kind: str
    target: int
    count: int
    gap_s: float
    for_s: float


def draw_events(seed, seconds, control_count, node_count):
    """Returns the random events of nodes and those of control processes.

    :param seconds: duration of traffic in seconds.
    """
    rng = random.Random(f"stops {seed}")
    nodes = range(control_count, control_count + node_count)
    interval_s = MEAN_NODE_EVENT_INTERVAL_S / max(1.0, node_count / USUAL_NODE_COUNT)
    return (
        _draw(rng, seconds, NODE_EVENTS, interval_s, nodes),
        _draw(
            rng,
            seconds,
            CONTROL_EVENTS,
            MEAN_CONTROL_EVENT_INTERVAL_S,
            range(control_count),
        ),
    )


def draw_lowered_times(seed, node_events):
    """Returns when the timeout of the slow routes is lowered, and for how long.

    :return: tuples of start and duration in seconds, which do not overlap.
    """
    rng = random.Random(f"timeouts {seed}")
    times = []
    for event in node_events:
        is_stop = event.kind.startswith(("stop", "rolling", "restart"))
        at_s = round(event.at_s + rng.uniform(*LOWERED_AFTER_S), 2)
        for_s = round(rng.uniform(*LOWERED_FOR_S), 2)
        is_drawn = is_stop and rng.random() < LOWERED_SHARE
        if is_drawn and (not times or at_s > sum(times[-1])):
            times.append((at_s, for_s))
    return times


def _draw(rng, seconds, kinds, mean_interval_s, targets):
    events = []
    at_s = FIRST_EVENT_AT_S
    while at_s < seconds:
        kind = rng.choices(list(kinds), kinds.values())[0]
        target, count = rng.choice(targets), rng.randint(2, 4)
        gap_s = round(rng.choice((0.05, 0.3, 1.5)) * rng.uniform(0.7, 1.3), 2)
        for_s = rng.choice((0.0, 0.3, 1.0))
        events.append(Event(round(at_s, 2), kind, target, count, gap_s, for_s))
        at_s += MIN_EVENT_INTERVAL_S + rng.expovariate(1 / mean_interval_s)
    return events


def _wait_for_exit(pid):
    """Returns the time at which a child process exits, in Unix seconds.

    It is taken in a thread, since the event loop of the soak may be late.
    """
    # Another thread may have collected the exit code already.
    with contextlib.suppress(ChildProcessError):
        os.waitid(os.P_PID, pid, os.WEXITED | os.WNOWAIT)
    return time.time()


class SignalledProcess(ManagedProcess):
    """Process that is stopped, reloaded, paused and killed.

    :param number: number of the process.
    :param responses: :class:`~bench.soak_responses.ResponseChecker`.
    """

    def __init__(self, number, responses, *arguments):
        super().__init__(*arguments)
        self._number = number
        self._responses = responses
        # A process that is being stopped, killed or paused gets no further event.
        self.is_disturbed = False

    async def apply(self, event):
        """Applies an event, unless the process is disturbed already."""
        if self.is_disturbed:
            return
        if self.process.returncode is not None:
            self._checker.record_unexpected_exit(self.name, self.process.returncode)
            await self.start()
        if event.kind == "reload":
            for _ in range(event.count):
                self._reload()
                await asyncio.sleep(event.gap_s)
            return
        self.is_disturbed = True
        try:
            if event.kind.startswith("kill"):
                await self.kill(event.for_s)
            elif event.kind.startswith("pause"):
                await self._pause(event.for_s)
            else:
                await self._stop(event)
        finally:
            self.is_disturbed = False

    async def kill(self, for_s):
        """Kills the process and starts it again after some seconds."""
        started_at = time.time()
        self._signal(signal.SIGKILL)
        await self.process.wait()
        await asyncio.sleep(for_s)
        await self.start()
        self._record("SIGKILL", started_at, time.time())

    async def slow_down(self, for_s, rng):
        """Lets the process run only in short slices for some seconds."""
        until = time.time() + for_s
        while time.time() < until:
            self._signal(signal.SIGSTOP)
            await asyncio.sleep(rng.uniform(*SLICE_PAUSE_S))
            self._signal(signal.SIGCONT)
            await asyncio.sleep(rng.uniform(*SLICE_RUN_S))

    async def _pause(self, for_s):
        started_at = time.time()
        self._signal(signal.SIGSTOP)
        await asyncio.sleep(for_s + MIN_EVENT_INTERVAL_S)
        self._signal(signal.SIGCONT)
        self._record("SIGSTOP", started_at, time.time())

    async def _stop(self, event):
        """Stops the process and starts it again.

        Its series of signals depends only on the event.
        """
        rng = random.Random(f"{event}")
        await self._end(event, rng)
        if event.kind == "restart-stopped":
            # Before it handles signals, the first one would end it at once.
            while self.process.returncode is None and not self._handles(signal.SIGTERM):
                await asyncio.sleep(HANDLER_POLL_INTERVAL_S)
            await asyncio.sleep(rng.uniform(*SOON_STOP_S))
            await self._end(event, rng)
        elif event.kind == "restart-reloaded":
            await self._reload_in_series(event, rng, START_SERIES_S)

    async def _end(self, event, rng):
        started_at = time.time()
        if event.kind == "stop-in-pause":
            self._signal(signal.SIGSTOP)
        self._signal(signal.SIGTERM)
        exit_time = asyncio.ensure_future(
            asyncio.to_thread(_wait_for_exit, self.process.pid)
        )
        if event.kind == "stop-twice":
            await asyncio.sleep(event.gap_s)
            self._signal(signal.SIGTERM)
        elif event.kind in PAUSED_STOPS:
            await self._pause(event.for_s)
        elif event.kind == "stop-reloaded":
            await self._reload_in_series(event, rng, SERIES_S, exit_time)
        try:
            async with asyncio.timeout(started_at + KILL_AFTER_S - time.time()):
                await asyncio.shield(exit_time)
        except TimeoutError:
            self._signal(signal.SIGKILL)
        ended_at = await exit_time
        await self.process.wait()
        self._record("SIGTERM", started_at, ended_at)
        self._record_exit(started_at, ended_at)
        if event.kind not in PAUSED_STOPS:
            self._responses.record_stop(self.name, started_at, ended_at)
        await asyncio.sleep(event.for_s)
        await self.start()
        self._record("start", ended_at, time.time())

    def _record_exit(self, started_at, ended_at):
        """Records the time between the last log line and the exit."""
        *_, line = Path(self._log.name).read_bytes().splitlines() or [b"{}"]
        try:
            written_at = json.loads(line).get("t", 0.0)
        except ValueError:
            return
        if written_at > started_at:
            self._responses.record_exit(ended_at - written_at)

    async def _reload_in_series(self, event, rng, delays_s, exit_time=None):
        """Sends SIGHUP and, while it stops, SIGTERM again at random times."""
        started_at = time.time()
        for delay_s in sorted(rng.uniform(*delays_s) for _ in range(event.count)):
            await asyncio.sleep(started_at + delay_s - time.time())
            if exit_time is not None and exit_time.done():
                return
            self._reload()
            if exit_time is not None and rng.random() < 0.5:
                self._signal(signal.SIGTERM)

    def _reload(self):
        # It would end a process that does not handle or ignore it yet.
        if self._handles(signal.SIGHUP):
            self._signal(signal.SIGHUP)
        self._record("SIGHUP", time.time(), time.time() + RELOAD_EFFECT_S)

    def _handles(self, number):
        """Returns whether the process handles or ignores a signal."""
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return False
        masks = re.findall(r"^Sig(?:Ign|Cgt):\s+(\w+)", status, re.MULTILINE)
        return any(int(mask, 16) >> (number - 1) & 1 for mask in masks)

    def _record(self, kind, started_at, ended_at):
        self._responses.record_window(self._number, kind, started_at, ended_at)

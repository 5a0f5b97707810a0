"""Soak run with planned stops, kept connections and operators that race.

``python -m bench.soak SEED SECONDS stops [large]`` stops, reloads, pauses and kills
processes in series that overlap. Clients use their connections until the node closes
them, and two operators send changes again while leaders change. See ``docs/soak.md``.
"""

import asyncio
import json
import random
import re
import threading
import time
from collections import Counter

from bench.soak_changes import ChangeChecker
from bench.soak_checks import SoakChecker
from bench.soak_clients import STYLES, KeptClient
from bench.soak_cluster import GRACE_S, Cluster
from bench.soak_crowds import Crowd
from bench.soak_departures import draw_departure
from bench.soak_documents import (
    LOWERED_TIMEOUT_S,
    ROUTE_TIMEOUT_S,
    SERVICES,
    SLOW_TIMEOUT_S,
)
from bench.soak_memory import measure_lag, measure_memory, measure_thread_lag
from bench.soak_notices import draw_notices
from bench.soak_operators import Operators
from bench.soak_probes import Probes
from bench.soak_replacements import (
    CATCH_UP_S,
    DISK_EVENTS,
    Replacements,
    draw_disk_events,
)
from bench.soak_responses import APPLY_S, STABLE_S, ResponseChecker
from bench.soak_signals import (
    Event,
    SignalledProcess,
    draw_events,
    draw_lowered_times,
)
from bench.soak_strangers import draw_strangers
from bench.soak_upstreams import WorkingStandIn, draw_behaviours

USUAL_SIZE = (3, 4)
LARGE_SIZE = (5, 60)
# Clients of one node in a large run.
LARGE_STYLES = ("pipelined", "eager", "slow", "long")
STARTUP_TIMEOUT_S = 30.0
RECOVERY_TIMEOUT_S = 15.0
MEAN_CLIENT_GAP_S = 0.08
MEAN_LARGE_CLIENT_GAP_S = 0.5
# A control process that has started again takes part in the quorum after this time.
REJOIN_S = 0.7
# Control processes that are killed together are back within a second.
MAX_CONTROL_DOWN_S = 0.3
LATE_START_S = 0.9
# Restarted processes are slowed once they run, while they elect a leader.
SLOWED_AFTER_S = 0.3
SLOWED_S = 1.2


class StopSoak:
    """One run with planned stops.

    :param seed: seed of the schedule.
    :param seconds: duration of traffic, in seconds.
    :param folder: folder for settings, logs and data.
    :param is_large: whether the run has more processes.
    """

    def __init__(self, seed, seconds, folder, is_large=False):
        self._seed = seed
        self._seconds = seconds
        self._folder = folder
        self._is_large = is_large
        controls, nodes = LARGE_SIZE if is_large else USUAL_SIZE
        self._cluster = Cluster(folder, controls, SERVICES * (nodes // 2))
        self._checker = SoakChecker()
        self.responses = ResponseChecker(self._hosts, self._route_timeout_s)
        self.changes = ChangeChecker(
            self.responses.is_disturbed, self.responses.service_of
        )
        addresses = [self._cluster.address(n, "control") for n in range(controls)]
        self._operators = Operators(seed, addresses, self.changes)
        self._processes = []
        # Held while control processes are disturbed.
        self._control_lock = asyncio.Lock()
        self._replacements = Replacements(
            seed,
            self._cluster,
            self._processes,
            addresses,
            self._checker,
            self.responses,
        )
        self._probes = Probes(
            seed,
            self._cluster,
            self._checker,
            self.responses,
            self.changes,
            self._operators,
        )
        self._upstreams = []
        self._memory_kb = {}
        self._crowds = [
            Crowd(seed, number, self._cluster.address(number, "outbound"), SERVICES[0])
            for number in self._cluster.node_numbers
        ]

    @property
    def _controls(self):
        return self._processes[: self._cluster.control_count]

    async def run(self):
        """Runs the schedule; the checkers then hold the observations."""
        cluster = self._cluster
        node_events, control_events = draw_events(
            self._seed, self._seconds, cluster.control_count, len(cluster.services)
        )
        disk_events = draw_disk_events(self._seed, self._seconds, cluster.control_count)
        control_events = sorted((*control_events, *disk_events))
        for event in (*node_events, *control_events):
            print(json.dumps(event._asdict()), flush=True)
        lowered_times = draw_lowered_times(self._seed, node_events)
        print(json.dumps({"lowered": lowered_times}), flush=True)
        notices = draw_notices(self._seed, self._seconds, len(cluster.services))
        print(json.dumps({"notices": notices}), flush=True)
        leaving = {notice.upstream for notice in notices if not notice.limit}
        departure = draw_departure(
            self._seed, sorted(set(range(len(cluster.services))) - leaving)
        )
        print(json.dumps({"departure": departure}), flush=True)
        strangers = draw_strangers(self._seed, self._seconds, len(cluster.services))
        print(json.dumps({"strangers": strangers}), flush=True)
        try:
            if await self._start():
                await self._run_traffic(
                    node_events,
                    control_events,
                    lowered_times,
                    notices,
                    departure,
                    strangers,
                )
        finally:
            for process in (*self._processes, *self._replacements.previous):
                await process.close()
            for upstream in self._upstreams:
                upstream.stop()

    def list_violations(self):
        """Prints each violation and returns their number by rule and text."""
        violations = self.responses.list_violations() + self.changes.list_violations()
        for violation in violations:
            print(json.dumps(violation), flush=True)
        counts = Counter(f"{item['rule']}: {item['text']}" for item in violations)
        broken = [f"{text} ({count})" for text, count in sorted(counts.items())]
        return self._checker.list_violations() + broken

    def summary(self):
        """Returns the figures of the run."""
        figures = {"max_lag_s": round(self.responses.max_lag_s, 2)}
        figures["max_memory_mb"] = max(self._memory_kb.values(), default=0) // 1000
        figures |= self.responses.notices.summary()
        figures |= self.responses.departures.summary()
        figures["crowd"] = sum(crowd.opened for crowd in self._crowds)
        figures["replaced"] = self._replacements.count
        return self.responses.summary() | self.changes.summary() | figures

    def _hosts(self, service):
        numbers = self._cluster.node_numbers
        if service not in SERVICES:
            return list(numbers)
        return [
            number for number in numbers if self._cluster.service(number) == service
        ]

    def _route_timeout_s(self, request):
        if "/slow/" not in request.path:
            return ROUTE_TIMEOUT_S
        # Nodes that were disturbed may use older versions for longer.
        since = request.sent_at - APPLY_S - STABLE_S
        return self.changes.slow_timeout_s(since, request.ended_at)

    async def _start(self):
        cluster = self._cluster
        for number in range(cluster.count):
            self._processes.append(
                cluster.make_process(
                    number, self._checker, SignalledProcess, number, self.responses
                )
            )
        behaviours = draw_behaviours(self._seed, cluster.services)
        for number in cluster.node_numbers:
            address = cluster.address(number, "app")
            control = cluster.address(number, "control")
            names = (cluster.service(number), address, address, control)
            upstream = WorkingStandIn(
                self._seed,
                number,
                behaviours[number - cluster.control_count],
                cluster.address(number, "outbound"),
                self.responses,
                *names,
                self._checker,
            )
            await upstream.start()
            self._upstreams.append(upstream)
        await asyncio.gather(*(process.start() for process in self._processes))
        try:
            async with asyncio.timeout(STARTUP_TIMEOUT_S):
                await self._operators.start()
        except TimeoutError:
            self._checker.record_failed_start(STARTUP_TIMEOUT_S)
            return False
        return await self._probes.wait_for_service(STARTUP_TIMEOUT_S)

    async def _run_traffic(
        self,
        node_events,
        control_events,
        lowered_times,
        notices,
        departure,
        strangers,
    ):
        started_at = time.time()
        clients_until = started_at + self._seconds + GRACE_S
        tasks = [
            asyncio.ensure_future(coroutine)
            for coroutine in (
                self._operators.run(),
                self._probes.probe_changes(),
                self._lower_timeouts(lowered_times, started_at),
                *(client.run(clients_until) for client in self._make_clients()),
                *(crowd.run(clients_until) for crowd in self._crowds),
            )
        ]
        has_ended = threading.Event()
        measurements = [
            asyncio.ensure_future(
                asyncio.to_thread(measure_thread_lag, self.responses, has_ended)
            ),
            asyncio.ensure_future(measure_lag(self.responses)),
            asyncio.ensure_future(
                measure_memory(self._processes, self.responses, self._memory_kb)
            ),
        ]
        await asyncio.gather(
            *(self._apply(event, started_at) for event in node_events),
            self._apply_control_events(control_events, started_at),
            *(self._apply_notice(notice, started_at) for notice in notices),
            self._apply_departure(departure, started_at),
            *(self._send_stranger(stranger, started_at) for stranger in strangers),
        )
        self._operators.is_stopped = True
        await asyncio.gather(*tasks)
        await self._probes.wait_for_service(RECOVERY_TIMEOUT_S)
        await asyncio.sleep(STABLE_S)
        for number in self._cluster.node_numbers:
            await self._probes.probe_change(number, self._operators.newest.number)
        await self._read_back()
        has_ended.set()
        for measurement in measurements:
            measurement.cancel()

    async def _read_back(self):
        """Reads the configuration after a last loss of disks."""
        await asyncio.sleep(CATCH_UP_S)
        lost = await self._replacements.lose_disks_at_the_end()
        print(json.dumps({"lost disks": lost}), flush=True)
        started_at = time.time()
        try:
            async with asyncio.timeout(RECOVERY_TIMEOUT_S):
                await self._operators.wait_until_read()
        except TimeoutError:
            self.changes.record_unreadable(time.time() - started_at)
        await self._operators.read_final()

    async def _lower_timeouts(self, lowered_times, started_at):
        """Lowers the timeout of the slow routes, mostly in the middle of a stop."""
        for at_s, for_s in lowered_times:
            await asyncio.sleep(started_at + at_s - time.time())
            self._operators.slow_timeout_s = LOWERED_TIMEOUT_S
            await asyncio.sleep(for_s)
            self._operators.slow_timeout_s = SLOW_TIMEOUT_S

    def _make_clients(self):
        styles = LARGE_STYLES if self._is_large else STYLES
        gap_s = MEAN_LARGE_CLIENT_GAP_S if self._is_large else MEAN_CLIENT_GAP_S
        for number in self._cluster.node_numbers:
            address = self._cluster.address(number, "outbound")
            for index, style in enumerate(styles):
                name = f"s{self._seed}-{number}-{index}"
                yield KeptClient(name, number, address, style, self.responses, gap_s)

    async def _apply(self, event, started_at):
        await asyncio.sleep(started_at + event.at_s - time.time())
        first, nodes = self._cluster.control_count, len(self._cluster.services)
        if event.kind == "reset":
            now = time.time()
            self.responses.record_window(event.target, event.kind, now, now)
            self._upstreams[event.target - first].reset()
            return
        tasks = []
        for step in range(event.count if event.kind == "rolling" else 1):
            process = self._processes[first + (event.target - first + step) % nodes]
            tasks.append(asyncio.ensure_future(process.apply(event)))
            await asyncio.sleep(event.gap_s)
        await asyncio.gather(*tasks)

    async def _apply_notice(self, notice, started_at):
        await asyncio.sleep(started_at + notice.at_s - time.time())
        await self._upstreams[notice.upstream].apply(notice)

    async def _apply_departure(self, departure, started_at):
        if departure is not None:
            await asyncio.sleep(started_at + departure.at_s - time.time())
            await self._upstreams[departure.upstream].depart(departure, self._lose_all)

    async def _send_stranger(self, stranger, started_at):
        await asyncio.sleep(started_at + stranger.at_s - time.time())
        await self._upstreams[stranger.upstream].meet(stranger)

    async def _lose_all(self, down_for_s):
        """Kills all processes but nodes that are disturbed already."""
        async with self._control_lock:
            started_at = time.time()
            event = Event(0.0, "kill", 0, 1, 0.0, down_for_s)
            await asyncio.gather(*(process.apply(event) for process in self._processes))
            await self._operators.wait_until_read()
            self.responses.record_window(None, "outage", started_at, time.time())

    async def _apply_control_events(self, events, started_at):
        """Applies the events of control processes, one after another."""
        for event in events:
            await asyncio.sleep(max(0.0, started_at + event.at_s - time.time()))
            if event.kind == "reload":
                await self._processes[event.target].apply(event)
                continue
            async with self._control_lock:
                await self._apply_control_event(event)

    async def _apply_control_event(self, event):
        if event.kind.startswith(DISK_EVENTS):
            await self._replace(event)
            return
        for _ in range(event.count if event.kind.startswith("restart") else 1):
            await self._operators.resend_during(lambda: self._disturb(event))

    async def _replace(self, event):
        is_leader = event.kind.endswith("leader")
        number = self._leader() if is_leader else event.target
        await self._replacements.apply(event, number)

    async def _disturb(self, event):
        event = event._replace(for_s=min(event.for_s, MAX_CONTROL_DOWN_S))
        if event.kind.startswith("restart"):
            started_at = time.time()
            if event.kind == "restart-all":
                await asyncio.gather(*(p.kill(event.for_s) for p in self._controls))
            else:
                await self._restart_slowed(event)
            await self._operators.wait_until_read()
            self.responses.record_window(None, "outage", started_at, time.time())
        elif event.kind == "stop":
            await self._processes[event.target].apply(event)
        else:
            for _ in range(event.count):
                await self._processes[self._leader()].apply(event)
                await asyncio.sleep(REJOIN_S)

    async def _restart_slowed(self, event):
        """Kills all control processes and slows them while they elect a leader.

        One is not slowed and likely to lead, with a quorum that is just complete: the
        others start a little later.
        """
        rng = random.Random(f"slices {self._seed} {event.at_s}")
        controls = self._controls[event.target :] + self._controls[: event.target]
        quorum = len(controls) // 2 + 1

        async def restart_slowed(process):
            await process.kill(0.0)
            await asyncio.sleep(SLOWED_AFTER_S)
            await process.slow_down(SLOWED_S, rng)

        await asyncio.gather(
            controls[0].kill(0.0),
            *(restart_slowed(process) for process in controls[1:quorum]),
            *(process.kill(LATE_START_S) for process in controls[quorum:]),
        )

    def _leader(self):
        """Returns the number of the control process that last became leader."""
        newest = (0, self._cluster.ip(0))
        for process in self._controls:
            text = (self._folder / f"{process.name}.log").read_text(errors="replace")
            for term, ip in re.findall(r"Leader of term (\d+) is ([\d.]+):", text):
                newest = max(newest, (int(term), ip))
        return int(newest[1].split(".")[2])

"""A played load: admission, queues and placing of a deep service with several hosts.

Requests start at a service above and make calls in sequence; entry requests start at
the deep service itself. Used by tests of decisions that depend on each other.
"""

import heapq
import random
from types import SimpleNamespace
from typing import NamedTuple

from figpick.admission import AdmissionQueue, EntryThrottle, Refusal, Ticket
from figpick.placing import Load, Target, choose

# Service times of a call at the two hosts of the deep service.
SERVICE_S = (0.056, 0.024)
CALLS = 4
# An entry request takes as long as this many nested calls.
ENTRY_CALLS = 12
SECONDS = 25.0
MEASURED_FROM_S = 5.0


class Burst(NamedTuple):
    """A time in which more requests arrive, or in which the hosts are slower.

    :param start_s: start in seconds.
    :param end_s: end in seconds.
    :param rate: factor of the rate of requests.
    :param slowness: factor of the service times.
    """

    start_s: float
    end_s: float
    rate: float = 1.0
    slowness: float = 1.0


NO_BURST = Burst(0.0, 0.0)


class Simulation:
    """Simulates two kinds of requests of one priority at hosts of different speed.

    Requests of one kind start at a service above and make four nested calls; the
    others are entry requests of the service. Most callers are in the data centre of
    the slow host.

    :param call_demand: demand of the nested calls, as a share of the hosts' capacity.
    :param entry_demand: demand of the entry requests, as a share of the same capacity.
    :param burst: :class:`Burst`.
    :param seed: seed of the arrivals.
    """

    def __init__(self, call_demand, entry_demand, burst=NO_BURST, seed=4):
        self._rng = random.Random(seed)
        self._burst = burst
        self._queues = [AdmissionQueue(), AdmissionQueue()]
        for queue in self._queues:
            queue.set_slots(38)
        capacity = sum(
            queue.limit / (CALLS * service_s)
            for queue, service_s in zip(self._queues, SERVICE_S, strict=True)
        )
        # Requests per second.
        self._rates = {
            "calls": call_demand * capacity,
            "entry": entry_demand * capacity * CALLS / ENTRY_CALLS,
        }
        self._callers = [
            SimpleNamespace(
                targets=[Target("slow", near_slow), Target("fast", not near_slow)],
                throttle=EntryThrottle(),
            )
            for near_slow in (True, True, True, False)
        ]
        self._events = []
        self._number = 0
        self._served = {"calls": 0, "entry": 0}
        self._arrived_at = []
        self._served_at = []
        self._used_s = 0.0

    def run(self):
        """Runs the simulation to its end.

        :return: tuple of the served shares of both kinds and the use of the slots.
        """
        for kind in self._rates:
            self._push(0.0, kind, None)
        while self._events and self._events[0][0] < SECONDS:
            now, _, kind, ticket = heapq.heappop(self._events)
            if kind == "done":
                self._finish(ticket, now)
            else:
                self._arrive(kind, now)
        seconds = SECONDS - MEASURED_FROM_S
        calls, entries = (
            self._served[kind] / (rate * seconds) for kind, rate in self._rates.items()
        )
        slots = sum(queue.limit for queue in self._queues)
        return calls, entries, self._used_s / (slots * seconds)

    def served_share(self, start_s, end_s):
        """Returns the share of the requests that were served.

        :param start_s: start of the interval in which the requests arrived.
        :param end_s: end of the interval.
        """
        arrived = sum(start_s <= at < end_s for at in self._arrived_at)
        served = sum(start_s <= at < end_s for at in self._served_at)
        return served / arrived

    def _is_in_burst(self, now):
        return self._burst.start_s <= now < self._burst.end_s

    def _push(self, at, kind, subject):
        self._number += 1
        heapq.heappush(self._events, (at, self._number, kind, subject))

    def _arrive(self, kind, now):
        rate = self._rates[kind] * (self._burst.rate if self._is_in_burst(now) else 1.0)
        self._push(now + self._rng.expovariate(rate), kind, None)
        caller, key = self._rng.choice(self._callers), self._rng.random()
        is_nested = kind == "calls"
        if is_nested:
            self._arrived_at.append(now)
        if is_nested and not caller.throttle.admits(key, now):
            return
        request = SimpleNamespace(
            kind=kind,
            is_nested=is_nested,
            caller=caller,
            key=key,
            left=CALLS if is_nested else 1,
            arrived_at=now,
            end=now + 1.2,
            levels=[],
        )
        self._begin_call(request, now)

    def _begin_call(self, request, now):
        is_nested, targets = request.is_nested, request.caller.targets
        target = choose(targets, request.kind, is_nested, now)
        target.sent_since_report += 1
        index = targets.index(target)
        rank, end = 4 if is_nested else 5, request.end
        subject = request, index
        ticket = Ticket(subject, rank, is_nested, request.kind, end, end, request.key)
        outcome = self._queues[index].offer(ticket, now)
        if outcome is None:
            self._push(now + self._service_s(request, index, now), "done", ticket)
        elif isinstance(outcome, Refusal):
            self._fail(request, index, now)

    def _service_s(self, request, index, now):
        service_s = SERVICE_S[index] * (1 if request.is_nested else ENTRY_CALLS)
        return service_s * (self._burst.slowness if self._is_in_burst(now) else 1.0)

    def _report(self, request, index, now):
        queue = self._queues[index]
        request.levels.append(queue.level(4, now))
        inner_s, entry_s = queue.backlog_waits_s(now)
        waits = int(inner_s * 1000), int(entry_s * 1000)
        load = Load(queue.running, queue.queued, queue.limit, *waits)
        request.caller.targets[index].update_load(load, now)

    def _fail(self, request, index, now):
        self._report(request, index, now)
        self._observe(request)

    def _observe(self, request):
        if request.is_nested:
            level = sum(request.levels) / len(request.levels)
            request.caller.throttle.observe(level)

    def _finish(self, ticket, now):
        request, index = ticket.call
        queue, service_s = self._queues[index], now - ticket.started_at
        queue.finish(ticket, now)
        is_measured = now > MEASURED_FROM_S
        self._used_s += service_s if is_measured else 0.0
        request.caller.targets[index].record_success(request.kind, service_s, now)
        self._report(request, index, now)
        request.left -= 1
        if not request.left:
            self._served[request.kind] += is_measured
            if request.is_nested:
                self._served_at.append(request.arrived_at)
            self._observe(request)
        elif now < request.end:
            self._begin_call(request, now)
        for started in queue.start_ready(now)[0]:
            due = now + self._service_s(started.call[0], index, now)
            self._push(due, "done", started)
        for expired in queue.remove_expired(now):
            self._fail(*expired.call, now)

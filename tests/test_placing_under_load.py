"""Choice of the host and admission together, on a played load."""

import heapq
import random
from types import SimpleNamespace

import pytest

from figpick.admission import AdmissionQueue, EntryThrottle, Refusal, Ticket
from figpick.placing import Load, Target, choose

# Service times of a call at the two hosts of the deep service.
SERVICE_S = (0.056, 0.024)
CALLS = 4
# A request that starts at the service takes as long as this many calls.
ENTRY_CALLS = 12
SECONDS = 25.0
MEASURED_FROM_S = 5.0


def play(asked, asked_by_entries):
    """Plays two kinds of requests of one urgency against hosts of different speed.

    One kind starts above and makes four calls, the other one starts at the service.
    Most callers are in the data centre of the slow host.

    :param asked: what the calls ask for, in parts of what the hosts can serve.
    :param asked_by_entries: what the requests that start there ask for.
    :return: tuple of the served parts of both kinds and of the use of the slots.
    """
    rng = random.Random(4)
    queues = [AdmissionQueue(), AdmissionQueue()]
    for queue in queues:
        queue.set_slots(38)
    capacity = sum(
        queue.limit / (CALLS * service_s)
        for queue, service_s in zip(queues, SERVICE_S, strict=True)
    )
    callers = [
        SimpleNamespace(
            targets=[Target("slow", near_slow), Target("fast", not near_slow)],
            throttle=EntryThrottle(),
        )
        for near_slow in (True, True, True, False)
    ]
    events, number = [], 0
    served, used_s = {"calls": 0, "entry": 0}, 0.0

    def push(at, kind, subject):
        nonlocal number
        number += 1
        heapq.heappush(events, (at, number, kind, subject))

    def load(index, now):
        queue = queues[index]
        inner_s, entry_s = queue.waits_s(now)
        waits = int(inner_s * 1000), int(entry_s * 1000)
        return Load(queue.running, queue.queued, queue.limit, *waits)

    def end(request, index, now):
        request.levels.append(queues[index].level(4, now))
        request.caller.targets[index].report(load(index, now), now)

    def service_s(request, index):
        return SERVICE_S[index] * (1 if request.is_inner else ENTRY_CALLS)

    def begin_call(request, now):
        is_inner = request.is_inner
        rank, route = (4, "deep") if is_inner else (5, "entry")
        target = choose(request.caller.targets, route, is_inner, now)
        index = request.caller.targets.index(target)
        target.sent += 1
        end_at = request.end
        ticket = Ticket(request, rank, is_inner, route, end_at, end_at, request.key)
        outcome = queues[index].offer(ticket, now)
        ticket.call = (request, index)
        if outcome is None:
            push(now + service_s(request, index), "done", ticket)
        elif isinstance(outcome, Refusal):
            fail(request, index, now)

    def fail(request, index, now):
        end(request, index, now)
        observe(request)

    def observe(request):
        if request.is_inner:
            level = sum(request.levels) / len(request.levels)
            request.caller.throttle.observe(level)

    def arrive(kind, now):
        rate = asked * capacity
        if kind == "entry":
            rate = asked_by_entries * capacity * CALLS / ENTRY_CALLS
        push(now + rng.expovariate(rate), kind, None)
        caller, key = rng.choice(callers), rng.random()
        is_inner = kind == "calls"
        if not is_inner or caller.throttle.admits(key, now):
            request = SimpleNamespace(caller=caller, key=key, end=now + 1.2, levels=[])
            request.is_inner = is_inner
            request.left = CALLS if is_inner else 1
            begin_call(request, now)

    push(0.0, "calls", None)
    push(0.0, "entry", None)
    while events and events[0][0] < SECONDS:
        now, _, kind, ticket = heapq.heappop(events)
        if kind != "done":
            arrive(kind, now)
            continue
        request, index = ticket.call
        queues[index].finish(ticket, now)
        is_measured = now > MEASURED_FROM_S
        used_s += service_s(request, index) if is_measured else 0.0
        target = request.caller.targets[index]
        target.served(ticket.route, service_s(request, index), now)
        end(request, index, now)
        request.left -= 1
        if not request.left:
            served["calls" if request.is_inner else "entry"] += is_measured
            observe(request)
        elif now < request.end:
            begin_call(request, now)
        for started in queues[index].take_ready(now)[0]:
            push(now + service_s(started.call[0], index), "done", started)
        for late in queues[index].take_late(now):
            fail(*late.call, now)
    seconds = SECONDS - MEASURED_FROM_S
    entries = served["entry"] * ENTRY_CALLS / CALLS
    return (
        served["calls"] / (asked * capacity * seconds),
        entries / (asked_by_entries * capacity * seconds),
        used_s / (sum(queue.limit for queue in queues) * seconds),
    )


@pytest.mark.parametrize(
    ("asked", "asked_by_entries"), [(0.8, 0.4), (0.8, 0.6), (1.2, 0.6), (1.5, 1.0)]
)
def test_no_request_is_refused_while_slots_are_free(asked, asked_by_entries):
    """Guards against a fast host with a queue beside a slow one with free slots.

    Requests that start at the service take long; counted into the usual time of a
    call they made the slow host look slower for calls than it is.
    """
    calls, entries, use = play(asked, asked_by_entries)
    assert use >= 0.95
    assert min(calls, entries) >= 0.25


def test_nothing_is_refused_below_the_capacity():
    calls, entries, _ = play(0.5, 0.3)
    assert min(calls, entries) >= 0.97

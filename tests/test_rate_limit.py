"""Limits of the requests per second that an upstream takes."""

import pytest

from figpick.admission import AdmissionQueue, Refusal, Ticket
from figpick.admission._rate_limit import RateLimit
from figpick.placing import Load, Target, choose
from figpick.wire import DEFAULT_HEADERS, read_notice

from .limited_upstreams import WINDOW_S, allowed, worst_window


def start_all(limit, times):
    """Returns the times at which requests start that wait at all times."""
    started = []
    for now in times:
        while limit.has_room(now):
            limit.take(now)
            started.append(now)
    return started


@pytest.mark.parametrize("per_s", [0.0, 0.3, 1.3, 12.0, 25.0, 400.0])
@pytest.mark.parametrize("pause_s", [0.0, 0.5, 3.0, 60.0])
def test_any_window_stays_within_the_limit_and_uses_it(per_s, pause_s):
    """Guards against a burst after a pause, on top of the rate of the limit."""
    limit = RateLimit()
    limit.set(per_s, 100.0)
    times = [100.0 + 0.002 * n for n in range(4000)]
    times += [108.0 + pause_s + 0.002 * n for n in range(4000)]
    started = start_all(limit, times)
    assert worst_window(started) <= allowed(per_s)
    assert worst_window(started) <= 1.1 * per_s * WINDOW_S + 2
    assert len(started) >= 0.9 * per_s * 16.0 - 2


def test_limit_of_nothing_still_lets_a_request_through():
    """Guards against a limit whose end is never seen, since nothing is sent."""
    limit = RateLimit()
    limit.set(0.0, 0.0)
    assert start_all(limit, [0.1 * n for n in range(100)])


@pytest.mark.parametrize("raised", [15.0, None, 2.0])
def test_changed_limit_leaves_no_burst(raised):
    limit = RateLimit()
    limit.set(10.0, 0.0)
    start_all(limit, [0.01 * n for n in range(100)])
    limit.set(raised, 1.0)
    limit.set(10.0, 1.001)
    started = start_all(limit, [1.01 + 0.01 * n for n in range(100)])
    assert len(started) <= 11


@pytest.mark.parametrize(
    ("values", "rate_limit"),
    [
        ([b"25"], 25.0),
        ([b"1.3"], 1.3),
        ([b" 0.5 "], 0.5),
        ([b".5"], 0.5),
        ([b"0"], 0.0),
        ([b"30", b"20"], 20.0),
        ([b"x", b"20"], 20.0),
        ([b""], None),
        ([b"-1"], None),
        ([b"nan"], None),
        ([b"inf"], None),
        ([b"1e9"], None),
        ([b"0x10"], None),
        ([b"1,5"], None),
        ([b"ten"], None),
        ([b"9" * 400], None),
        ([b"\xd9\xa1"], None),
    ],
)
def test_only_decimal_numbers_are_limits(values, rate_limit):
    """Guards against a value that no limit can be made of."""
    headers = [(b"Figpick-Rate-Limit", value) for value in values]
    notice = read_notice(headers, DEFAULT_HEADERS)
    assert notice.rate_limit == rate_limit
    assert (notice.invalid_limit is not None) == (
        rate_limit is None or len(values) > 1 and values[0] == b"x"
    )


def make_ticket(rank, now, is_nested=False, key=0.0):
    return Ticket(None, rank, is_nested, "route", now + 2.0, now + 2.0, key)


def limited_queue(per_s):
    queue = AdmissionQueue()
    queue.set_slots(100)
    queue.set_rate_limit(per_s, 0.0)
    return queue


def test_waiting_calls_start_in_the_order_of_their_rank():
    """Guards against a limit that is used for the less important calls."""
    queue = limited_queue(10.0)
    ranks = (5, 1, 5, 0, 1, 4)
    for number, rank in enumerate(ranks):
        queue.offer(make_ticket(rank, 0.0, is_nested=rank % 2 == 0, key=number), 0.0)
    started = []
    for step in range(1, 80):
        started += queue.start_ready(0.01 * step)[0]
    assert [ticket.rank for ticket in started] == sorted(ranks)


def test_call_that_cannot_get_its_turn_is_refused_at_once():
    """Guards against calls that wait in vain, and says when the next turn is."""
    queue = limited_queue(2.0)
    outcomes = [queue.offer(make_ticket(5, 0.0), 0.0) for _ in range(10)]
    refusals = [outcome for outcome in outcomes if isinstance(outcome, Refusal)]
    assert 2 <= len(outcomes) - len(refusals) <= 3
    assert all(1.0 < refusal.retry_after_s < 3.0 for refusal in refusals)
    assert not isinstance(queue.offer(make_ticket(1, 0.0), 0.0), Refusal)


def test_nested_calls_lower_the_level_of_a_limited_upstream():
    """Guards against entries that admit requests whose nested calls get no turn."""
    queue = limited_queue(5.0)
    for step in range(200):
        now = 0.01 * step
        queue.offer(make_ticket(4, now, True, step / 200), now)
        queue.start_ready(now)
        level = queue.level(4, now)
    assert level < 0.3


def test_queue_without_a_limit_starts_calls_at_once():
    queue = limited_queue(5.0)
    queue.offer(make_ticket(5, 0.0), 0.0)
    assert queue.next_start_s(0.0) == pytest.approx(0.2)
    queue.set_rate_limit(None, 0.1)
    assert queue.next_start_s(0.1) is None
    assert len(queue.start_ready(0.1)[0]) == 1


def test_host_that_limits_its_rate_is_chosen_again_when_its_turn_comes():
    """Guards against a limited host that is flooded, or avoided forever."""
    free, limited = Target("free", False), Target("limited", True)
    for target in (free, limited):
        target.record_success("route", 0.1, 0.0)
    free.update_load(Load(0, 0, 100), 0.0)
    limited.update_load(Load(0, 0, 100, rate_limit=2.0, rate_wait_ms=900), 0.0)
    assert choose([free, limited], "route", False, 0.1) is free
    assert choose([free, limited], "route", False, 0.95) is limited
    limited.sent_since_report = 2
    assert choose([free, limited], "route", False, 0.95) is free

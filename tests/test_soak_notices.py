"""Checks of the limits and leaving upstreams of the soak run."""

import time

import pytest

from bench.soak_clients import Request
from bench.soak_notices import NoticeChecker, draw_notices
from bench.soak_responses import Window

NAMED_AT = 1000.0


def observe(
    monkeypatch, per_s, told_at=NAMED_AT, header="server-limit", windows=(), seconds=12
):
    """Returns the violations of requests at a steady rate through node 3."""
    checker = NoticeChecker(list(windows))
    now = [told_at]
    monkeypatch.setattr(time, "time", lambda: now[0])
    checker.record_told(3, {header: "10", "instance-id": "i-1"})
    if header == "server-limit":
        checker.record_limit("i-1", 10.0, NAMED_AT, NAMED_AT + seconds)
    requests = {}
    for number in range(int(per_s * seconds)):
        now[0] = NAMED_AT + number / per_s
        request = Request(f"a{number}", 3, "steady", "GET", "/front/get/a")
        request.sent_at = now[0]
        requests[request.request_id] = request
        checker.record_arrival("i-1", request.request_id)
    return [violation["rule"] for violation in checker.list_violations(requests)]


def test_notices_depend_only_on_the_seed():
    assert draw_notices(5, 8.0, 4) == draw_notices(5, 8.0, 4)
    assert draw_notices(5, 8.0, 4) != draw_notices(6, 8.0, 4)
    for notices in (draw_notices(seed, 8.0, 4) for seed in range(20)):
        assert len({notice.upstream for notice in notices}) == len(notices) == 3


@pytest.mark.parametrize(("per_s", "rules"), [(25.0, ["LIMIT"]), (15.0, [])])
def test_excess_over_a_limit_is_detected(monkeypatch, per_s, rules):
    assert observe(monkeypatch, per_s) == rules


def test_requests_of_a_node_that_was_not_told_do_not_count(monkeypatch):
    assert observe(monkeypatch, 25.0, told_at=NAMED_AT + 11.5) == []


@pytest.mark.parametrize(
    ("kind", "rules"), [("SIGKILL", []), ("SIGSTOP", []), ("SIGHUP", ["LIMIT"])]
)
def test_only_a_restart_or_freeze_excuses_a_node(monkeypatch, kind, rules):
    windows = [Window(3, kind, NAMED_AT + 0.1, NAMED_AT + 0.2)]
    assert observe(monkeypatch, 25.0, windows=windows) == rules


def test_restart_of_another_node_excuses_nothing(monkeypatch):
    windows = [Window(4, "SIGKILL", NAMED_AT + 0.1, NAMED_AT + 0.2)]
    assert observe(monkeypatch, 25.0, windows=windows) == ["LIMIT"]


@pytest.mark.parametrize(("seconds", "is_late"), [(4, True), (2, False)])
def test_request_at_an_upstream_that_had_said_it_leaves_is_detected(
    monkeypatch, seconds, is_late
):
    rules = observe(monkeypatch, 10.0, header="server-leaving", seconds=seconds)
    assert set(rules) == ({"DRAIN"} if is_late else set())


def test_restart_excuses_a_node_that_was_told_of_a_leave(monkeypatch):
    windows = [Window(3, "start", NAMED_AT + 0.1, NAMED_AT + 0.2)]
    rules = observe(
        monkeypatch, 10.0, header="server-leaving", windows=windows, seconds=4
    )
    assert rules == []

"""Tests the recording of spans and their assembly into request trees."""

import asyncio

import msgspec
from tornado.httputil import HTTPHeaders, RequestStartLine

from bench import collect
from figpick.calls._plans import ClockReading, make_plan
from figpick.calls._recorder import Recorder, make_span
from figpick.registry._documents import Service

NOW = ClockReading(10.0, 1000.0)
SERVICE = Service({"service": "parts", "routes": []}, 1)


def make_call_plan(path, parent=None):
    line = RequestStartLine("GET", path, "HTTP/1.1")
    return make_plan(SERVICE, line, HTTPHeaders(), parent, "127.0.0.1:1", NOW)


def make_call_span(plan, latency_s):
    ended = NOW.monotonic + latency_s
    return make_span(plan, "10.0.0.1", NOW, ended, (0, 64), 200)


def test_spans_of_a_chain_become_one_request(tmp_path):
    """Guards against nested calls that are missing from the tree of their request."""
    root = make_call_plan("/a")
    nested = make_call_plan("/b", root.context)
    recorder = Recorder(tmp_path / "spans", 1.0)
    recorder.record(make_call_span(nested, 0.020))
    recorder.record(make_call_span(root, 0.050))
    asyncio.run(recorder.flush())

    trace = collect.collect((tmp_path / "spans").read_bytes().splitlines(), "chain")

    (request,) = trace.requests
    call = trace.head["trees"][request["tree"]]["call"]
    assert call["path"] == "/a"
    assert call["service_ms"] == 30.0
    assert [child["path"] for child in call["calls"]] == ["/b"]


def test_share_selects_whole_requests():
    """Guards against traces with a root request but without its nested calls."""
    recorder = Recorder("unused", 0.5)
    roots = [make_call_plan("/a") for _ in range(50)]
    chosen = [recorder.should_record(root) for root in roots]

    assert any(chosen)
    assert not all(chosen)
    for root, wanted in zip(roots, chosen, strict=True):
        assert recorder.should_record(make_call_plan("/b", root.context)) == wanted


def test_examples_are_valid():
    """Guards against example files that figpick rejects."""
    from figpick import check
    from figpick.settings import load

    assert check("examples/parts.json")["service"] == "parts"
    assert load("examples/node.json")["roles"] == ["node"]
    assert msgspec.json.encode(load("examples/control.json"))

"""Tests that log lines alone explain why a request failed."""

import asyncio
import os
import re

import msgspec
import pytest

from figpick.base import _logs
from figpick.operators import _cli
from figpick.operators._explain import explain, format_lines, read_lines

from .fleet import Client, Fleet, async_test, make_configuration, make_routes
from .limited_upstreams import StatingUpstream


class LogCapture:
    """Captures the structured log lines of this process."""

    def __init__(self):
        self._read, self._write = os.pipe()
        os.set_blocking(self._read, False)
        os.set_blocking(self._write, False)
        self._handler = _logs.JsonHandler("test", self._write, level="INFO")

    def __enter__(self):
        self._handler.push_application()
        return self

    def __exit__(self, *error):
        self._handler.pop_application()
        os.close(self._read)
        os.close(self._write)

    def lines(self):
        """Returns the lines written since the last call."""
        text = b""
        try:
            while chunk := os.read(self._read, 65536):
                text += chunk
        except BlockingIOError:
            pass
        return list(read_lines(text.decode().splitlines()))


async def refused_under_overload(fleet):
    entry = fleet.hosts[0]
    for host in fleet.hosts:
        host.upstream.delay_s = 1.0
    statuses = {}

    async def send(number):
        async with Client(entry.settings.call_address) as client:
            request_id = b"x%d" % number
            statuses[request_id] = (await client.call(b"/entries/1", request_id))[0]

    await asyncio.gather(*(send(number) for number in range(80)))
    refused = [request_id for request_id, status in statuses.items() if status == 503]
    return refused[0]


async def refused_for_a_rate_limit(fleet):
    entry, *hosts = fleet.hosts
    for host in hosts:
        StatingUpstream(host.upstream).limit = b"1"
    address = entry.settings.call_address
    for number in range(20):
        async with Client(address) as client:
            request_id = b"limited-%d" % number
            if (await client.call(b"/parts/1", request_id))[0] == 503:
                return request_id
    raise AssertionError("no request was refused")


async def cut_off_by_a_closed_connection(fleet):
    async def close_connection(connection, request):
        connection.transport.abort()

    for host in fleet.hosts:
        host.upstream.handler = close_connection
    async with Client(fleet.hosts[0].settings.call_address) as client:
        status, _, _ = await client.call(b"/parts/once/1", b"died", method=b"POST")
    assert status == 502
    return b"died"


async def refused_after_a_change(fleet):
    changed = tuple(route for route in make_routes() if "parts" not in route.name)
    await fleet.put_configuration(make_configuration(4, 1, changed))
    await asyncio.sleep(0.3)
    async with Client(fleet.hosts[0].settings.call_address) as client:
        status, _, _ = await client.call(b"/parts/1", b"gone")
    assert status == 404
    return b"gone"


@pytest.mark.parametrize(
    ("fail_request", "fields", "reason"),
    [
        (
            refused_under_overload,
            {"route", "service", "reason", "placements", "version", "waited_s"},
            "full|waited-too-long",
        ),
        (
            refused_for_a_rate_limit,
            {"route", "service", "reason", "placements", "version", "retry_after_s"},
            "rate-limited|waited-too-long",
        ),
        (
            cut_off_by_a_closed_connection,
            {"route", "host", "instance", "reason", "after_s", "load", "version"},
            "closed|reset|broken",
        ),
        (refused_after_a_change, {"status", "reason", "version"}, "no route"),
    ],
)
def test_failed_request_is_explained_by_its_id(tmp_path, fail_request, fields, reason):
    """Guards against log lines that omit the inputs of a decision."""

    @async_test
    async def run():
        with LogCapture() as capture:
            async with Fleet(tmp_path) as fleet:
                request_id = (await fail_request(fleet)).decode()
            return request_id, explain(request_id, capture.lines())

    request_id, found = run()
    own = [line for line in found if line.fields.get("id") == request_id]
    assert any(fields <= set(line.fields) for line in own)
    assert any(re.search(reason, str(line.fields.get("reason"))) for line in own)
    text = "\n".join(format_lines(found, request_id))
    assert request_id in text
    if fail_request is refused_after_a_change:
        assert any(
            line.msg == "Configuration in force." and line.fields["version"] == 4
            for line in found
        )


def test_command_prints_the_timeline(tmp_path, capsys):
    path = tmp_path / "node.log"
    path.write_text(
        '2026-12-03 host1 {"t":1.0,"node":"n1","level":"info","part":"calls",'
        '"msg":"Call refused.","id":"a1","reason":"full"}\n'
        "not a figpick log line\n"
        '{"t":0.9,"node":"n1","part":"calls","msg":"Call failed.","parent":"a1",'
        '"id":"a1.1"}\n'
    )
    _cli.main(["explain", "a1", str(path)])
    printed = capsys.readouterr().out.splitlines()
    assert len(printed) == 2
    assert "Call failed." in printed[0]
    with pytest.raises(SystemExit):
        _cli.main(["explain", "a9", str(path)])


def test_lines_over_the_rate_are_counted():
    """Guards against logging that costs more than the calls that are logged."""
    limiter = _logs.LogRateLimiter(lines_per_s=10.0, burst=5.0)
    written = sum(limiter.allow("Call refused.", 0.0) for _ in range(100))
    assert written == 5
    assert limiter.allow("Call refused.", 0.1)
    assert limiter.pop_omitted() == {"Call refused.": 95}
    assert limiter.pop_omitted() == {}


def test_reader_that_stops_reading_blocks_nothing():
    read, write = os.pipe()
    os.set_blocking(write, False)
    handler = _logs.JsonHandler("n", write, level="INFO")
    log = _logs.logger("test")
    with handler.applicationbound():
        for number in range(3000):
            log.warning("Line {}.", number, extra={"padding": "x" * 200})
    os.close(read)
    os.close(write)


@async_test
async def test_request_is_answered_while_the_log_cannot_be_written(tmp_path):
    """Guards against requests without an answer because the disk of the log is full."""
    descriptor = os.open("/dev/full", os.O_WRONLY)
    async with Fleet(tmp_path) as fleet:
        handler = _logs.start_structured("info", "n", descriptor)
        try:
            async with Client(fleet.hosts[0].settings.call_address) as client:
                assert (await client.call(b"/none/1", b"a"))[0] == 404
                assert (await client.call(b"/parts/1", b"b"))[0] == 200
        finally:
            _logs.stop_structured(handler)
            os.close(descriptor)


def test_lines_that_could_not_be_written_are_counted_later(tmp_path):
    """Guards against a gap in a log that nothing shows."""
    path = tmp_path / "log"
    descriptor = os.open(path, os.O_RDWR | os.O_CREAT)
    full = os.open("/dev/full", os.O_WRONLY)
    handler = _logs.JsonHandler("n", full, level="INFO")
    log = _logs.logger("test")
    with handler.applicationbound():
        log.warning("First.")
        log.warning("Second.")
        os.dup2(descriptor, full)
        log.warning("Third.")
        log.warning("Fourth.")
    os.close(descriptor)
    os.close(full)
    lines = [msgspec.json.decode(line) for line in path.read_bytes().splitlines()]
    messages = [line["msg"] for line in lines]
    assert messages == ["Third.", "Lines could not be written.", "Fourth."]
    assert lines[1]["lines"] == 2
    assert "No space left on device" in lines[1]["reason"]


@pytest.mark.parametrize("level", ["info", "warning"])
def test_lines_of_calls_are_those_of_the_log_library(level):
    """Guards against call logs whose format differs or that ignore the log level."""

    def lines(write_line):
        read, write = os.pipe()
        handler = _logs.start_structured(level, "n", write)
        try:
            write_line()
        finally:
            _logs.stop_structured(handler)
            os.close(write)
        with open(read, "rb") as file:
            found = [msgspec.json.decode(line) for line in file]
        return [{**line, "t": 0} for line in found]

    fields = {"id": "a1", "reason": "full"}
    expected = lines(lambda: _logs.logger("calls").info("Refused.", extra=fields))
    direct = lines(lambda: _logs.CallLogger("calls").info("Refused.", fields))
    assert direct == expected
    assert len(direct) == (level == "info")

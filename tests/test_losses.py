"""The report on calls that were not served, from log lines of nodes."""

import json

import pytest

from figpick.operators import _cli
from figpick.operators._explain import LogLine
from figpick.operators._losses import format_intervals, services_of_nodes, sum_up


def line(t, msg, node="n1", **fields):
    return LogLine(t, node, "node", msg, fields)


def summary(t, counts, load=(3, 0, 19), levels=None, shares=None, node="n1"):
    return line(
        t,
        "Calls of the last seconds.",
        node,
        counts=counts,
        load=list(load),
        levels=levels or {},
        shares=shares or {},
    )


def report(lines, interval_s=5):
    return list(format_intervals(sum_up(lines, interval_s), services_of_nodes(lines)))


def test_calls_of_all_nodes_are_summed_by_route_and_outcome():
    lines = [
        summary(11.0, {"a answered": 7, "a refused": 2}),
        summary(12.0, {"a answered": 3, "b answered": 4}, node="n2"),
    ]
    assert report(lines) == [
        "10: 14 of 16 calls served",
        "  a: 10 of 12, refused 2",
    ]


def test_causes_of_lost_calls_are_counted_with_the_lines_left_out():
    """Guards against a cause that seems rare because its lines are limited."""
    lines = [
        line(11.0, "Call refused.", reason="full", route="a"),
        line(12.0, "Call refused.", reason="full", route="a"),
        line(12.5, "Call timed out.", route="a"),
        line(13.0, "Lines left out.", counts={"Call refused.": 40, "Other.": 3}),
    ]
    assert report(lines) == [
        "10: 0 of 0 calls served",
        "      40 logged: Call refused. (left out)",
        "       2 logged: Call refused. full",
        "       1 logged: Call timed out.",
    ]


def test_service_that_binds_is_named_with_its_level():
    lines = [
        line(1.0, "Node starts.", "n1", service="parts"),
        summary(11.0, {"a refused": 1}, (19, 30, 19), {"4": 0.3}, {"a": 0.4}),
        summary(12.0, {}, (19, 10, 19), {"4": 0.5}),
    ]
    assert report(lines)[2:] == [
        "  1 full hosts of parts, 10 calls waiting",
        "  admission level 0.3 for priority 4",
        "  an entry admits 0.4 of a",
    ]


def test_quiet_intervals_are_left_out():
    assert report([line(11.0, "Link to n2 is open.")]) == []


def test_command_reads_files(capsys, tmp_path):
    path = tmp_path / "node.log"
    fields = {"t": 11.0, "node": "n1", "part": "node", "level": "notice"}
    fields |= {"msg": "Calls of the last seconds.", "counts": {"a failed": 2}}
    fields |= {"load": [0, 0, 5], "levels": {}, "shares": {}}
    path.write_text("no log line\n" + json.dumps(fields) + "\n")
    _cli.main(["losses", str(path), "--interval=10"])
    assert capsys.readouterr().out.splitlines() == [
        "10: 0 of 2 calls served",
        "  a: 0 of 2, failed 2",
    ]


@pytest.mark.parametrize("arguments", [["missing.log"], [__file__, "--interval=0"]])
def test_bad_arguments_are_refused(capsys, arguments):
    with pytest.raises(SystemExit) as exit_info:
        _cli.main(["losses", *arguments])
    assert exit_info.value.code == 2
    assert "Traceback" not in capsys.readouterr().err

"""Joins the log lines of all processes that tell what became of one request."""

import heapq
import re
from typing import NamedTuple

import msgspec

# Changes this long before and after a line of the request may have caused it.
CONTEXT_S = 3.0
# Parts whose lines tell what a process believes.
CONTEXT_PARTS = frozenset(("node", "peers", "links", "control-links", "quorum", "logs"))
MAX_CONTEXT = 40
COMMON_FIELDS = frozenset(("t", "node", "level", "part", "msg"))
# Collectors may put a time and a host name before each line.
PREFIX = re.compile(r"^[^{]*")


class Line(NamedTuple):
    """One log line.

    :param t: Unix seconds.
    :param node: name of the process that wrote it.
    :param part: component.
    :param msg: text.
    :param fields: all other fields.
    """

    t: float
    node: str
    part: str
    msg: str
    fields: dict


def read_lines(source):
    """Reads log lines; other lines are left out.

    :param source: iterable of text lines.
    """
    for text in source:
        line = _parse(PREFIX.sub("", text, count=1))
        if line is not None:
            yield line


def explain(request_id, lines):
    """Gives the lines on one request, on the calls that it made and around them.

    :param request_id: id of the attempt of the client.
    :param lines: list of :class:`Line`.
    :return: list of :class:`Line` by time; empty when no line names the request.
    """
    ids = {request_id}
    own = []
    found = True
    while found:
        found = [
            line
            for line in lines
            if line not in own
            and (line.fields.get("id") in ids or line.fields.get("parent") in ids)
        ]
        own.extend(found)
        ids |= {line.fields["id"] for line in found if "id" in line.fields}
    if not own:
        return []
    return sorted(own + _context(own, lines), key=lambda line: line.t)


def render(lines, request_id):
    """Gives the lines as text, one line each.

    :param lines: what :func:`explain` gave.
    """
    start = next(
        (line.t for line in lines if line.fields.get("id") == request_id), None
    )
    if start is None:
        start = lines[0].t
    for line in lines:
        mark = "*" if _names(line, request_id) else " "
        fields = " ".join(f"{key}={value}" for key, value in line.fields.items())
        place = f"{mark} {line.t - start:+8.3f} s {line.node} {line.part}"
        yield f"{place}: {line.msg} {fields}"


def _names(line, request_id):
    return request_id in (line.fields.get("id"), line.fields.get("parent"))


def _context(own, lines):
    nodes = {line.node for line in own} | {
        line.fields["host"] for line in own if line.fields.get("host")
    }
    first, last = min(line.t for line in own), max(line.t for line in own)
    near = [
        line
        for line in lines
        if line.part in CONTEXT_PARTS
        and line.node in nodes
        and first - CONTEXT_S <= line.t <= last + CONTEXT_S
    ]
    middle = (first + last) / 2
    return heapq.nsmallest(MAX_CONTEXT, near, key=lambda line: abs(line.t - middle))


def _parse(text):
    try:
        fields = msgspec.json.decode(text)
        return Line(
            float(fields["t"]),
            fields["node"],
            fields["part"],
            fields["msg"],
            {key: value for key, value in fields.items() if key not in COMMON_FIELDS},
        )
    except (msgspec.DecodeError, LookupError, TypeError, ValueError):
        return None

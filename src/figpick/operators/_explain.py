"""Builds the timeline of a request from the log lines of all processes."""

import heapq
import re
from typing import NamedTuple

import msgspec

# Changes within this time before the first or after the last line of a request may
# have affected it.
CONTEXT_S = 3.0
# Components that log the view that a process has of the system.
CONTEXT_PARTS = frozenset(("node", "peers", "links", "control-links", "quorum", "logs"))
MAX_CONTEXT_LINES = 40
COMMON_FIELDS = frozenset(("t", "node", "level", "part", "msg"))
# Log collectors may prefix each line with a time and a host name.
PREFIX = re.compile(r"^[^{]*")


class LogLine(NamedTuple):
    """A structured log line.

    :param t: Unix time in seconds.
    :param node: name of the process that wrote the line.
    :param part: component of the process.
    :param msg: message text.
    :param fields: all other fields.
    """

    t: float
    node: str
    part: str
    msg: str
    fields: dict


def read_lines(source):
    """Yields the structured log lines of a source; other lines are skipped.

    :param source: iterable of text lines.
    """
    for text in source:
        line = _parse(PREFIX.sub("", text, count=1))
        if line is not None:
            yield line


def explain(request_id, lines):
    """Returns the lines of a request and of its nested calls, with their context.

    The context is what the processes involved logged about their view of the system
    around that time.

    :param request_id: attempt id sent by the client.
    :param lines: list of :class:`LogLine`.
    :return: list of :class:`LogLine` in order of time; empty when no line mentions the
        request.
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
    return sorted(own + _find_context(own, lines), key=lambda line: line.t)


def format_lines(lines, request_id):
    """Yields each line as text, with an asterisk if it mentions the request.

    :param lines: result of :func:`explain`.
    """
    start = next(
        (line.t for line in lines if line.fields.get("id") == request_id), None
    )
    if start is None:
        start = lines[0].t
    for line in lines:
        mark = "*" if _mentions(line, request_id) else " "
        fields = " ".join(f"{key}={value}" for key, value in line.fields.items())
        prefix = f"{mark} {line.t - start:+8.3f} s {line.node} {line.part}"
        yield f"{prefix}: {line.msg} {fields}"


def _mentions(line, request_id):
    return request_id in (line.fields.get("id"), line.fields.get("parent"))


def _find_context(own, lines):
    nodes = {line.node for line in own} | {
        line.fields["host"] for line in own if line.fields.get("host")
    }
    first, last = min(line.t for line in own), max(line.t for line in own)
    context = [
        line
        for line in lines
        if line.part in CONTEXT_PARTS
        and line.node in nodes
        and first - CONTEXT_S <= line.t <= last + CONTEXT_S
    ]
    middle = (first + last) / 2
    return heapq.nsmallest(
        MAX_CONTEXT_LINES, context, key=lambda line: abs(line.t - middle)
    )


def _parse(text):
    try:
        fields = msgspec.json.decode(text)
        return LogLine(
            float(fields["t"]),
            fields["node"],
            fields["part"],
            fields["msg"],
            {key: value for key, value in fields.items() if key not in COMMON_FIELDS},
        )
    except (msgspec.DecodeError, LookupError, TypeError, ValueError):
        return None

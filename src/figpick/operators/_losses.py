"""Sums up from the log lines of all nodes which calls were not served, when and why.

Nodes log the number of their calls by route and outcome every few seconds, and a line
for each call that is not served. Above a rate limit these lines are left out and
counted.
"""

from collections import Counter, defaultdict
from typing import NamedTuple

SUMMARY = "Calls of the last seconds."
OMITTED = "Lines left out."
STARTED = "Node starts."
# Messages on calls that were not served, with the field that holds the cause.
CAUSES = {
    "Call refused.": "reason",
    "Call failed.": "reason",
    "Call timed out.": None,
    "Call broke at the upstream.": "reason",
    "Upstream answered with a failure.": "reason",
    "The upstream did not run a call.": "status",
}
SERVED = "answered"
# Share of used slots from which a host counts as full.
FULL_SHARE = 0.9


class Interval(NamedTuple):
    """What the nodes reported in one interval.

    :param start: Unix time in seconds.
    :param counts: :class:`Counter` of calls by route and outcome.
    :param causes: :class:`Counter` of logged calls by message and cause.
    :param full_hosts: dict of the nodes of full hosts to the number of waiting calls.
    :param levels: lowest admission level that an owner reported, by priority.
    :param shares: lowest share of requests that an entry admitted, by route.
    """

    start: float
    counts: Counter
    causes: Counter
    full_hosts: dict
    levels: dict
    shares: dict


def sum_up(lines, interval_s):
    """Sums up log lines.

    :param lines: iterable of :class:`~figpick.operators._explain.LogLine`.
    :param interval_s: length of an interval in seconds.
    :return: list of :class:`Interval` in order of time.
    """
    intervals = {}
    for line in sorted(lines, key=lambda line: line.t):
        start = line.t // interval_s * interval_s
        interval = intervals.get(start)
        if interval is None:
            interval = Interval(start, Counter(), Counter(), {}, {}, {})
            intervals[start] = interval
        _add_line(interval, line)
    return list(intervals.values())


def format_intervals(intervals, services):
    """Yields the lines of a report.

    :param intervals: result of :func:`sum_up`.
    :param services: dict of node to service, see :func:`services_of_nodes`.
    """
    for interval in intervals:
        total = sum(interval.counts.values())
        if not total and not interval.causes:
            continue
        served = sum(
            count
            for (_, outcome), count in interval.counts.items()
            if outcome == SERVED
        )
        yield f"{interval.start:.0f}: {served} of {total} calls served"
        yield from _format_routes(interval.counts)
        for (message, cause), count in interval.causes.most_common():
            yield f"  {count:6} logged: {message} {cause}".rstrip()
        yield from _format_hosts(interval.full_hosts, services)
        for priority, level in sorted(interval.levels.items()):
            yield f"  admission level {level} for priority {priority}"
        for route, share in sorted(interval.shares.items()):
            yield f"  an entry admits {share} of {route}"


def services_of_nodes(lines):
    """Returns the service of each node that logged its start, as a dict."""
    return {
        line.node: line.fields.get("service", "")
        for line in lines
        if line.msg == STARTED
    }


def _add_line(interval, line):
    fields = line.fields
    if line.msg == SUMMARY:
        for name, count in fields["counts"].items():
            route, _, outcome = name.rpartition(" ")
            interval.counts[route, outcome] += count
        _add_load(interval, line)
    elif line.msg == OMITTED:
        for message, count in fields["counts"].items():
            if message in CAUSES:
                interval.causes[message, "(left out)"] += count
    elif line.msg in CAUSES:
        field = CAUSES[line.msg]
        cause = str(fields.get(field, "")) if field else ""
        interval.causes[line.msg, cause] += 1


def _add_load(interval, line):
    running, queued, limit, *_ = line.fields["load"]
    if limit and (queued or running >= FULL_SHARE * limit):
        interval.full_hosts[line.node] = queued
    for priority, level in line.fields["levels"].items():
        known = interval.levels.get(priority, 1.0)
        interval.levels[priority] = min(known, level)
    for route, share in line.fields["shares"].items():
        interval.shares[route] = min(interval.shares.get(route, 1.0), share)


def _format_routes(counts):
    outcomes_by_route = defaultdict(dict)
    for (route, outcome), count in counts.items():
        outcomes_by_route[route][outcome] = count
    for route, outcomes in sorted(outcomes_by_route.items()):
        total = sum(outcomes.values())
        lost = [
            f"{outcome} {count}"
            for outcome, count in sorted(outcomes.items())
            if outcome != SERVED
        ]
        if lost:
            served = outcomes.get(SERVED, 0)
            yield f"  {route or '(no route)'}: {served} of {total}, {', '.join(lost)}"


def _format_hosts(full_hosts, services):
    queued_by_service = defaultdict(list)
    for node, queued in sorted(full_hosts.items()):
        queued_by_service[services.get(node) or node].append(queued)
    for service, queued in sorted(queued_by_service.items()):
        yield f"  {len(queued)} full hosts of {service}, {sum(queued)} calls waiting"

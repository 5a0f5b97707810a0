"""Metrics of a node in the Prometheus exposition format."""

from ..base._exposition import Exposition
from ._counters import LATENCY_BOUNDS_S


def node_metrics(name, process):
    """Returns the metrics of a node.

    :param name: name of the node.
    :param process: :class:`~figpick.nodes.NodeProcess`.
    """
    metrics = Exposition(name)
    counters = process.counters
    metrics.add_counter(
        "figpick_calls", ("route", "outcome"), lambda: counters.outcomes
    )
    metrics.add_gauge(
        "figpick_call_seconds_bucket",
        ("route", "le"),
        lambda: _buckets(counters.latencies),
    )
    metrics.add_gauge(
        "figpick_call_seconds_sum",
        ("route",),
        lambda: {(route,): row[-1] for route, row in counters.latencies.items()},
    )
    metrics.add_counter(
        "figpick_client_connection_events",
        ("event",),
        lambda: counters.connection_events,
    )
    metrics.add_counter(
        "figpick_refused_reports", ("reason",), lambda: process.refused_reports
    )
    metrics.add_gauge("figpick_load", ("what",), lambda: _load(process))
    metrics.add_counter(
        "figpick_upstream_requests", (), lambda: {(): process.owner.sent_requests}
    )
    metrics.add_gauge(
        "figpick_upstream_limit_per_second", (), lambda: _rate_limit(process)
    )
    metrics.add_gauge("figpick_open", ("what", "state"), lambda: _open(process))
    metrics.add_gauge("figpick_admitted_share", ("route",), lambda: _shares(process))
    metrics.add_gauge(
        "figpick_configuration_revision", (), lambda: {(): process.revision}
    )
    return metrics


def _buckets(latencies):
    values = {}
    for route, row in latencies.items():
        total = 0
        for bound, count in zip((*LATENCY_BOUNDS_S, "+Inf"), row, strict=False):
            total += count
            values[route, str(bound)] = total
    return values


def _load(process):
    return {(name,): value for name, value in process.owner.load()._asdict().items()}


def _rate_limit(process):
    rate_limit = process.owner.notices.rate_limit
    return {} if rate_limit is None else {(): rate_limit}


def _open(process):
    work = process.open_work()
    return {
        (what, state): value
        for what in ("calls", "executions", "unsent_bytes")
        for state, value in work[what].items()
    }


def _shares(process):
    return {(route,): share for route, share in process.admitted_shares().items()}

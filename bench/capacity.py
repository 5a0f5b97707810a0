"""Writes ``docs/CAPACITY.md`` from the measured costs in ``bench/results/``.

Run as ``python -m bench.capacity`` after the experiments ``costs`` and
``control-cost``. All figures on the page are computed here.
"""

from pathlib import Path
from typing import NamedTuple

import msgspec

from bench.__main__ import RESULTS_FOLDER
from bench.control_cost import HTTP_HEAD_BYTES
from figpick.claims import _claim_records
from figpick.consensus import _replica
from figpick.membership import _gossip
from figpick.permits import _exchange, _permits
from figpick.routing import _load_balancing

PAGE = Path(__file__).parent.parent / "docs" / "CAPACITY.md"

NODES = 1600
SERVICES = 40
CALLS_PER_S = 250_000
DEPTH = 8
CHANGES_PER_DAY = 6400
DATA_CENTERS = 6
REGIONS = 3
CPU_BOUND = 1.3
MEMORY_BOUND_MB = 32.0
TRAFFIC_BOUND_KB_S = 25.0
HOSTS_BOUND = 7
DAY_S = 86_400

# Number of nodes at which the base cost of a process is measured.
MEASURED_NODES = 100

# Assumptions; the target does not specify these.
CALLED_SERVICES = 8
NON_IDEMPOTENT_SHARE = 0.1
CONTROL_PROCESSES = 5
HOSTS_PER_RACK = 40
LONG_EXCHANGE_PERIOD_S = 8.0
# HTTP heads of one message and its reply, and the 66-byte headers of four packets.
MESSAGE_OVERHEAD_B = HTTP_HEAD_BYTES + 4 * 66


class CostLine(NamedTuple):
    """One line in the table of a role: a part, its mechanism and its cost.

    :param cpu: percent of a core.
    :param memory_mb: resident memory in MB.
    :param traffic_kb_s: KB/s sent and received.
    """

    part: str
    mechanism: str
    formula: str
    messages_per_s: float
    cpu: float
    memory_mb: float
    traffic_kb_s: float


class MeasuredFigures:
    """Measured figures by experiment and case, averaged over the seeds."""

    def __init__(self):
        self._figures = {}
        for name in ("costs", "control-cost"):
            for line in (RESULTS_FOLDER / f"{name}.jsonl").read_bytes().splitlines():
                record = msgspec.json.decode(line)
                key = (name, record["case"])
                self._figures.setdefault(key, []).append(record["figpick"])

    def get(self, name, case):
        """Returns the mean figure of a case."""
        values = self._figures[name, case]
        return sum(values) / len(values)


def node_lines(measured):
    """Returns the table lines of a node for control."""
    idle = f"{MEASURED_NODES} nodes idle node"
    base = [measured.get("control-cost", f"{idle} {each}") for each in COST_NAMES]
    message_ms = measured.get("costs", MESSAGE_CASE)
    exchanges_per_s = (
        CALLED_SERVICES * _load_balancing.SUBSET_SIZE / _exchange.RENEWAL_PERIOD_S
    )
    handling_ms = measured.get("costs", EXCHANGE_CASE)
    body_b = measured.get("costs", "permit exchange, both bodies")
    changes_per_s = CHANGES_PER_DAY / DAY_S
    return [
        CostLine(
            f"process, timers and gossip at {MEASURED_NODES} nodes",
            "one loop, full-membership gossip by digests",
            "measured",
            2 / _gossip.PERIOD_S,
            *base,
        ),
        _growth_line(
            measured,
            "node",
            "view of the other nodes",
            NODES - MEASURED_NODES,
            "per node",
        ),
        _growth_line(
            measured, "node", "documents it calls", CALLED_SERVICES, "per service"
        ),
        _growth_line(
            measured, "node", "configuration changes", changes_per_s, "per change/s"
        ),
        CostLine(
            "permit exchange",
            "leases of 5 s, renewed every 2 s with a stable subset of upstreams",
            f"{CALLED_SERVICES} services x {_load_balancing.SUBSET_SIZE} upstreams / "
            f"{_exchange.RENEWAL_PERIOD_S:g} s, as calling node and as owner",
            2 * exchanges_per_s,
            exchanges_per_s * (message_ms + handling_ms) / 10,
            0.0,
            2 * exchanges_per_s * (body_b + MESSAGE_OVERHEAD_B) / 1000,
        ),
    ]


def request_lines(measured):
    """Returns the table lines of a node for calls, which are not part of control."""
    calls_per_s = CALLS_PER_S / NODES
    claims_per_s = calls_per_s * NON_IDEMPOTENT_SHARE
    message_ms = measured.get("costs", MESSAGE_CASE)
    records = 3 * claims_per_s * _claim_records.RETENTION_S
    record_b = measured.get("costs", "claim record, memory")
    return [
        CostLine(
            "calls",
            "one hop: the calling node sends straight to the upstream",
            f"{CALLS_PER_S:,} / {NODES:,} a second",
            calls_per_s,
            calls_per_s
            * measured.get("costs", "call through a node, processor time")
            / 10,
            0.0,
            0.0,
        ),
        CostLine(
            "claims",
            "quorum of three nodes of the service; records for "
            f"{_claim_records.RETENTION_S:g} s",
            f"{NON_IDEMPOTENT_SHARE:.0%} of calls x 3 holders x (claim + finish)",
            12 * claims_per_s,
            6 * claims_per_s * message_ms / 10,
            records * record_b / 1e6,
            12 * claims_per_s * MESSAGE_OVERHEAD_B / 1000,
        ),
    ]


def control_lines(measured):
    """Returns the table lines of a control process that is the leader."""
    idle = f"{MEASURED_NODES} nodes idle control"
    base = [measured.get("control-cost", f"{idle} {each}") for each in COST_NAMES]
    changes_per_s = CHANGES_PER_DAY / DAY_S
    results_mb = CHANGES_PER_DAY * 365 * 24 / 1e6
    return [
        CostLine(
            f"process, heartbeats and gossip at {MEASURED_NODES} nodes",
            "Raft with heartbeats each 150 ms",
            "measured",
            2 / 0.15,
            *base,
        ),
        _growth_line(
            measured, "control", "view of the nodes", NODES - MEASURED_NODES, "per node"
        ),
        _growth_line(measured, "control", "documents", SERVICES, "per service"),
        _growth_line(
            measured, "control", "configuration changes", changes_per_s, "per change/s"
        ),
        CostLine(
            "answers to changes, one year",
            "24 B for each change id, kept permanently",
            f"{CHANGES_PER_DAY:,} x 365 x 24 B",
            0.0,
            0.0,
            results_mb,
            0.0,
        ),
    ]


COST_NAMES = ("cpu", "memory", "traffic_kb")
MESSAGE_CASE = "message of 200 B and its answer, both ends, processor time"
EXCHANGE_CASE = "permit exchange with 60 calling nodes, processor time"


def _growth_line(measured, role, part, count, slope):
    values = [
        measured.get("control-cost", f"slope {slope}, {role} {u}") for u in COST_NAMES
    ]
    formula = f"{count:g} x measured slope {slope}"
    mechanism = {
        "per node": "member records in deltas, digest of the view",
        "per service": "documents by interest",
        "per change/s": "versions in deltas, documents fetched by interest",
    }[slope]
    # A negative slope is measurement noise.
    costs = (max(0.0, count * value) for value in values)
    return CostLine(part, mechanism, formula, 0.0, *costs)


def render_table(lines):
    """Returns the table of a role with its sum."""
    rows = [
        "| part | mechanism | formula | messages/s | CPU, % of a core | memory, MB "
        "| traffic, KB/s |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for line in lines:
        figures = [f"{value:.2f}" for value in line[3:]]
        cells = [line.part, line.mechanism, line.formula, *figures]
        rows.append("| " + " | ".join(cells) + " |")
    sums = [f"**{sum(line[k] for line in lines):.2f}**" for k in range(3, 7)]
    rows.append("| " + " | ".join(["**sum**", "", "", *sums]) + " |")
    return "\n".join(rows)


def render_bounds(lines):
    """Returns a table that compares the sum of a node with its bounds."""
    rows = ["| bound | limit | by the arithmetic | met |", "| --- | --- | --- | --- |"]
    limits = (CPU_BOUND, MEMORY_BOUND_MB, TRAFFIC_BOUND_KB_S)
    names = ("CPU, % of a core", "memory, MB", "traffic, KB/s")
    for offset, (name, limit) in enumerate(zip(names, limits, strict=True)):
        value = sum(line[4 + offset] for line in lines)
        met = "yes" if value <= limit else "**no**"
        rows.append(f"| {name} | {limit:g} | {value:.2f} | {met} |")
    rows.append(
        f"| hosts set aside | {HOSTS_BOUND} | {CONTROL_PROCESSES} control processes "
        "| yes |"
    )
    return "\n".join(rows)


def describe_slower_exchange(line):
    """Returns a text on the cost of permit exchanges with a longer calm period."""
    factor = _exchange.RENEWAL_PERIOD_S / LONG_EXCHANGE_PERIOD_S
    return (
        f"renewed every {LONG_EXCHANGE_PERIOD_S:g} s it would take "
        f"{line.cpu * factor:.2f}% of a core and {line.traffic_kb_s * factor:.1f} KB/s"
    )


def render_large_failures(measured):
    """Returns a table of the load of large failures on each remaining node."""
    record_b = measured.get("costs", "member record, encoded")
    message_ms = measured.get("costs", MESSAGE_CASE)
    cases = [
        ("a rack", HOSTS_PER_RACK),
        ("a data centre", NODES // DATA_CENTERS),
        ("a region, cut off for minutes", NODES // REGIONS),
    ]
    rows = [
        "| lost at once | hosts | gossip a node receives, KB | gossip messages a node "
        "sends | processor time a node, ms | permits back after |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for name, hosts in cases:
        traffic_kb = hosts * _gossip.FANOUT * record_b / 1000
        # Events that arrive within 20 ms share a message; in the worst case none do.
        messages = hosts * _gossip.FANOUT
        spent_ms = messages * message_ms
        rows.append(
            f"| {name} | {hosts} | {traffic_kb:.0f} | at most {messages} "
            f"| at most {spent_ms:.0f} | {_permits.LEASE_S:g} s |"
        )
    return "\n".join(rows)


def describe_restart(measured):
    """Returns a text on the load on control when a whole data centre restarts."""
    nodes = NODES // DATA_CENTERS
    fetches = nodes * 2
    message_ms = measured.get("costs", MESSAGE_CASE)
    spent_s = fetches * message_ms / 1000 / CONTROL_PROCESSES
    view_kb = NODES * measured.get("costs", "member record, encoded") / 1000
    return (
        f"{nodes} nodes ask control for their documents and rosters in two messages "
        f"each: {fetches} messages, {spent_s:.2f} s of processor time on each of "
        f"{CONTROL_PROCESSES} control processes. Each copies the view once: "
        f"{view_kb:.0f} KB. Their claim holders copy the records of their groups from "
        "the other holders, which are in other data centres."
    )


def describe_log_size(measured):
    """Returns a text on the sizes of the log and of snapshots."""
    change_b = measured.get("costs", "registry, memory a change")
    hours = _replica.COMPACT_ENTRIES / (CHANGES_PER_DAY / 24)
    snapshot = measured.get("costs", "snapshot after 2000 changes")
    return (
        f"The log is replaced by a snapshot each {_replica.COMPACT_ENTRIES} entries, "
        f"every {hours:.1f} h at {CHANGES_PER_DAY:,} changes a day. The registry takes "
        f"{change_b:.0f} B a change in memory while history is kept; a snapshot after "
        f"2,000 changes has {snapshot:.2f} MB."
    )


def render_page():
    """Returns the text of the page."""
    measured = MeasuredFigures()
    template = (Path(__file__).parent / "capacity.md").read_text()
    node = node_lines(measured)
    return template.format(
        nodes=f"{NODES:,}",
        services=SERVICES,
        calls=f"{CALLS_PER_S:,}",
        calls_per_node=f"{CALLS_PER_S / NODES:.0f}",
        depth=DEPTH,
        changes=f"{CHANGES_PER_DAY:,}",
        called=CALLED_SERVICES,
        share=f"{NON_IDEMPOTENT_SHARE:.0%}",
        control_processes=CONTROL_PROCESSES,
        node_table=render_table(node),
        node_bounds=render_bounds(node),
        slower_exchange=describe_slower_exchange(node[-1]),
        request_table=render_table(request_lines(measured)),
        control_table=render_table(control_lines(measured)),
        bad_days=render_large_failures(measured),
        restart=describe_restart(measured),
        log_size=describe_log_size(measured),
    )


if __name__ == "__main__":
    PAGE.write_text(render_page())

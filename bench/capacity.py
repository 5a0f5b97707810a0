"""Writes ``docs/CAPACITY.md`` from the measured slopes in ``bench/results/``.

Run as ``python -m bench.capacity`` after the experiments ``costs`` and
``control-cost``. Every figure on the page is computed here.
"""

from pathlib import Path
from typing import NamedTuple

import msgspec

from bench.__main__ import RESULTS
from bench.control_cost import HEAD_BYTES
from figpick.claims import _claim_records
from figpick.consensus import _replica
from figpick.membership import _gossip
from figpick.permits import _exchange, _permits
from figpick.routing import _routing

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

# Size at which the base of a process is taken.
MEASURED_NODES = 100

# Inputs that the target does not state.
CALLED_SERVICES = 8
NON_IDEMPOTENT_SHARE = 0.1
CONTROL_PROCESSES = 5
RACK_HOSTS = 40
LONG_PERIOD_S = 8.0
# Heads of one message and its answer, and the headers of four packets.
MESSAGE_OVERHEAD_B = HEAD_BYTES + 4 * 66


class Line(NamedTuple):
    """One line of a role: a cost and the mechanism that carries it.

    :param cpu: percent of a core.
    :param memory_mb: resident memory.
    :param traffic_kb_s: sent and received.
    """

    part: str
    mechanism: str
    formula: str
    messages_per_s: float
    cpu: float
    memory_mb: float
    traffic_kb_s: float


class Slopes:
    """Measured figures by experiment and case; the mean over the seeds."""

    def __init__(self):
        self._figures = {}
        for name in ("costs", "control-cost"):
            for line in (RESULTS / f"{name}.jsonl").read_bytes().splitlines():
                record = msgspec.json.decode(line)
                key = (name, record["case"])
                self._figures.setdefault(key, []).append(record["figpick"])

    def get(self, name, case):
        """Gives the figure of a case."""
        values = self._figures[name, case]
        return sum(values) / len(values)


def node_lines(slopes):
    """Works out the lines of a node."""
    idle = f"{MEASURED_NODES} nodes idle node"
    base = [slopes.get("control-cost", f"{idle} {each}") for each in UNITS]
    message_ms = slopes.get("costs", MESSAGE)
    exchanges = CALLED_SERVICES * _routing.SUBSET_SIZE / _exchange.RENEWAL_PERIOD_S
    handling_ms = slopes.get("costs", EXCHANGE)
    body_b = slopes.get("costs", "permit exchange, both bodies")
    changes = CHANGES_PER_DAY / DAY_S
    return [
        Line(
            f"process, timers and gossip at {MEASURED_NODES} nodes",
            "one loop, full-membership gossip by digests",
            "measured",
            2 / _gossip.PERIOD_S,
            *base,
        ),
        _growth(
            slopes,
            "node",
            "view of the other nodes",
            NODES - MEASURED_NODES,
            "per node",
        ),
        _growth(slopes, "node", "documents it calls", CALLED_SERVICES, "per service"),
        _growth(slopes, "node", "configuration changes", changes, "per change/s"),
        Line(
            "permit exchange",
            "leases of 5 s, renewed every 2 s with a stable subset of upstreams",
            f"{CALLED_SERVICES} services x {_routing.SUBSET_SIZE} upstreams / "
            f"{_exchange.RENEWAL_PERIOD_S:g} s, as calling node and as owner",
            2 * exchanges,
            exchanges * (message_ms + handling_ms) / 10,
            0.0,
            2 * exchanges * (body_b + MESSAGE_OVERHEAD_B) / 1000,
        ),
    ]


def request_lines(slopes):
    """Works out what calls cost a node beside control."""
    calls = CALLS_PER_S / NODES
    keyed = calls * NON_IDEMPOTENT_SHARE
    message_ms = slopes.get("costs", MESSAGE)
    records = 3 * keyed * _claim_records.RETENTION_S
    record_b = slopes.get("costs", "claim record, memory")
    return [
        Line(
            "calls",
            "one hop: the calling node sends straight to the upstream",
            f"{CALLS_PER_S:,} / {NODES:,} a second",
            calls,
            calls * slopes.get("costs", "call through a node, processor time") / 10,
            0.0,
            0.0,
        ),
        Line(
            "claims",
            "quorum of three nodes of the service; records for "
            f"{_claim_records.RETENTION_S:g} s",
            f"{NON_IDEMPOTENT_SHARE:.0%} of calls x 3 holders x (claim + finish)",
            12 * keyed,
            6 * keyed * message_ms / 10,
            records * record_b / 1e6,
            12 * keyed * MESSAGE_OVERHEAD_B / 1000,
        ),
    ]


def control_lines(slopes):
    """Works out the lines of a control process that leads."""
    idle = f"{MEASURED_NODES} nodes idle control"
    base = [slopes.get("control-cost", f"{idle} {each}") for each in UNITS]
    changes = CHANGES_PER_DAY / DAY_S
    answers_mb = CHANGES_PER_DAY * 365 * 24 / 1e6
    return [
        Line(
            f"process, heartbeats and gossip at {MEASURED_NODES} nodes",
            "Raft with heartbeats each 150 ms",
            "measured",
            2 / 0.15,
            *base,
        ),
        _growth(
            slopes, "control", "view of the nodes", NODES - MEASURED_NODES, "per node"
        ),
        _growth(slopes, "control", "documents", SERVICES, "per service"),
        _growth(slopes, "control", "configuration changes", changes, "per change/s"),
        Line(
            "answers to changes, one year",
            "24 B for each change id, kept permanently",
            f"{CHANGES_PER_DAY:,} x 365 x 24 B",
            0.0,
            0.0,
            answers_mb,
            0.0,
        ),
    ]


UNITS = ("cpu", "memory", "traffic_kb")
MESSAGE = "message of 200 B and its answer, both ends, processor time"
EXCHANGE = "permit exchange with 60 calling nodes, processor time"


def _growth(slopes, role, part, count, slope):
    values = [slopes.get("control-cost", f"slope {slope}, {role} {u}") for u in UNITS]
    formula = f"{count:g} x measured slope {slope}"
    mechanism = {
        "per node": "member records in deltas, digest of the view",
        "per service": "documents by interest",
        "per change/s": "versions in deltas, documents fetched by interest",
    }[slope]
    # A negative slope is noise of the measurement.
    costs = (max(0.0, count * value) for value in values)
    return Line(part, mechanism, formula, 0.0, *costs)


def table(lines):
    """Makes the table of a role with its sum."""
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


def bounds(lines):
    """Compares the sum of a node with its bounds."""
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


def slower_exchange(line):
    """Works out the permit exchange with longer periods in calm."""
    factor = _exchange.RENEWAL_PERIOD_S / LONG_PERIOD_S
    return (
        f"renewed every {LONG_PERIOD_S:g} s it would take {line.cpu * factor:.2f}% of "
        f"a core and {line.traffic_kb_s * factor:.1f} KB/s"
    )


def bad_days(slopes):
    """Works out the load of large failures on each remaining node."""
    record_b = slopes.get("costs", "member record, encoded")
    message_ms = slopes.get("costs", MESSAGE)
    cases = [
        ("a rack", RACK_HOSTS),
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
        # Events that arrive within 20 ms share a message; at worst none do.
        messages = hosts * _gossip.FANOUT
        spent_ms = messages * message_ms
        rows.append(
            f"| {name} | {hosts} | {traffic_kb:.0f} | at most {messages} "
            f"| at most {spent_ms:.0f} | {_permits.LEASE_S:g} s |"
        )
    return "\n".join(rows)


def restart(slopes):
    """Works out the load on control when a data centre restarts at once."""
    nodes = NODES // DATA_CENTERS
    fetches = nodes * 2
    message_ms = slopes.get("costs", MESSAGE)
    spent_s = fetches * message_ms / 1000 / CONTROL_PROCESSES
    view_kb = NODES * slopes.get("costs", "member record, encoded") / 1000
    return (
        f"{nodes} nodes ask control for their documents and rosters in two messages "
        f"each: {fetches} messages, {spent_s:.2f} s of processor time on each of "
        f"{CONTROL_PROCESSES} control processes. Each copies the view once: "
        f"{view_kb:.0f} KB. Their claim holders copy the records of their groups from "
        "the other holders, which are in other data centres."
    )


def log_size(slopes):
    """Works out the disk use of a control process."""
    change_b = slopes.get("costs", "registry, memory a change")
    hours = _replica.COMPACT_ENTRIES / (CHANGES_PER_DAY / 24)
    snapshot = slopes.get("costs", "snapshot after 2000 changes")
    return (
        f"The log is replaced by a snapshot each {_replica.COMPACT_ENTRIES} entries, "
        f"every {hours:.1f} h at {CHANGES_PER_DAY:,} changes a day. The registry takes "
        f"{change_b:.0f} B a change in memory while history is kept; a snapshot after "
        f"2,000 changes has {snapshot:.2f} MB."
    )


def page():
    """Makes the text of the page."""
    slopes = Slopes()
    template = (Path(__file__).parent / "capacity.md").read_text()
    node = node_lines(slopes)
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
        node_table=table(node),
        node_bounds=bounds(node),
        slower_exchange=slower_exchange(node[-1]),
        request_table=table(request_lines(slopes)),
        control_table=table(control_lines(slopes)),
        bad_days=bad_days(slopes),
        restart=restart(slopes),
        log_size=log_size(slopes),
    )


if __name__ == "__main__":
    PAGE.write_text(page())

"""Runs experiments: ``python -m bench NAME``, where ``all`` runs each.

Prints one JSON object a line, keeps the lines in ``bench/results/`` and exits
with 1 when a bound does not hold. An experiment is a module of this package,
named after it with underscores, with ``run(seeds)`` that yields
:class:`bench.rows.Row`.
"""

import importlib
import sys
import time
from pathlib import Path

import msgspec

EXPERIMENTS = (
    "hop",
    "overload",
    "recovery",
    "retries",
    "once",
    "poison",
    "silent",
    "drain",
    "stream",
    "config",
    "partition",
    "race",
    "repair",
    "restart",
    "membership",
    "control-cost",
    "costs",
    "replay",
    "logs",
)
SEEDS = (1, 2, 3)
RESULTS = Path(__file__).parent / "results"


def run(name):
    """Runs one experiment.

    :return: whether every bound held.
    """
    module = importlib.import_module(f"bench.{name.replace('-', '_')}")
    started_at = time.time()
    earlier = _earlier(name)
    lines = []
    holds = True
    for row in module.run(SEEDS):
        record = {**row._asdict(), "holds": row.holds}
        record["date"] = time.strftime("%Y-%m-%d", time.gmtime(started_at))
        record["command"] = f"make bench NAME={name}"
        record["earlier"] = earlier.get((row.case, row.seed))
        lines.append(msgspec.json.encode(record))
        print(lines[-1].decode(), flush=True)
        holds = holds and row.holds
    RESULTS.mkdir(exist_ok=True)
    (RESULTS / f"{name}.jsonl").write_bytes(b"\n".join(lines) + b"\n")
    return holds


def _earlier(name):
    path = RESULTS / f"{name}.jsonl"
    if not path.exists():
        return {}
    records = [msgspec.json.decode(line) for line in path.read_bytes().splitlines()]
    return {(item["case"], item["seed"]): item["figpick"] for item in records}


def main(name):
    """Runs the named experiments and gives the exit code."""
    if name != "all" and name not in EXPERIMENTS:
        print(f"unknown experiment {name!r}; known: all, {', '.join(EXPERIMENTS)}")
        return 2
    names = EXPERIMENTS if name == "all" else (name,)
    results = [run(each) for each in names]
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1] if len(sys.argv) > 1 else "all"))

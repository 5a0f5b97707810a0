"""Runs experiments: ``python -m bench NAME``, where ``all`` runs every experiment.

Prints one JSON object per line, writes the lines to ``bench/results/`` and exits
with 1 when a result does not meet its bound. Each experiment is a module of this
package with the same name (underscores instead of hyphens) and a function
``run(seeds)`` that yields :class:`bench.rows.Row`.
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
RESULTS_FOLDER = Path(__file__).parent / "results"


def run(name):
    """Runs one experiment and writes its results.

    :return: whether all results met their bounds.
    """
    module = importlib.import_module(f"bench.{name.replace('-', '_')}")
    started_at = time.time()
    previous_figures = _previous_figures(name)
    lines = []
    all_hold = True
    for row in module.run(SEEDS):
        record = {**row._asdict(), "holds": row.holds}
        record["date"] = time.strftime("%Y-%m-%d", time.gmtime(started_at))
        record["command"] = f"make bench NAME={name}"
        record["earlier"] = previous_figures.get((row.case, row.seed))
        lines.append(msgspec.json.encode(record))
        print(lines[-1].decode(), flush=True)
        all_hold = all_hold and row.holds
    RESULTS_FOLDER.mkdir(exist_ok=True)
    (RESULTS_FOLDER / f"{name}.jsonl").write_bytes(b"\n".join(lines) + b"\n")
    return all_hold


def _previous_figures(name):
    path = RESULTS_FOLDER / f"{name}.jsonl"
    if not path.exists():
        return {}
    records = [msgspec.json.decode(line) for line in path.read_bytes().splitlines()]
    return {(item["case"], item["seed"]): item["figpick"] for item in records}


def main(name):
    """Runs the named experiments and returns the exit code."""
    if name != "all" and name not in EXPERIMENTS:
        print(f"unknown experiment {name!r}; known: all, {', '.join(EXPERIMENTS)}")
        return 2
    names = EXPERIMENTS if name == "all" else (name,)
    results = [run(each) for each in names]
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1] if len(sys.argv) > 1 else "all"))

"""Demonstrates a chain of three services before, during and after a surge of load.

Run as ``make demo``; prints the goodput of root requests by phase and the recovery
time.
"""

import asyncio

from bench import traces
from bench.replay import Replay

CALM_UNTIL_S = 5.0
SURGE_UNTIL_S = 12.0
END_S = 18.0
CALM_LOAD = 0.5
SURGE_LOAD = 3.0


def main():
    """Runs the demonstration and prints its figures."""
    head = traces.make_head("chain", "demo", {}, SURGE_UNTIL_S, resends=2)
    head["duration_s"] = END_S
    rates = [(0, CALM_LOAD), (CALM_UNTIL_S, SURGE_LOAD), (SURGE_UNTIL_S, CALM_LOAD)]
    trace = traces.make(head, rates)
    print(
        "Starting a control process, 6 nodes and 6 upstreams on loopback.", flush=True
    )
    replay = Replay(trace)
    asyncio.run(replay.run())
    phases = [
        ("calm", 0, CALM_UNTIL_S, CALM_LOAD),
        ("surge", CALM_UNTIL_S, SURGE_UNTIL_S, SURGE_LOAD),
        ("after", SURGE_UNTIL_S, END_S, CALM_LOAD),
    ]
    print("phase  load  requests  good  good, importance 9  least possible refused")
    for name, from_s, until_s, load in phases:
        _print_phase(replay.completions, name, from_s, until_s, load)
    print(f"recovery time: {replay.recovery_s()} s after the end of the surge")


def _print_phase(completions, name, from_s, until_s, load):
    phase = [c for c in completions if from_s <= c.at_s < until_s]
    top = [c for c in phase if c.importance == 9]
    min_refused_share = max(0.0, 1 - 1 / load)
    print(
        f"{name:6} {load:4.1f}  {len(phase):8}  {_good_share(phase):4.2f}"
        f"  {_good_share(top):18.2f}  {min_refused_share:22.2f}"
    )


def _good_share(completions):
    return sum(c.succeeded for c in completions) / max(1, len(completions))


if __name__ == "__main__":
    main()

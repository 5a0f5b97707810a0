"""Cost and volume of decision logs at one and three times the usual load.

The usual load is that of a node under a surge: 150 refused calls a second. Lines are
written to a pipe whose reader follows, or stops reading.
"""

import os
import threading
import time

from bench.rows import Row
from figpick.base import _logs

USUAL_PER_S = 150
SECONDS = 5
# The stated bounds: 30 lines a second over a long time and 200 at once; a node may
# spend 1.3% of a core on control, and logs are a small part of that.
BOUND_US_PER_CALL = 100.0
LINE = {
    "id": "d99a6cd195fa16d8.63f6a1dcf39f7b43",
    "route": "r-tmxevvh",
    "service": "lowu11d",
    "reason": "every host of the service is full",
    "placements": 2,
    "may_have_run": False,
    "rank": 4,
    "key": 0.5,
    "waited_s": 0.002,
    "retry_after_s": 0.21,
    "version": 24,
    "pressure": 1.2,
    "parent": "d99a6cd195fa16d8",
}


def run(seeds):
    """Yields the rows of each load, with a reader and without."""
    for seed in seeds:
        for factor in (1, 3):
            for reads in (True, False):
                yield from _measure(seed, factor, reads)


def _measure(seed, factor, reads):
    read, write = os.pipe()
    os.set_blocking(write, False)
    taken = []
    reader = threading.Thread(target=_drain, args=(read, taken))
    if reads:
        reader.start()
    budget = _logs.LogRateLimiter()
    calls = factor * USUAL_PER_S * SECONDS
    handler = _logs.start_structured("info", "node", write)
    log = _logs.CallLogger("calls")
    pause_s = SECONDS / calls
    spent_s = 0.0
    begun_at = time.perf_counter()
    for _ in range(calls):
        started_at = time.perf_counter()
        if budget.allow("Call refused.", started_at):
            log.info("Call refused.", LINE)
        spent_s += time.perf_counter() - started_at
        time.sleep(pause_s)
    lasted_s = time.perf_counter() - begun_at
    bound_lines = _logs.BURST_LINES + lasted_s * _logs.LINES_PER_S
    _logs.stop_structured(handler)
    os.close(write)
    if reads:
        reader.join()
    os.close(read)
    case = f"{factor}x, {'reader follows' if reads else 'reader stops'}"
    yield Row(
        "logs",
        f"{case}, time a call",
        seed,
        None,
        round(spent_s / calls * 1e6, 1),
        BOUND_US_PER_CALL,
        "us",
    )
    if reads:
        data = b"".join(taken)
        lines = data.count(b"\n")
        yield Row("logs", f"{case}, lines", seed, calls, lines, bound_lines, "lines")
        yield Row(
            "logs",
            f"{case}, volume",
            seed,
            None,
            round(len(data) / lasted_s / 1000, 1),
            None,
            "KB/s",
        )


def _drain(descriptor, taken):
    while chunk := os.read(descriptor, 65536):
        taken.append(chunk)

"""Cost and volume of decision logs at one and three times the typical load.

The typical load is that of a node under a surge: 150 refused calls per second. Lines
are written to a pipe that is either read all the time or not read at all.
"""

import os
import threading
import time

from bench.rows import Row
from figpick.base import _logs

TYPICAL_CALLS_PER_S = 150
DURATION_S = 5
# A node may write 30 lines per second in the long run and 200 in a burst. It may spend
# 1.3% of a core on control, and logs account for a small part of that.
MAX_US_PER_CALL = 100.0
LOG_FIELDS = {
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
    """Measures the cost of logs for each load, with a reader and without.

    :return: iterable of :class:`Row`.
    """
    for seed in seeds:
        for factor in (1, 3):
            for has_reader in (True, False):
                yield from _measure(seed, factor, has_reader)


def _measure(seed, factor, has_reader):
    read_end, write_end = os.pipe()
    os.set_blocking(write_end, False)
    chunks = []
    reader = threading.Thread(target=_read_all, args=(read_end, chunks))
    if has_reader:
        reader.start()
    rate_limiter = _logs.LogRateLimiter()
    call_count = factor * TYPICAL_CALLS_PER_S * DURATION_S
    handler = _logs.start_structured("info", "node", write_end)
    log = _logs.CallLogger("calls")
    interval_s = DURATION_S / call_count
    spent_s = 0.0
    run_started_at = time.perf_counter()
    for _ in range(call_count):
        started_at = time.perf_counter()
        if rate_limiter.allow("Call refused.", started_at):
            log.info("Call refused.", LOG_FIELDS)
        spent_s += time.perf_counter() - started_at
        time.sleep(interval_s)
    duration_s = time.perf_counter() - run_started_at
    max_lines = _logs.BURST_LINES + duration_s * _logs.LINES_PER_S
    _logs.stop_structured(handler)
    os.close(write_end)
    if has_reader:
        reader.join()
    os.close(read_end)
    case = f"{factor}x, {'reader follows' if has_reader else 'reader stops'}"
    yield Row(
        "logs",
        f"{case}, time a call",
        seed,
        None,
        round(spent_s / call_count * 1e6, 1),
        MAX_US_PER_CALL,
        "us",
    )
    if has_reader:
        data = b"".join(chunks)
        lines = data.count(b"\n")
        yield Row("logs", f"{case}, lines", seed, call_count, lines, max_lines, "lines")
        yield Row(
            "logs",
            f"{case}, volume",
            seed,
            None,
            round(len(data) / duration_s / 1000, 1),
            None,
            "KB/s",
        )


def _read_all(descriptor, chunks):
    while chunk := os.read(descriptor, 65536):
        chunks.append(chunk)

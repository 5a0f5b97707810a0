"""A request with a long path, within the limits, beside other clients."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1]))

from harness_3 import CONTROL_COUNT, ask, deployment, read_answer, render_request, run

SERVICES = ("entries", "scans")
CLIENTS = 10
REQUESTS = 4
WORK_MS = 20
TIMEOUT_S = 2
DEADLINE_MS = 6000
MAX_HEADER_BYTES = 1024 * 1024
SEGMENTS = 250_000
# An answer is due half a second after the timeout of its route at the latest.
ANSWER_SLACK_S = 0.5
ROUTES = [
    ["r-look", "review.example", "/entries/get/", "idempotent", TIMEOUT_S, 1.5, 1]
    + [None, 2, "entries"],
]


async def look_up(number, address, record):
    """Sends requests on one kept connection, one after the other."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        for count in range(REQUESTS):
            request_id = f"look-{number}-{count}"
            path = f"/entries/get/1500/{WORK_MS}/x"
            sent_at, _, _ = record.note("sent", id=request_id)
            writer.write(render_request("GET", path, request_id, DEADLINE_MS))
            status, *_ = await read_answer(reader)
            took_s = time.monotonic() - sent_at
            record.note("answered", id=request_id, status=status, took=f"{took_s:.3f}")
            await asyncio.sleep(0.25)
    except (EOFError, OSError) as error:
        record.note("closed", id=request_id, error=repr(error))
    writer.close()


async def send_long_path(address, record):
    _, writer = await asyncio.open_connection(*address)
    path = f"/entries/get/1500/{WORK_MS}" + "/a" * SEGMENTS
    record.note("sent-long", id="long-1", path_bytes=len(path))
    writer.write(render_request("GET", path, "long-1", DEADLINE_MS))
    return writer


async def check_ready(address, record):
    """Asks for the readiness once a second, as the platform does."""
    while True:
        status, _ = await ask("GET", address, "/ready")
        record.note("ready", status=status)
        await asyncio.sleep(1.0)


async def play(record, with_trouble):
    folder = Path(__file__).parent
    limits = {"maxHeaderBytes": MAX_HEADER_BYTES}
    async with deployment(SERVICES, folder, record, ROUTES, limits=limits) as deployed:
        address = deployed.outbound(1)
        clients = [
            asyncio.ensure_future(look_up(number, address, record))
            for number in range(CLIENTS)
        ]
        ready = deployed.ip(CONTROL_COUNT + 1), deployed.ports["ready"]
        probes = asyncio.ensure_future(check_ready(ready, record))
        await asyncio.sleep(0.4)
        if with_trouble:
            await send_long_path(address, record)
        await asyncio.wait(clients, timeout=REQUESTS * (TIMEOUT_S + ANSWER_SLACK_S))
        probes.cancel()
    due_s = TIMEOUT_S + ANSWER_SLACK_S
    took = {fields["id"]: float(fields["took"]) for _, fields in record.of("answered")}
    sent = [fields["id"] for _, fields in record.of("sent")]
    unanswered = [each for each in sent if took.get(each, due_s + 1) > TIMEOUT_S]
    late = [each for each in unanswered if took.get(each, due_s + 1) > due_s]
    record.note("late", count=len(late), of=len(unanswered), sent=len(sent))
    return len(late) > len(unanswered) / 2


run(play, Path(__file__).parent)

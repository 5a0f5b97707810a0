"""A heartbeat with unreadable bytes in its path; looks for requests nobody has sent."""

import asyncio
import sys
from pathlib import Path
from urllib.parse import quote

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from harness_2 import run_case, send_in_turn, send_other_heartbeat  # noqa: E402

HOST = "signoffs.example"
CLIENTS = 4
REQUESTS = 20
WORK_S = 0.05
DEADLINE_MS = 5000
HEARTBEAT_AFTER_S = 0.3
# What stands behind the id of the server in the path, percent-encoded.
REST_OF_PATH = (
    "\r\nContent-Length: 0\r\n\r\n"
    "POST /x/nobody HTTP/1.1\r\nHost: signoffs.example\r\nAttempt-Id: nobody\r\nX: "
)


async def serve(server, request):
    """Records a signoff."""
    record = server.deployment.record
    record.write(f"{request.request_id}: {request.method} {request.path} is run")
    await asyncio.sleep(WORK_S)
    return b"recorded"


async def case(deployment, has_trouble):
    """Returns whether the server runs a request whose id no client has sent."""
    for _ in range(3):
        deployment.add("control")
    machine = deployment.add("node", "signoffs")
    await deployment.start([(HOST, "non_idempotent", 5, "signoffs")], serve)
    ids = [
        [f"signoff-{number}-{count}" for count in range(REQUESTS)]
        for number in range(CLIENTS)
    ]
    sent = {request_id for each in ids for request_id in each}
    clients = [
        asyncio.ensure_future(
            send_in_turn(
                deployment, machine, "GET", HOST, each, deadline_ms=DEADLINE_MS
            )
        )
        for each in ids
    ]
    await asyncio.sleep(HEARTBEAT_AFTER_S)
    server = deployment.servers[0]
    if has_trouble:
        segment = quote(server.instance + REST_OF_PATH, safe="")
        await send_other_heartbeat(deployment, server, "signoffs", segment)
    await asyncio.gather(*clients)
    unsent = [request_id for request_id in server.runs if request_id not in sent]
    deployment.record.write(
        f"{len(sent)} requests sent, {len(server.runs)} run, {len(unsent)} of them "
        f"with an id that no client has sent"
    )
    return bool(unsent)


run_case(FOLDER, case)

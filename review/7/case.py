"""A heartbeat with unreadable bytes in its path; looks for requests nobody has sent."""

import asyncio
import sys
from pathlib import Path
from urllib.parse import quote

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from harness_2 import (  # noqa: E402
    CONNECTION_ERRORS,
    call_api,
    exchange,
    open_client,
    run_case,
)

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


async def send_signoffs(deployment, machine, number, sent):
    """Sends signoffs on a kept connection."""
    record = deployment.record
    reader, writer = await open_client(machine)
    for count in range(REQUESTS):
        request_id = f"signoff-{number}-{count}"
        sent.add(request_id)
        try:
            status, _, _ = await exchange(
                reader, writer, "GET", HOST, "/x/1", request_id, deadline_ms=DEADLINE_MS
            )
        except CONNECTION_ERRORS as error:
            record.write(f"{request_id}: the connection ends: {error!r}")
            reader, writer = await open_client(machine)
            continue
        record.write(f"{request_id}: status {status}")
    writer.close()


async def send_heartbeat(deployment, server):
    """Sends a heartbeat with missing fields and line ends in its path.

    ``zone``, ``version``, ``coldLeftS`` and ``born`` are missing.
    """
    fields = {
        "service": server.machine.service,
        "address": f"{server.machine.ip}:{server.machine.app_port}",
        "slots": server.slots,
        "state": "ready",
        "sequence": 1,
    }
    path = "/instances/" + quote(server.instance + REST_OF_PATH, safe="")
    status, _ = await call_api(server.machine.control, "PUT", path, fields)
    deployment.record.write(f"heartbeat of another writer, {path}: status {status}")


async def case(deployment, has_trouble):
    """Returns whether the server runs a request whose id no client has sent."""
    for _ in range(3):
        deployment.add("control")
    machine = deployment.add("node", "signoffs")
    await deployment.start([(HOST, "non_idempotent", 5, "signoffs")], serve)
    sent = set()
    clients = [
        asyncio.ensure_future(send_signoffs(deployment, machine, number, sent))
        for number in range(CLIENTS)
    ]
    await asyncio.sleep(HEARTBEAT_AFTER_S)
    server = deployment.servers[0]
    if has_trouble:
        await send_heartbeat(deployment, server)
    await asyncio.gather(*clients)
    unsent = [request_id for request_id in server.runs if request_id not in sent]
    deployment.record.write(
        f"{len(sent)} requests sent, {len(server.runs)} run, {len(unsent)} of them "
        f"with an id that no client has sent"
    )
    return bool(unsent)


run_case(FOLDER, case)

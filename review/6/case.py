"""A heartbeat of another writer; counts the requests that run at a foreign service."""

import asyncio
import sys
from pathlib import Path

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
OTHER_HOST = "entries.example"
CLIENTS = 40
REQUESTS = 15
WORK_S = 0.16
DEADLINE_MS = 5000
HEARTBEAT_AFTER_S = 1.0


async def serve(server, request):
    """Works on a request, whatever service it is meant for, as an application does."""
    await asyncio.sleep(WORK_S)
    return b"recorded"


async def send_signoffs(deployment, machine, number):
    """Sends signoffs, which may run once, on a kept connection."""
    record = deployment.record
    reader, writer = await open_client(machine)
    for count in range(REQUESTS):
        request_id = f"signoff-{number}-{count}"
        try:
            status, _, _ = await exchange(
                reader, writer, "POST", HOST, "/x/1", request_id,
                body=b"signoff", deadline_ms=DEADLINE_MS,
            )  # fmt: skip
        except CONNECTION_ERRORS as error:
            record.write(f"{request_id}: the connection ends: {error!r}")
            reader, writer = await open_client(machine)
            continue
        record.write(f"{request_id}: status {status}")
    writer.close()


async def send_heartbeat(deployment, server):
    """Sends a heartbeat with missing fields that names a service of another machine.

    ``zone``, ``version``, ``coldLeftS`` and ``born`` are missing.
    """
    fields = {
        "service": "signoffs",
        "address": f"{server.machine.ip}:{server.machine.app_port}",
        "slots": server.slots,
        "state": "ready",
        "sequence": 1,
    }
    path = f"/instances/{server.instance}"
    status, _ = await call_api(server.machine.control, "PUT", path, fields)
    deployment.record.write(f"heartbeat of another writer: status {status}")


async def case(deployment, has_trouble):
    """Returns whether a server of another service runs a signoff."""
    for _ in range(3):
        deployment.add("control")
    entries = deployment.add("node", "entries")
    deployment.add("node", "signoffs")
    routes = [
        (HOST, "non_idempotent", 5, "signoffs"),
        (OTHER_HOST, "idempotent", 5, "entries"),
    ]
    await deployment.start(routes, serve)
    clients = [
        asyncio.ensure_future(
            send_signoffs(deployment, deployment.nodes[number % 2], number)
        )
        for number in range(CLIENTS)
    ]
    await asyncio.sleep(HEARTBEAT_AFTER_S)
    other = deployment.servers[0]
    deployment.require(other.machine is entries, "the servers are in another order")
    if has_trouble:
        await send_heartbeat(deployment, other)
    await asyncio.gather(*clients)
    runs = other.run_count("signoff")
    signoffs = deployment.servers[1].run_count("signoff")
    deployment.record.write(
        f"signoffs run by their own service: {signoffs}, by entries: {runs}"
    )
    return runs > 0


run_case(FOLDER, case)

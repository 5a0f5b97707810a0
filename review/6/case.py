"""A heartbeat of another writer; counts the requests that run at a foreign service."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from harness_2 import run_case, send_in_turn, send_other_heartbeat  # noqa: E402

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
            send_in_turn(
                deployment,
                deployment.nodes[number % 2],
                "POST",
                HOST,
                [f"signoff-{number}-{count}" for count in range(REQUESTS)],
                body=b"signoff",
                deadline_ms=DEADLINE_MS,
            )
        )
        for number in range(CLIENTS)
    ]
    await asyncio.sleep(HEARTBEAT_AFTER_S)
    other = deployment.servers[0]
    deployment.require(other.machine is entries, "the servers are in another order")
    if has_trouble:
        await send_other_heartbeat(deployment, other, "signoffs", other.instance)
    await asyncio.gather(*clients)
    runs = other.run_count("signoff")
    signoffs = deployment.servers[1].run_count("signoff")
    deployment.record.write(
        f"signoffs run by their own service: {signoffs}, by entries: {runs}"
    )
    return runs > 0


run_case(FOLDER, case)

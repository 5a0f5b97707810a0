"""A server that left is used again after all processes were killed."""

import asyncio
import signal
from pathlib import Path

from harness import Client, Server, SetupError, put_first_configuration, run_case

FOLDER = Path(__file__).resolve().parent
ROUTES = [
    {
        "name": "scan",
        "pathPrefix": "/scan/",
        "service": "scans",
        "timeoutS": 4,
        "routeType": "download",
    }
]
DRAIN_S = 2.0
STABLE_WINDOW_S = 3.0
DOWN_S = 1.0
# A heartbeat that was sent before the server left arrives so much later.
LATE_BY_S = 3.0
SERVES_ON_S = 16.0


async def work(server, request, writer):
    await asyncio.sleep(0.05)
    return 200, b"ok"


async def send_often(client):
    while True:
        await client.send("GET", "/scan/1", deadline_s=1.5)
        await asyncio.sleep(0.25)


async def case(fleet, is_troubled):
    record = fleet.record
    await put_first_configuration(fleet, ROUTES)
    servers = [Server(machine, work) for machine in fleet.nodes[1:]]
    for server in servers:
        await server.start()
    await asyncio.sleep(4.0)
    clients = [Client(machine, f"client-{machine.name}") for machine in fleet.nodes]
    sending = [asyncio.ensure_future(send_often(client)) for client in clients]
    await asyncio.sleep(2.0)
    leaving = servers[0]
    late_beat, instance = leaving.next_beat(), leaving.instance
    leaving.stop_beats()
    beat_at = record.now()
    if not await leaving.leave():
        raise SetupError("the end of the server was not acknowledged")
    acknowledged_at = record.now()
    processes = (*fleet.controls, *fleet.nodes)
    if is_troubled:
        await asyncio.sleep(0.3)
        for machine in processes:
            machine.signal(signal.SIGKILL)
        await asyncio.sleep(DOWN_S)
        for machine in processes:
            await machine.start()
    back_at = record.now()
    await fleet.until_ready([leaving.machine])
    await asyncio.sleep(max(0.0, beat_at + LATE_BY_S - record.now()))
    is_accepted = await leaving.beat(late_beat, instance)
    record.write(leaving.name, f"a late heartbeat arrives, accepted: {is_accepted}")
    await asyncio.sleep(max(0.0, acknowledged_at + SERVES_ON_S - record.now()))
    for task in sending:
        task.cancel()
    leaving.stop()
    # A final fault that took the core doubles the time until hosts are in touch.
    since = max(acknowledged_at + DRAIN_S, back_at + 2 * STABLE_WINDOW_S)
    late = [at for at, _, _ in leaving.runs if at > since + 0.5]
    if not late:
        return []
    return [
        f"{len(late)} requests reached the server, {late[0] - acknowledged_at:.1f} to "
        f"{late[-1] - acknowledged_at:.1f} s after its end was acknowledged"
    ]


if __name__ == "__main__":
    run_case(case, FOLDER, 3, ["entries", "scans", "scans"])

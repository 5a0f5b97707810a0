"""A change that was refused with 412 comes into force after a control host froze."""

import asyncio
import json
import signal
from pathlib import Path

from harness import (
    Client,
    Server,
    SetupError,
    http_call,
    make_configuration,
    put_first_configuration,
    run_case,
)

FOLDER = Path(__file__).resolve().parent
SERVICE = "entries"
FREEZE_S = 3.3
CALL_TIMEOUT_S = 1.0
# An operator calls the next process after these times. They grow with each attempt and
# differ between the orders in progress.
BACKOFF_S = {5: 0.9, 7: 0.1}
BACKOFF_GROWTH = 1.5
FINAL_STATUSES = (200, 400, 409, 412, 413, 422)
READ_S = 6.0


def make_routes(version):
    """Returns the routes of a version; one of them is in that version only."""
    return [
        {"name": "all", "pathPrefix": "/all/", "service": SERVICE, "timeoutS": 4},
        {
            "name": f"only-{version}",
            "pathPrefix": f"/only-{version}/",
            "service": SERVICE,
            "timeoutS": 4,
        },
    ]


async def work(server, request, writer):
    return 200, b"ok"


async def send_order(fleet, version, base, machines):
    """Sends an order to one process after another until its result is clear.

    :return: the final status, 0 without one.
    """
    body = make_configuration(version, base, make_routes(version), [SERVICE])
    backoff_s = BACKOFF_S[version]
    for machine in machines:
        status, text = await http_call(
            machine.address("control"),
            "PUT",
            "/config",
            body,
            timeout_s=CALL_TIMEOUT_S,
        )
        shown = f"{status} {text.decode()}" if status else "no response"
        fleet.record.write(
            "operator", f"sends r{version} on r{base} to {machine.name}: {shown}"
        )
        if status in FINAL_STATUSES:
            return status
        await asyncio.sleep(backoff_s)
        backoff_s *= BACKOFF_GROWTH
    return 0


async def read_version(fleet, machine):
    status, body = await http_call(machine.address("control"), "GET", "/config")
    version = json.loads(body)["version"] if status == 200 else None
    fleet.record.write("operator", f"reads {version or status} at {machine.name}")
    return version


async def case(fleet, is_troubled):
    await put_first_configuration(fleet, make_routes(1))
    server = Server(fleet.nodes[0], work)
    await server.start()
    client = Client(fleet.nodes[0], "client")
    await asyncio.sleep(3.0)
    leader = await fleet.leader()
    if leader is None:
        raise SetupError("no leader")
    frozen, other = (each for each in fleet.controls if each is not leader)
    loop = asyncio.get_running_loop()
    if is_troubled:
        frozen.signal(signal.SIGSTOP)
        loop.call_later(FREEZE_S, frozen.signal, signal.SIGCONT)
        thawed_at = loop.time() + FREEZE_S
    else:
        thawed_at = loop.time()
    order = [frozen, other, leader, other]
    statuses = await asyncio.gather(
        send_order(fleet, 5, 1, order), send_order(fleet, 7, 5, order)
    )
    if statuses[1] != 412:
        # Only a refused change can break the rule.
        return []
    broken = []
    end_at = thawed_at + READ_S
    while loop.time() < end_at and not broken:
        await asyncio.sleep(0.25)
        if await read_version(fleet, leader) == "r7":
            broken.append("r7 was refused with 412 and is read as the newest version")
    await asyncio.sleep(1.0)
    _, status, _ = await client.send("GET", "/only-7/x")
    if status == 200:
        broken.append("r7 was refused with 412 and its route is served")
    return broken


if __name__ == "__main__":
    run_case(case, FOLDER, 3, [SERVICE])

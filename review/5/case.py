"""Control processes end by themselves when a version has more than 64 bits."""

import asyncio
from collections import Counter
from pathlib import Path

from harness import http_call, make_configuration, run_case

FOLDER = Path(__file__).resolve().parent
SERVICE = "entries"
ROUTES = [{"name": "all", "pathPrefix": "/all/", "service": SERVICE, "timeoutS": 4}]
# A time stamp with microseconds, and one with milliseconds.
LONG_VERSION = 20261204195737123456
SHORT_VERSION = 20261204195737123
RESTART_DELAY_S = 0.5
LENGTH_S = 85.0
MIN_BACKOFF_S = 0.2
MAX_BACKOFF_S = 2.0
MIN_ENDS = 3
FINAL_STATUSES = (200, 400, 409, 412, 413, 422)


async def restart_ended(fleet, ends):
    """Starts ended processes again, as the platform does."""
    while True:
        await asyncio.sleep(RESTART_DELAY_S)
        for machine in fleet.controls:
            if machine.has_ended:
                ends[machine.name] += 1
                status = machine.process.returncode
                fleet.record.write(machine.name, f"ended by itself with {status}")
                await machine.start()


async def send_first_configuration(fleet, version):
    """Sends the configuration to one process after another until it is accepted."""
    body = make_configuration(version, 0, ROUTES, [SERVICE])
    backoff_s = MIN_BACKOFF_S
    attempt = 0
    while True:
        machine = fleet.controls[attempt % len(fleet.controls)]
        status, text = await http_call(
            machine.address("control"), "PUT", "/config", body, timeout_s=1.0
        )
        shown = f"{status} {text.decode()[:60]!r}" if status else "no response"
        fleet.record.write("operator", f"sends r{version} to {machine.name}: {shown}")
        if status in FINAL_STATUSES:
            return
        attempt += 1
        await asyncio.sleep(backoff_s)
        backoff_s = min(MAX_BACKOFF_S, 1.3 * backoff_s)


async def case(fleet, is_troubled):
    await asyncio.sleep(4.0)
    ends = Counter()
    watching = asyncio.ensure_future(restart_ended(fleet, ends))
    version = LONG_VERSION if is_troubled else SHORT_VERSION
    try:
        async with asyncio.timeout(LENGTH_S):
            await send_first_configuration(fleet, version)
            await fleet.until_ready()
            await asyncio.sleep(10.0)
    except TimeoutError:
        fleet.record.write("operator", "got no clear response")
    watching.cancel()
    often = [name for name, count in ends.items() if count >= MIN_ENDS]
    if 2 * len(often) < len(fleet.controls):
        return []
    return [f"control processes ended by themselves: {dict(sorted(ends.items()))}"]


if __name__ == "__main__":
    run_case(case, FOLDER, 3, [SERVICE])

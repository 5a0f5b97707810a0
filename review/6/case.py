"""A large request waits behind a slow one; checks the bytes that the client gets."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from harness_2 import (  # noqa: E402
    CONNECTION_ERRORS,
    EARLY_PATH,
    open_client,
    read_answer,
    run_case,
    send_request,
)

SLOW_HOST = "history.example"
STORE_HOST = "store.example"
SLOW_S = 2.5
STORE_TIMEOUT_S = 1
# Below the limit of 67108864 bytes in the configuration.
LARGE_BODY_BYTES = 50_000_000
SMALL_BODY_BYTES = 10_000
SERVICE_S = 0.2
DEADLINE_MS = 5000
ANSWER_TIMEOUT_S = 8.0


async def serve(server, request):
    """Answers with the id of the request, slowly on one of the paths."""
    await asyncio.sleep(SLOW_S if request.path == "/x/slow" else SERVICE_S)
    return request.request_id.encode()


async def read_in_order(deployment, reader, request_ids):
    """Reads the answers; returns whether one of them isn't an answer to its request."""
    for request_id in request_ids:
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                status, body, headers = await read_answer(reader)
        except CONNECTION_ERRORS as error:
            # A connection that ends is no wrong answer.
            deployment.record.write(f"{request_id}: the connection ends: {error!r}")
            return False
        except ValueError as error:
            deployment.record.write(f"{request_id}: no answer in the protocol: {error}")
            return True
        echoed = headers.get(b"attempt-id", b"").decode()
        deployment.record.write(f"{request_id}: {status} for {echoed!r} {body[:80]!r}")
        if 200 <= status < 300 and body != request_id.encode():
            deployment.record.write(f"{request_id}: the body is that of another answer")
            return True
    return False


async def play(deployment, entry, name, path, size):
    """Sends three requests ahead; returns whether a wrong answer comes back."""
    reader, writer = await open_client(entry)
    ids = [f"{name}-{each}" for each in ("warm", "slow", "large", "last")]
    await send_request(writer, "GET", SLOW_HOST, "/x/warm", ids[0])
    if await read_in_order(deployment, reader, ids[:1]):
        return True
    await send_request(
        writer, "GET", SLOW_HOST, "/x/slow", ids[1], deadline_ms=DEADLINE_MS
    )
    await send_request(
        writer, "POST", STORE_HOST, path, ids[2], body=bytes(size),
        deadline_ms=DEADLINE_MS,
    )  # fmt: skip
    await send_request(
        writer, "GET", SLOW_HOST, "/x/last", ids[3], deadline_ms=DEADLINE_MS
    )
    deployment.record.write(f"sent {ids[1:]}, {size} bytes in the second body")
    is_broken = await read_in_order(deployment, reader, ids[1:])
    writer.close()
    return is_broken


async def case(deployment, has_trouble):
    """Returns whether a client gets bytes that are no answer to its requests."""
    for _ in range(3):
        deployment.add("control")
    entry = deployment.add("node", "entries")
    deployment.add("node", "store")
    routes = [
        (SLOW_HOST, "idempotent", 5, "store"),
        (STORE_HOST, "idempotent", STORE_TIMEOUT_S, "store"),
    ]
    await deployment.start(routes, serve)
    size = LARGE_BODY_BYTES if has_trouble else SMALL_BODY_BYTES
    is_plain_broken = await play(deployment, entry, "plain", "/x/1", size)
    # The server answers this one before it has read the body.
    is_early_broken = await play(deployment, entry, "early", f"{EARLY_PATH}/1", size)
    deployment.record.write(f"broken: plain {is_plain_broken}, early {is_early_broken}")
    return is_plain_broken or is_early_broken


run_case(FOLDER, case)

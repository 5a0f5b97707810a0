"""A request with a long head, within the limits, beside downloads of other clients."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1]))

from harness_3 import body_of, deployment, read_answer, render_request, run

SERVICES = ("entries", "scans")
DOWNLOADS = 10
DOWNLOAD_BYTES = 3_000_000
DOWNLOAD_RATE = 1_000_000
DEADLINE_MS = 8000
MAX_HEADER_BYTES = 1024 * 1024
LINES, LINE_BYTES = 100, 9_900
BODY_BYTES = 64 * 1024
ALLOWED = 3
LOOKUP_BYTES = 1500
ROUTES = [
    ["r-look", "review.example", "/entries/get/", "idempotent", 8, 1.5, 1, None, 2]
    + ["entries"],
    ["r-scan", "review.example", "/scans/get/", "download", 8, 4, 1, None, 2, "scans"],
]


async def download(number, address, record):
    """Uses a kept connection for a small request, a download and a lookup behind it."""
    reader, writer = await asyncio.open_connection(*address)
    first = (f"first-{number}", "/scans/get", LOOKUP_BYTES)
    both = [(f"scan-{number}", "/scans/get", DOWNLOAD_BYTES)]
    both += [(f"look-{number}", "/entries/get", LOOKUP_BYTES)]
    for requests in ([first], both):
        for request_id, path, size in requests:
            record.note("sent", id=request_id)
            path = f"{path}/{size}/20/x"
            writer.write(render_request("GET", path, request_id, DEADLINE_MS))
        for request_id, _, size in requests:
            try:
                status, _, body, is_whole = await read_answer(reader)
            except (EOFError, OSError) as error:
                record.note("no-answer", id=request_id, error=repr(error))
                continue
            if not is_whole:
                record.note("broken-off", id=request_id, bytes=len(body))
                continue
            is_right = status != 200 or body == body_of(request_id, size)
            kind = "answered" if is_right else "wrong-answer"
            record.note(kind, id=request_id, status=status)
    writer.close()


async def send_long_head(address, record):
    reader, writer = await asyncio.open_connection(*address, limit=1 << 22)
    lines = "".join(f"X-{n}: {'v' * LINE_BYTES}\r\n" for n in range(LINES))
    body = bytes(BODY_BYTES)
    plain = render_request("PUT", "/scans/get/100/20/x", "long-1", DEADLINE_MS, body)
    head, _, _ = plain.partition(b"\r\n\r\n")
    data = head + b"\r\n" + lines.encode() + b"\r\n" + body
    record.note("sent", id="long-1", head_bytes=len(head) + len(lines))
    try:
        writer.write(data)
        status, *_ = await read_answer(reader)
        record.note("answered", id="long-1", status=status)
    except (EOFError, OSError) as error:
        record.note("closed", id="long-1", error=repr(error))
    writer.close()


async def play(record, with_trouble):
    folder = Path(__file__).parent
    limits = {"maxHeaderBytes": MAX_HEADER_BYTES}
    async with deployment(SERVICES, folder, record, ROUTES, limits=limits) as deployed:
        deployed.servers[1].send_rate = DOWNLOAD_RATE
        address = deployed.outbound(0)
        clients = [
            asyncio.ensure_future(download(number, address, record))
            for number in range(DOWNLOADS)
        ]
        if with_trouble:
            await asyncio.sleep(1.0)
            await send_long_head(address, record)
        await asyncio.gather(*clients)
    answered = {fields["id"] for _, fields in record.of("answered")}
    lost = [
        fields["id"]
        for _, fields in record.of("run", method="GET")
        if fields["id"] not in answered
    ]
    unbegun = [each for each in lost if each.startswith("look")]
    record.note("lost", count=len(lost), without_a_byte=len(unbegun))
    return len(unbegun) > ALLOWED


run(play, Path(__file__).parent)

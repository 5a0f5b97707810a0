"""Tests the wait of calls before a node holds any permit of a service."""

import asyncio
import time

from tornado.httputil import HTTPHeaders, RequestStartLine

from figpick.calls._plans import ClockReading, make_plan
from figpick.permits._permits import Grant
from figpick.registry._documents import Service
from figpick.routing._upstream_set import UpstreamSet

from .test_members import record

QUEUE_MS = 20
DOCUMENT = {"service": "parts", "routes": [], "limits": {"queue_ms": QUEUE_MS}}


def test_first_call_waits_for_the_first_grant():
    """Guards against refusing first calls when the first exchange is slow."""

    async def scenario():
        service = Service(DOCUMENT, 1)
        upstreams = UpstreamSet(service)
        upstreams.update(record("b"), 0.0)
        now = time.monotonic()
        line = RequestStartLine("GET", "/a", "HTTP/1.1")
        reading = ClockReading(now, time.time())
        plan = make_plan(service, line, HTTPHeaders(), None, "127.0.0.1:1", reading)
        call = asyncio.ensure_future(upstreams.acquire(plan, now))
        await asyncio.sleep(5 * QUEUE_MS / 1000)
        granted_at = time.monotonic()
        upstreams.get("b").permits.accept(Grant(1, 1, 1, 5.0), granted_at)
        upstreams.wake_waiters(granted_at)

        assert (await call).name == "b"

    asyncio.run(scenario())

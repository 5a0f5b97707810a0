"""Tests the wait of calls before a node holds any permit of a service."""

import asyncio
import time

from tornado.httputil import HTTPHeaders, RequestStartLine

from figpick.base._clock import Clock
from figpick.calls._plans import ClockReading, make_plan
from figpick.membership._members import Members
from figpick.permits._exchange import PermitExchange
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


def test_late_reply_does_not_replace_the_levels_of_a_newer_push():
    """Guards against calls admitted below a level that the owner has raised."""

    def make_message(sequence, level, contended):
        grant = [4, 1000, sequence, 5.0]
        return {"grant": grant, "level": level, "routes": {}, "contended": contended}

    async def scenario():
        members = Members(record("own"))
        members.merge(record("b"))
        upstreams = UpstreamSet(Service(DOCUMENT, 1))
        upstreams.update(members.get("b"), 0.0)
        upstream = upstreams.get("b")

        class Client:
            async def send(self, address, kind, message):
                push = make_message(2, 5.5, True)
                await exchange.handle_push({**push, "owner": "b"})
                return make_message(1, 0.0, False)

        exchange = PermitExchange(members, Client(), Clock())
        exchange._upstream_sets = {"parts": upstreams}
        exchange._start(upstreams, upstream, time.monotonic())
        await asyncio.sleep(0.05)
        assert upstream.level("any", time.monotonic()) == 5.5
        assert upstream.permits.contended

    asyncio.run(scenario())

"""Calls on silent connections while new connections to the upstream work."""

import asyncio
import time

from tests.proxied_node import allow_retries, call, refuse_retries, start_proxied_node

RECOVERY_S = 1.0


async def warm_up(graph, node):
    for _ in range(5):
        response = await call(graph, node, "GET", "/a?ms=5")
        assert response.status == 200
        response = await call(graph, node, "POST", "/a?ms=5")
        assert response.status == 200


def test_idempotent_call_recovers_on_a_new_connection():
    """Guards against calls that wait on a silent connection until their deadline."""

    async def scenario():
        async with start_proxied_node() as (graph, node, _, proxy):
            allow_retries(node)
            await warm_up(graph, node)
            proxy.silence()
            started_at = time.monotonic()
            calls = [call(graph, node, "GET", "/a?ms=5") for _ in range(3)]
            responses = await asyncio.gather(*calls)
            assert [response.status for response in responses] == [200, 200, 200]
            assert time.monotonic() - started_at < RECOVERY_S
            # The silent attempts end with the call and return their permits.
            await asyncio.sleep(0.05)
            assert node.node.dump()["upstreams"]["parts"][0]["in_use"] == 0

    asyncio.run(scenario())


def test_call_ends_when_its_second_connection_is_also_silent():
    """Guards against two silent attempts that wait for each other."""

    async def scenario():
        async with start_proxied_node() as (graph, node, _, proxy):
            allow_retries(node)
            await warm_up(graph, node)

            proxy.configure(silence_on="X-Request: silent")
            started_at = time.monotonic()
            headers = {"X-Request": "silent"}
            response = await call(graph, node, "GET", "/a?ms=5", headers)
            assert response.outcome == "unknown"
            assert node.node.counters.backup_attempts == 1
            assert time.monotonic() - started_at < RECOVERY_S

    asyncio.run(scenario())


def test_refused_retry_ends_a_silent_call():
    """Guards against a call without retries that waits until its deadline."""

    async def scenario():
        async with start_proxied_node() as (graph, node, _, proxy):
            refuse_retries(node)
            await warm_up(graph, node)
            proxy.silence()
            started_at = time.monotonic()
            response = await call(graph, node, "GET", "/a?ms=5")
            assert response.outcome == "unknown"
            assert time.monotonic() - started_at < RECOVERY_S

    asyncio.run(scenario())


def test_non_idempotent_call_ends_with_unknown_outcome():
    """Guards against a second execution and against a wait until the deadline."""

    async def scenario():
        async with start_proxied_node() as (graph, node, origin, proxy):
            allow_retries(node)
            await warm_up(graph, node)
            headers = {"X-Request": "once"}
            started_at = time.monotonic()
            task = asyncio.ensure_future(call(graph, node, "POST", "/a?ms=20", headers))
            await asyncio.sleep(0.015)
            proxy.silence(["down"])
            response = await task
            assert response.outcome == "unknown"
            assert time.monotonic() - started_at < RECOVERY_S
            assert origin.executions["once"] == 1

    asyncio.run(scenario())


def test_non_idempotent_call_does_not_use_an_old_connection():
    """Guards against losing a non-idempotent call on a silent connection."""

    async def scenario():
        async with start_proxied_node() as (graph, node, _, proxy):
            await warm_up(graph, node)
            proxy.silence()
            await asyncio.sleep(0.3)
            response = await call(graph, node, "POST", "/a?ms=5")
            assert response.status == 200

    asyncio.run(scenario())


def test_slow_call_is_not_given_up():
    """Guards against mistaking slow responses of a route for silence."""

    async def scenario():
        async with start_proxied_node() as (graph, node, _, _):
            response = await call(graph, node, "POST", "/a?ms=600")
            assert response.status == 200

    asyncio.run(scenario())

"""Calls on connections that stopped responding while new ones work."""

import asyncio
import time

from tests.proxied_node import allow_retries, call, refuse_retries, start_proxied_node

RECOVERY_S = 1.0


async def warm_up(graph, node):
    for _ in range(5):
        answer = await call(graph, node, "GET", "/a?ms=5")
        assert answer.status == 200
        answer = await call(graph, node, "POST", "/a?ms=5")
        assert answer.status == 200


def test_idempotent_call_recovers_on_a_new_connection():
    """Guards against calls that hang on a kept connection until their deadline."""

    async def scenario():
        async with start_proxied_node() as (graph, node, _, proxy):
            allow_retries(node)
            await warm_up(graph, node)
            proxy.silence()
            started_at = time.monotonic()
            calls = [call(graph, node, "GET", "/a?ms=5") for _ in range(3)]
            answers = await asyncio.gather(*calls)
            assert [answer.status for answer in answers] == [200, 200, 200]
            assert time.monotonic() - started_at < RECOVERY_S
            # The silent attempts end with the call and return their permits.
            await asyncio.sleep(0.05)
            assert node.node.dump()["upstreams"]["parts"][0]["in_use"] == 0

    asyncio.run(scenario())


def test_call_ends_when_its_second_connection_is_silent_too():
    """Guards against two silent attempts that wait for each other."""

    async def scenario():
        async with start_proxied_node() as (graph, node, _, proxy):
            allow_retries(node)
            await warm_up(graph, node)

            proxy.configure(silence_on="X-Request: silent")
            started_at = time.monotonic()
            headers = {"X-Request": "silent"}
            answer = await call(graph, node, "GET", "/a?ms=5", headers)
            assert answer.outcome == "unknown"
            assert node.node.counters.rescues == 1
            assert time.monotonic() - started_at < RECOVERY_S

    asyncio.run(scenario())


def test_refused_retry_ends_a_silent_call():
    """Guards against a call without retries left that hangs until its deadline."""

    async def scenario():
        async with start_proxied_node() as (graph, node, _, proxy):
            refuse_retries(node)
            await warm_up(graph, node)
            proxy.silence()
            started_at = time.monotonic()
            answer = await call(graph, node, "GET", "/a?ms=5")
            assert answer.outcome == "unknown"
            assert time.monotonic() - started_at < RECOVERY_S

    asyncio.run(scenario())


def test_call_that_runs_once_gets_unknown():
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
            answer = await task
            assert answer.outcome == "unknown"
            assert time.monotonic() - started_at < RECOVERY_S
            assert origin.executions["once"] == 1

    asyncio.run(scenario())


def test_old_connection_is_not_used_for_a_call_that_runs_once():
    """Guards against losing such a call on a connection that became silent."""

    async def scenario():
        async with start_proxied_node() as (graph, node, _, proxy):
            await warm_up(graph, node)
            proxy.silence()
            await asyncio.sleep(0.3)
            answer = await call(graph, node, "POST", "/a?ms=5")
            assert answer.status == 200

    asyncio.run(scenario())


def test_slow_call_is_not_given_up():
    """Guards against taking a route's slow answers for silence."""

    async def scenario():
        async with start_proxied_node() as (graph, node, _, _):
            answer = await call(graph, node, "POST", "/a?ms=600")
            assert answer.status == 200

    asyncio.run(scenario())

"""Tests that the adaptive limit follows the capacity of the upstream."""

import asyncio

from figpick.calls import _context
from figpick.permits._concurrency_limit import (
    AdaptiveLimit,
    DownstreamCalls,
    Observation,
)
from tests.proxied_node import call, start_proxied_node

NORMAL = Observation(completed=50, own_s=0.1, rate=100.0, shed=0)


def run_updates(limit, observation, count, now):
    for _ in range(count):
        now += 0.1
        limit.update(observation, now)
    return now


def test_limit_falls_on_shedding_and_recovers():
    """Guards against load on an upstream that refuses, and a limit that stays low."""
    limit = AdaptiveLimit(40)
    now = run_updates(limit, NORMAL, 5, 0.0)
    now = run_updates(limit, NORMAL._replace(shed=3), 1, now)
    assert limit.value == 30
    run_updates(limit, NORMAL, 10, now)
    assert limit.value == 40


def test_limit_falls_when_service_is_slow_without_more_throughput():
    """Guards against a queue that builds up inside the upstream."""
    limit = AdaptiveLimit(40)
    now = run_updates(limit, NORMAL, 5, 0.0)
    run_updates(limit, NORMAL._replace(own_s=0.4), 10, now)
    assert 1 <= limit.value < 40


def test_slower_downstream_calls_do_not_lower_the_limit():
    """Guards against a lower limit because a called service is slow."""
    calls = DownstreamCalls()
    calls.begin("e1", 1.0)
    calls.begin("e1", 1.1)
    calls.end("e1", False, 1.2)
    calls.end("e1", True, 1.5)
    assert calls.pop_total_s() == 0.5
    assert calls.count_unexplained_refusals(2, 1.6) == 1


def test_end_of_a_nested_call_is_recorded():
    """Guards against calls of an upstream that count as running forever."""

    async def scenario():
        async with start_proxied_node() as (graph, node, _, _):
            register_root = node.node.retries.register_root
            contexts, errors = [], []
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(lambda _, context: errors.append(context))

            def record_context(plan):
                plan = register_root(plan)
                contexts.append(_context.encode(plan.context, node.node.key))
                return plan

            node.node.retries.register_root = record_context
            assert (await call(graph, node, "GET", "/a")).status == 200
            downstream = node.node.exchange.owner.downstream
            headers = {_context.CONTEXT_HEADER: contexts[0]}
            nested = await call(graph, node, "GET", "/a?ms=100", headers)
            assert nested.status == 200
            await asyncio.sleep(0.05)
            assert not downstream._executions
            assert not errors

    asyncio.run(scenario())

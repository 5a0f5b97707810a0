"""Graceful shutdown of a node, which lets requests in flight complete."""

import asyncio

from ..base._logs import logger

# Calling nodes may send calls to the upstream until they receive its draining state.
PROPAGATION_S = 2.0
DRAIN_TIMEOUT_S = 30.0
# Time for the responses of calls that are ended, which may wait for claim holders.
RESPONSE_TIMEOUT_S = 2.0
POLL_PERIOD_S = 0.05

log = logger("shutdown")


async def drain(node, flush_members, clock):
    """Stops a node and returns when its calls have ended.

    Calls still in flight after ``DRAIN_TIMEOUT_S`` are ended, and their callers get a
    response. All later calls are refused.

    :param node: :class:`~figpick.roles._node.Node`.
    :param flush_members: coroutine function that sends changed member records to
        peers.
    :param clock: :class:`~figpick.base._clock.Clock`.
    """
    started_at = clock.monotonic()
    end_at = started_at + DRAIN_TIMEOUT_S
    node.begin_draining(end_at)
    await flush_members()
    propagation_s = PROPAGATION_S if node.has_calling_nodes else 0.0
    await _wait_until_idle(node, started_at + propagation_s, end_at, clock)
    node.stop_accepting()
    if not node.is_idle:
        log.warning("Calls are still in flight after {} s.", DRAIN_TIMEOUT_S)
        node.end_calls()
    end_at = clock.monotonic() + RESPONSE_TIMEOUT_S
    while node.has_calls and clock.monotonic() < end_at:
        await asyncio.sleep(POLL_PERIOD_S)
    await node.return_permits()


async def _wait_until_idle(node, earliest_at, end_at, clock):
    while (now := clock.monotonic()) < end_at:
        if node.is_idle and now >= earliest_at:
            return
        await asyncio.sleep(POLL_PERIOD_S)

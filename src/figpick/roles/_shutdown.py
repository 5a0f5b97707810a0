"""Graceful shutdown of a node, which lets requests in flight complete."""

import asyncio

from ..base._logs import logger

# Calling nodes may send calls to the upstream until they receive its draining state.
PROPAGATION_S = 2.0
DRAIN_TIMEOUT_S = 30.0
POLL_PERIOD_S = 0.05

log = logger("shutdown")


async def drain(node, flush_members, clock):
    """Marks a node as draining, waits until its calls end and returns its permits.

    The wait ends after ``DRAIN_TIMEOUT_S`` even if calls are still in flight.

    :param node: :class:`~figpick.roles._node.Node`.
    :param flush_members: coroutine function that sends changed member records to
        peers.
    :param clock: :class:`~figpick.base._clock.Clock`.
    """
    node.begin_draining()
    await flush_members()
    started_at = clock.monotonic()
    propagation_s = PROPAGATION_S if node.has_calling_nodes else 0.0
    while clock.monotonic() - started_at < DRAIN_TIMEOUT_S:
        if node.is_idle and clock.monotonic() - started_at >= propagation_s:
            break
        await asyncio.sleep(POLL_PERIOD_S)
    else:
        log.warning("Calls are still in flight after {} s.", DRAIN_TIMEOUT_S)
    await node.return_permits()

"""Graceful shutdown of a node: no request in flight is interrupted."""

import asyncio

from ..base._logs import logger

# Calling nodes may send to the upstream until they know that it is draining.
SPREAD_S = 2.0
DRAIN_LIMIT_S = 30.0
POLL_S = 0.05

log = logger("shutdown")


async def drain(node, spread, clock):
    """Drains a node and its upstream.

    :param node: :class:`~figpick.roles._node.Node`.
    :param spread: coroutine function that sends changed member records to peers.
    :param clock: :class:`~figpick.base._clock.Clock`.
    """
    node.begin_draining()
    await spread()
    started_at = clock.monotonic()
    spread_s = SPREAD_S if node.has_peers else 0.0
    while clock.monotonic() - started_at < DRAIN_LIMIT_S:
        if node.is_idle and clock.monotonic() - started_at >= spread_s:
            break
        await asyncio.sleep(POLL_S)
    else:
        log.warning("Calls are still in flight after {} s.", DRAIN_LIMIT_S)
    await node.return_permits()

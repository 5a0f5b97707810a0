"""Exchanges permits between calling nodes and the owners of upstreams."""

import asyncio

from ._errors import PeerError
from ._logs import logger
from ._permits import Grant, PermitPool

PERIOD_S = 0.5
SPARE_PERMITS = 2

log = logger("permits")


class PermitExchange:
    """Owns the permits of the local upstream and renews those at others.

    :param members: :class:`~figpick._members.Members`.
    :param client: :class:`~figpick._transport.PeerClient`.
    :param clock: :class:`~figpick._clock.Clock`.
    """

    def __init__(self, members, client, clock):
        self._members = members
        self._client = client
        self._clock = clock
        self.pool = PermitPool(0)

    async def renew(self, upstream_sets):
        """Renews the permits at every upstream of every set."""
        for upstreams in list(upstream_sets):
            for upstream in list(upstreams):
                await self._renew(upstream)
            upstreams.wake(self._clock.monotonic())

    async def return_all(self, upstream_sets):
        """Returns the permits at every upstream, before this node leaves."""
        upstreams = [upstream for group in upstream_sets for upstream in group]
        await asyncio.gather(*(self._renew(item, leaving=True) for item in upstreams))

    async def receive(self, message):
        """Answers a calling node that renews its permits."""
        grant = self.pool.exchange(
            message["caller"],
            message["want"],
            message["in_use"],
            self._clock.monotonic(),
        )
        return list(grant)

    def dump(self):
        """Gives the state as a dict."""
        return {"limit": self.pool.limit, "committed": self.pool.committed}

    async def _renew(self, upstream, leaving=False):
        own_name = self._members.own.name
        message = {
            "caller": own_name,
            "want": 0 if leaving else upstream.permits.in_use + SPARE_PERMITS,
            "in_use": upstream.permits.in_use,
        }
        address = upstream.member.peer_address
        try:
            if upstream.name == own_name:
                grant = await self.receive(message)
            else:
                grant = await self._client.send(address, "exchange", message)
        except PeerError as error:
            log.debug("No permits from {}: {}.", upstream.name, error)
            return
        upstream.permits.accept(Grant(*grant), self._clock.monotonic())

"""Clients that keep coming to a node that stops, until it is gone."""

import asyncio

import pytest

from .fleet import Client, Fleet, async_test
from .limited_upstreams import StatingUpstream
from .test_stopping_nodes import wait_for_steady_run

CLIENTS = 12
# A request that waited for longer counts as read by the node.
LOSS_SLACK_S = 0.2


class ClingingClient:
    """Sends one request after the other until connections are refused.

    :param address: address of the node.
    :param name: prefix of the request ids.
    :param keeps_connection: whether it sends on, whatever the node says, until its
        connection ends.
    """

    def __init__(self, address, name, keeps_connection):
        self._address = address
        self._name = name
        self._keeps_connection = keeps_connection
        self._count = 0
        # Ids of the requests without a response, and the seconds that each waited.
        self.cut = {}
        self.statuses = []

    async def run(self):
        while True:
            try:
                async with Client(self._address) as client:
                    await self._send(client)
                    while self._keeps_connection:
                        await self._send(client)
            except ConnectionRefusedError:
                return
            except (OSError, EOFError):
                await asyncio.sleep(0.01)

    async def _send(self, client):
        self._count += 1
        request_id = f"{self._name}-{self._count}"
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        try:
            status, _, _ = await client.call(
                b"/parts/once/1", request_id.encode(), method=b"POST"
            )
        except (OSError, EOFError):
            self.cut[request_id] = loop.time() - sent_at
            raise
        self.statuses.append(status)
        await asyncio.sleep(0.02)


@pytest.mark.parametrize("keeps_connection", [True, False])
@async_test
async def test_clients_that_stay_until_the_node_is_gone_lose_no_request(
    tmp_path, keeps_connection
):
    """Guards against requests that are taken and cut during a planned stop."""
    async with Fleet(tmp_path, ("entries", "parts", "parts")) as fleet:
        stopping, *hosts = fleet.hosts
        upstreams = [StatingUpstream(host.upstream) for host in hosts]
        for upstream in upstreams:
            upstream.work_s = 0.15
        clients = [
            ClingingClient(stopping.settings.call_address, f"c{n}", keeps_connection)
            for n in range(CLIENTS)
        ]
        running = [asyncio.ensure_future(client.run()) for client in clients]
        await wait_for_steady_run()
        await stopping.node.drain()
        stopping.task.cancel()
        stopping.node.close()
        await asyncio.gather(*running)
        ran = {run for host in hosts for run in host.upstream.runs}
        for client in clients:
            assert not ran & set(client.cut)
            assert all(waited_s <= LOSS_SLACK_S for waited_s in client.cut.values())
        statuses = [status for client in clients for status in client.statuses]
        assert set(statuses) <= {200, 503}
        assert statuses.count(200) > 2 * CLIENTS

"""Stops of nodes whose clients stay, and whose requests outlast the grace time."""

import asyncio
import time

import pytest

from figpick.wire import DEFAULT_HEADERS

from .fleet import (
    SLOTS,
    Client,
    Fleet,
    async_test,
    make_configuration,
    make_routes,
    wait_until,
)

GRACE_S = 6.0


async def exit_after_drain(host):
    """Stops a node, closes it as the end of its process does, and returns the time."""
    started = time.monotonic()
    await host.node.drain()
    host.task.cancel()
    host.node.close()
    return time.monotonic() - started


async def allow_long_requests(fleet):
    routes = tuple(route._replace(timeout_s=20.0) for route in make_routes())
    await fleet.put_configuration(make_configuration(2, 1, routes))


class PersistentClients:
    """Clients that send request after request as long as a node accepts any.

    :param address: address of the node.
    """

    def __init__(self, address):
        self._address = address
        self._count = 0
        self.statuses = {}

    async def run(self):
        """Sends requests on one connection after the other until none is accepted."""
        while True:
            try:
                async with Client(self._address) as client:
                    while await self._send_one(client):
                        pass
            except EOFError:
                continue
            except OSError:
                return

    async def _send_one(self, client):
        self._count += 1
        request_id = b"c%d" % self._count
        status, headers, _ = await client.call(
            b"/parts/once/1", request_id, method=b"POST"
        )
        self.statuses[request_id.decode()] = status
        return headers.get("connection") != "close"


@async_test
async def test_requests_of_clients_that_stay_are_not_cut_at_the_end_of_a_stop(tmp_path):
    """Guards against reading requests until too little time is left to run them."""
    async with Fleet(tmp_path) as fleet:
        host = fleet.hosts[0]
        for each in fleet.hosts:
            each.upstream.delay_s = 0.9
        clients = PersistentClients(host.settings.call_address)
        tasks = []
        stopping = asyncio.ensure_future(exit_after_drain(host))
        for _ in range(12):
            tasks.append(asyncio.ensure_future(clients.run()))
            await asyncio.sleep(0.08)
        assert await stopping < GRACE_S
        await asyncio.gather(*tasks)
        runs = {run for each in fleet.hosts for run in each.upstream.runs}
        cut = {run for run in runs if clients.statuses.get(run) != 200}
        assert len(runs) > 20
        assert not cut


@async_test
async def test_requests_that_outlast_the_grace_time_get_true_final_responses(tmp_path):
    """Guards against a stop that closes connections without a response."""
    async with Fleet(tmp_path, services=("entries", "parts")) as fleet:
        await allow_long_requests(fleet)
        caller, owner = fleet.hosts
        owner.upstream.delay_s = 9.0

        async def call_once(number):
            async with Client(caller.settings.call_address) as client:
                request_id = b"d%d" % number
                status, headers, _ = await client.call(
                    b"/parts/once/1", request_id, method=b"POST", deadline_ms=20000
                )
                return status, "retry-after" in headers

        calls = [asyncio.ensure_future(call_once(number)) for number in range(SLOTS)]
        await asyncio.sleep(0.5)
        counts = owner.node.open_work()["executions"]
        assert counts["running"] and counts["queued"]
        assert await exit_after_drain(caller) < GRACE_S
        responses = await asyncio.gather(*calls)
        assert responses.count((502, False)) == counts["running"]
        assert responses.count((503, True)) == counts["queued"]
        await asyncio.sleep(3.5)
        assert len(owner.upstream.runs) == counts["running"]


@async_test
async def test_calls_that_outlast_the_grace_time_of_their_owner_fail_at_its_end(
    tmp_path,
):
    """Guards against callers that wait for the link of a node that has exited."""
    async with Fleet(tmp_path, services=("entries", "parts")) as fleet:
        await allow_long_requests(fleet)
        caller, owner = fleet.hosts
        owner.upstream.delay_s = 9.0
        async with Client(caller.settings.call_address) as client:
            client.send(b"/parts/once/1", b"e1", method=b"POST", deadline_ms=20000)
            await wait_until(lambda: owner.upstream.runs)
            stopping = asyncio.ensure_future(exit_after_drain(owner))
            responding = asyncio.ensure_future(client.receive())
            await stopping
            async with asyncio.timeout(0.2):
                assert (await responding)[0] == 502


@async_test
async def test_running_requests_make_nested_calls_until_the_end_of_a_stop(tmp_path):
    """Guards against refusing calls without which a running request fails."""
    async with Fleet(tmp_path, services=("entries", "parts")) as fleet:
        await allow_long_requests(fleet)
        stopping_host, other = fleet.hosts
        statuses = []

        async def call_below(connection, request):
            parent_id = request.header(DEFAULT_HEADERS.request_id)
            stopping_host.upstream.record_run(request)
            await asyncio.sleep(3.5)
            async with Client(stopping_host.settings.call_address) as nested:
                status, _, _ = await nested.call(b"/parts/1", parent_id + b".1")
                statuses.append(status)
            response = stopping_host.upstream.render(request, b"done")
            connection.transport.write(response)

        stopping_host.upstream.handler = call_below
        async with Client(other.settings.call_address) as client:
            client.send(b"/entries/once/1", b"f1", method=b"POST", deadline_ms=9000)
            await wait_until(lambda: stopping_host.upstream.runs)
            stopping = asyncio.ensure_future(exit_after_drain(stopping_host))
            status, _, body = await client.receive()
            assert (status, body, statuses) == (200, b"done", [200])
        assert await stopping < 4.5


class CheckedClients(PersistentClients):
    """Clients whose responses are compared with what upstreams have run."""

    def __init__(self, address, name):
        super().__init__(address)
        self._name = name
        self.unanswered = set()

    async def _send_one(self, client):
        self._count += 1
        request_id = f"{self._name}{self._count}"
        target = b"/parts/once/1" if self._count % 2 else b"/parts/1"
        client.send(target, request_id.encode(), method=b"POST")
        self.unanswered.add(request_id)
        async with asyncio.timeout(8.0):
            status, headers, _ = await client.receive()
        self.unanswered.discard(request_id)
        self.statuses[request_id] = status
        await asyncio.sleep(0.05)
        return headers.get("connection") != "close"


@pytest.mark.parametrize(
    "stops",
    [
        ((0, 0.0), (2, 0.0)),
        ((2, 0.0), (0, 1.0), (3, 1.5)),
        ((0, 0.0), (1, 0.5), (2, 1.0), (3, 1.5)),
    ],
    ids=["caller-and-owner", "caller-and-all-owners", "all"],
)
@async_test
async def test_overlapping_stops_lose_no_request_and_tell_the_truth(tmp_path, stops):
    """Guards against requests lost between a stopping caller and a stopping owner."""
    services = ("entries", "entries", "parts", "parts")
    async with Fleet(tmp_path, services=services) as fleet:
        for host in fleet.hosts:
            host.upstream.delay_s = 0.6
        clients = [
            CheckedClients(host.settings.call_address, name)
            for host, name in zip(fleet.hosts[:2], "gh", strict=True)
        ]
        tasks = [
            asyncio.ensure_future(each.run()) for each in clients for _ in range(12)
        ]
        await asyncio.sleep(0.5)

        async def stop_later(number, after_s):
            await asyncio.sleep(after_s)
            assert await exit_after_drain(fleet.hosts[number]) < GRACE_S

        await asyncio.gather(*(stop_later(*stop) for stop in stops))
        for host in fleet.hosts[:2]:
            host.task.cancel()
            if host.node.is_ready:
                await host.node.drain()
                host.node.close()
        await asyncio.gather(*tasks)
        runs = [run for host in fleet.hosts for run in host.upstream.runs]
        statuses = {**clients[0].statuses, **clients[1].statuses}
        unanswered = clients[0].unanswered | clients[1].unanswered
        assert len(set(runs)) > 30
        assert not unanswered & set(runs)
        refused = {each for each, status in statuses.items() if status == 503}
        assert not refused & set(runs)
        once = [run for run in runs if int(run[1:]) % 2]
        assert len(once) == len(set(once))
        failed = {each for each, status in statuses.items() if status in (502, 504)}
        assert not failed

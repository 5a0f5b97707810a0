"""Upstreams that fail or turn slow while they say that they are well."""

import asyncio

from .fleet import Client, Fleet, in_loop


@in_loop
async def test_upstream_that_fails_all_it_gets_takes_few_requests(tmp_path):
    """Guards against an upstream that says it is well and fails at once.

    It is always idle, so that by free slots alone it gets most requests.
    """

    async def fail(connection, request):
        data = bad.service.render(request, b"no", b"500 Internal Server Error")
        connection.transport.write(data)

    async with Fleet(tmp_path) as fleet:
        bad, good = fleet.hosts[1:]
        bad.service.behave = fail
        good.service.delay_s = 0.02

        async def call_in_turn(number):
            async with Client(fleet.hosts[0].settings.call_address) as client:
                return [
                    (await client.call(b"/parts/1", b"a%d-%d" % (number, each)))[0]
                    for each in range(40)
                ]

        answers = await asyncio.gather(*(call_in_turn(each) for each in range(4)))
        statuses = [status for part in answers for status in part]
        assert statuses.count(200) >= 0.85 * len(statuses)


@in_loop
async def test_upstream_that_turns_slow_gets_few_further_calls(tmp_path):
    """Guards against calls that run once and wait at a slow upstream until too late."""
    async with Fleet(tmp_path) as fleet:
        slow, fast = fleet.hosts[1:]
        address = fleet.hosts[0].settings.call_address
        for host in (slow, fast):
            host.service.delay_s = 0.03
            host.node.take_report(host.service.report()._replace(slots=200))

        async def call(request_id):
            async with Client(address) as client:
                return await client.call(b"/parts/once/1", request_id, method=b"POST")

        await asyncio.gather(*(call(b"warm%d" % number) for number in range(40)))
        slow.service.delay_s = 1.0
        before = len(slow.service.runs)
        calls = []
        for number in range(120):
            calls.append(asyncio.ensure_future(call(b"a%d" % number)))
            await asyncio.sleep(0.01)
        await asyncio.gather(*calls)
        assert len(slow.service.runs) - before <= 40

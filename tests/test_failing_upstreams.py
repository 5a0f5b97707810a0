"""Upstreams that fail or turn slow while they say that they are well."""

import asyncio

from .fleet import Client, Fleet, async_test

# Seconds until all callers know, with 0.17 s for a loaded machine.
KNOWN_SLOW_S = 0.7


@async_test
async def test_upstream_that_fails_all_it_gets_takes_few_requests(tmp_path):
    """Guards against an upstream that says it is well and fails at once.

    It is always idle, so that by free slots alone it gets most requests.
    """

    async def fail(connection, request):
        data = bad.upstream.render(request, b"no", b"500 Internal Server Error")
        connection.transport.write(data)

    async with Fleet(tmp_path) as fleet:
        bad, good = fleet.hosts[1:]
        bad.upstream.handler = fail
        good.upstream.delay_s = 0.02

        async def call_in_turn(number):
            async with Client(fleet.hosts[0].settings.call_address) as client:
                return [
                    (await client.call(b"/parts/1", b"a%d-%d" % (number, each)))[0]
                    for each in range(40)
                ]

        answers = await asyncio.gather(*(call_in_turn(each) for each in range(4)))
        statuses = [status for part in answers for status in part]
        assert statuses.count(200) >= 0.85 * len(statuses)


@async_test
async def test_upstream_that_turns_slow_gets_few_further_calls(tmp_path):
    """Guards against calls that run once and wait at a slow upstream until too late.

    A call counts as slow after 0.3 s, and an upstream once 0.3 of its calls do: 0.43 s
    after it turned slow with calls at an even rate. Its owner looks each 0.1 s.
    """
    async with Fleet(tmp_path) as fleet:
        slow, fast = fleet.hosts[1:]
        address = fleet.hosts[0].settings.call_address
        for host in (slow, fast):
            host.upstream.delay_s = 0.03
            host.node.handle_report(host.upstream.report()._replace(slots=200))

        async def call(request_id):
            async with Client(address) as client:
                return await client.call(b"/parts/once/1", request_id, method=b"POST")

        await asyncio.gather(*(call(b"warm%d" % number) for number in range(40)))
        slow.upstream.delay_s = 1.0
        loop = asyncio.get_running_loop()
        begun_at = loop.time()
        calls, late = [], []
        while (after_s := loop.time() - begun_at) < 1.2:
            request_id = b"a%d" % len(calls)
            if after_s > KNOWN_SLOW_S:
                late.append(request_id.decode())
            calls.append(asyncio.ensure_future(call(request_id)))
            await asyncio.sleep(0.01)
        await asyncio.gather(*calls)
        assert len(late) > 10
        assert not set(late) & set(slow.upstream.runs)

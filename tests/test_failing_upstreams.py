"""Upstreams that fail or become slow while they report themselves healthy."""

import asyncio

from figpick.wire import DEFAULT_HEADERS

from .fleet import Client, Fleet, async_test

# Time in which all calling nodes learn of a slow upstream, with a margin of 0.17 s for
# a loaded machine.
SLOW_DETECTION_S = 0.7


@async_test
async def test_upstream_that_fails_every_request_gets_few_requests(tmp_path):
    """Guards against an upstream that reports itself healthy and fails immediately.

    It is always idle, so it would get most requests if only free slots counted.
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

        statuses_by_client = await asyncio.gather(
            *(call_in_turn(each) for each in range(4))
        )
        statuses = [status for part in statuses_by_client for status in part]
        assert statuses.count(200) >= 0.85 * len(statuses)


@async_test
async def test_upstream_that_becomes_slow_gets_few_further_calls(tmp_path):
    """Guards against calls that must run once and time out at a slow upstream.

    A call counts as slow after 0.3 s, and an upstream once a share of 0.3 of its calls
    does. With calls at an even rate this is 0.43 s after it became slow. Its owner
    checks every 0.1 s.
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
        started_at = loop.time()
        calls, late_ids = [], []
        while (after_s := loop.time() - started_at) < 1.2:
            request_id = b"a%d" % len(calls)
            if after_s > SLOW_DETECTION_S:
                late_ids.append(request_id.decode())
            calls.append(asyncio.ensure_future(call(request_id)))
            await asyncio.sleep(0.01)
        await asyncio.gather(*calls)
        assert len(late_ids) > 10
        assert not set(late_ids) & set(slow.upstream.runs)


@async_test
async def test_requests_are_not_retried_while_every_host_fails(tmp_path):
    """Guards against retries that multiply over the layers of a call graph.

    When a service below fails, all hosts of the service above fail as well. Retries at
    another of them make the nested calls once more, and each layer adds its own.
    """

    def make_handler(upstream):
        async def fail(connection, request):
            upstream.record_run(request)
            data = upstream.render(request, b"no", b"500 Internal Server Error")
            connection.transport.write(data)

        return fail

    async with Fleet(tmp_path) as fleet:
        upstreams = [host.upstream for host in fleet.hosts[1:]]
        for upstream in upstreams:
            upstream.handler = make_handler(upstream)
        async with Client(fleet.hosts[0].settings.call_address) as client:
            for number in range(150):
                await client.call(b"/parts/1", b"a%d" % number)
        runs = upstreams[0].runs + upstreams[1].runs
        late = [run for run in runs if int(run[1:]) >= 100]
        assert len(late) == 50


@async_test
async def test_call_that_an_upstream_rejected_is_marked_as_a_retry(tmp_path):
    """Guards against nested calls of retries that are not counted as retries.

    An upstream that rejects a call has received it, so the next one runs a retry.
    """
    async with Fleet(tmp_path) as fleet:
        rejecting, running = fleet.hosts[1:]
        received = []

        async def reject(connection, request):
            extra = b"%b: 1\r\n" % DEFAULT_HEADERS.not_run
            status = b"503 Service Unavailable"
            connection.transport.write(
                rejecting.upstream.render(request, b"", status, extra)
            )

        rejecting.upstream.handler = reject
        owner = running.node.owner
        handle_call = owner.handle_call

        def record(link, peer, number, call):
            received.append((call.request_id, call.is_retry))
            handle_call(link, peer, number, call)

        owner.handle_call = record
        async with Client(fleet.hosts[0].settings.call_address) as client:
            for number in range(40):
                await client.call(b"/parts/1", b"a%d" % number)
        assert sum(is_retry for _, is_retry in received) > 0
        assert len(received) == len({request_id for request_id, _ in received})


@async_test
async def test_failure_is_forwarded_if_no_other_host_runs_the_call(tmp_path):
    """Guards against a 502 of the node in place of the failure of an upstream."""
    async with Fleet(tmp_path) as fleet:
        caller, failing, full = fleet.hosts

        async def fail(connection, request):
            data = failing.upstream.render(request, b"no", b"500 Internal Server Error")
            connection.transport.write(data)

        async def reject(connection, request):
            extra = b"%b: 1\r\n" % DEFAULT_HEADERS.not_run
            status = b"503 Service Unavailable"
            data = full.upstream.render(request, b"", status, extra)
            connection.transport.write(data)

        async with Client(caller.settings.call_address) as client:
            for number in range(30):
                await client.call(b"/parts/1", b"w%d" % number)
            failing.upstream.handler, full.upstream.handler = fail, reject
            responses = [
                await client.call(b"/parts/1", b"a%d" % number) for number in range(4)
            ]
        outcomes = {
            (status, "figpick-stamp" in headers) for status, headers, _ in responses
        }
        assert outcomes <= {(500, True), (503, False)}
        assert (500, True) in outcomes

"""Calls across two nodes, with real connections in one event loop."""

import asyncio

import pytest

from figpick.wire import DEFAULT_HEADERS

from .fleet import (
    SLOTS,
    Client,
    Fleet,
    async_test,
    wait_until,
)


@async_test
async def test_request_and_response_cross_two_nodes_unchanged(tmp_path):
    async with Fleet(tmp_path) as fleet:
        entry = fleet.hosts[0].settings.call_address
        body = bytes(range(256)) * 4000
        async with Client(entry) as client:
            status, headers, received = await client.call(
                b"/parts/1", b"a1", method=b"POST", body=body
            )
            assert (status, received) == (200, body)
            assert headers[DEFAULT_HEADERS.stamp.decode()] == "s"
            assert headers[DEFAULT_HEADERS.request_id.decode()] == "a1"
            status, _, received = await client.call(b"/entries/1", b"a2")
            assert status == 200
            status, _, _ = await client.call(b"/nowhere/1", b"a3")
            assert status == 404


@async_test
async def test_upstream_receives_instance_caller_and_remaining_deadline(tmp_path):
    async with Fleet(tmp_path) as fleet:
        seen = []

        async def handler(connection, request):
            seen.append(request)
            await fleet.hosts[1].upstream.echo(connection, request)

        fleet.hosts[1].upstream.handler = fleet.hosts[2].upstream.handler = handler
        async with Client(fleet.hosts[0].settings.call_address) as client:
            await client.call(b"/parts/1", b"a1", deadline_ms=900)
        request = seen[0]
        assert request.header(DEFAULT_HEADERS.instance) in (b"i-1", b"i-2")
        assert request.header(DEFAULT_HEADERS.caller) == b"entries"
        assert 0 < int(request.header(DEFAULT_HEADERS.deadline_ms)) <= 900


@async_test
async def test_pipelined_requests_run_concurrently_and_responses_keep_order(tmp_path):
    async with Fleet(tmp_path) as fleet:
        for host in fleet.hosts:
            host.upstream.delay_s = 0.2
        async with Client(fleet.hosts[0].settings.call_address) as client:
            started = asyncio.get_running_loop().time()
            for number in range(5):
                client.send(b"/parts/1", b"p%d" % number, body=b"%d" % number)
            bodies = [(await client.receive())[2] for _ in range(5)]
            assert bodies == [b"0", b"1", b"2", b"3", b"4"]
            assert asyncio.get_running_loop().time() - started < 0.8


@async_test
async def test_running_requests_do_not_exceed_slots(tmp_path):
    """Guards against an upstream that gets more requests than it can queue.

    The upstream would never respond to the excess requests.
    """
    async with Fleet(tmp_path, services=("entries",)) as fleet:
        upstream = fleet.hosts[0].upstream
        upstream.delay_s = 0.05
        address = fleet.hosts[0].settings.call_address

        async def call_once(number):
            async with Client(address) as client:
                return (await client.call(b"/entries/1", b"n%d" % number))[0]

        statuses = await asyncio.gather(*(call_once(number) for number in range(60)))
        assert set(statuses) <= {200, 503}
        assert statuses.count(200) > 30
        assert upstream.max_running <= SLOTS
        assert len(upstream.runs) == statuses.count(200)


@async_test
async def test_cut_off_response_is_retried_only_if_idempotent(tmp_path):
    """Guards against running a non-idempotent request twice."""
    async with Fleet(tmp_path) as fleet:
        upstreams = [host.upstream for host in fleet.hosts[1:]]

        async def cut_off(connection, request):
            upstream = next(u for u in upstreams if connection in u.connections)
            upstream.record_run(request)
            connection.transport.write(upstream.render(request, b"x" * 100)[:-50])
            connection.transport.abort()

        upstreams[0].handler = upstreams[1].handler = cut_off
        async with Client(fleet.hosts[0].settings.call_address) as client:
            status, headers, _ = await client.call(
                b"/parts/once/1", b"u1", method=b"POST"
            )
            assert status == 502
            assert "retry-after" not in headers
            await client.call(b"/parts/1", b"i1")
        runs = upstreams[0].runs + upstreams[1].runs
        assert runs.count("u1") == 1
        assert 1 <= runs.count("i1") <= 2


@async_test
async def test_request_refused_by_all_upstreams_gets_503_with_retry_after(tmp_path):
    async with Fleet(tmp_path) as fleet:
        names = DEFAULT_HEADERS

        async def refuse(connection, request):
            extra = b"%b: 1\r\n" % names.not_run
            upstream = fleet.hosts[1].upstream
            response = upstream.render(request, b"", b"503 Service Unavailable", extra)
            connection.transport.write(response)

        for host in fleet.hosts[1:]:
            host.upstream.handler = refuse
        async with Client(fleet.hosts[0].settings.call_address) as client:
            status, headers, _ = await client.call(
                b"/parts/once/1", b"u1", method=b"POST"
            )
        assert status == 503
        assert float(headers["retry-after"]) > 0


@pytest.mark.parametrize("derives_id", [True, False])
@async_test
async def test_nested_call_has_rank_and_key_of_its_request(tmp_path, derives_id):
    """Guards against refusing nested calls, which wastes the work of their request."""
    async with Fleet(tmp_path) as fleet:
        entry, parts = fleet.hosts[0], fleet.hosts[1:]
        seen = []
        for host in fleet.hosts:
            original = host.node.owner.handle_call

            def record_call(link, peer, number, call, original=original):
                seen.append(call)
                original(link, peer, number, call)

            host.node.owner.handle_call = record_call

        async def make_nested_call(connection, request):
            names = DEFAULT_HEADERS
            entry.upstream.record_run(request)
            remaining_ms = int(request.header(names.deadline_ms))
            own_id = request.header(names.request_id)
            nested_id = own_id + b".1" if derives_id else b"other"
            async with Client(entry.settings.call_address) as client:
                status, _, _ = await client.call(
                    b"/parts/1", nested_id, deadline_ms=remaining_ms
                )
            assert status == 200
            connection.transport.write(entry.upstream.render(request, b"done"))

        entry.upstream.handler = make_nested_call
        async with Client(entry.settings.call_address) as client:
            await client.call(b"/entries/once/1", b"root", method=b"POST")
        outer, nested = seen
        assert entry.node.owner.running_requests.has_derived_ids == derives_id
        assert (outer.is_nested, nested.is_nested) == (False, True)
        assert nested.key == outer.key
        assert (outer.rank, nested.rank) == (1, 0)
        assert nested.caller == "entries"
        assert parts[0].upstream.runs or parts[1].upstream.runs


@async_test
async def test_retrying_client_precedes_new_clients(tmp_path):
    """Guards against refusing a client twice while new ones are served."""
    async with Fleet(tmp_path, services=("entries",)) as fleet:
        keys = {}
        original = fleet.hosts[0].node.owner.handle_call

        def record_call(link, peer, number, call):
            keys[call.request_id] = call.key
            original(link, peer, number, call)

        fleet.hosts[0].node.owner.handle_call = record_call
        async with Client(fleet.hosts[0].settings.call_address) as client:
            await client.call(b"/entries/1", b"k1", deadline_ms=5000)
            first = keys[b"k1"]
            await client.call(b"/entries/1", b"k1", deadline_ms=4400)
        assert keys[b"k1"] < first


def make_nested_call_handler(entry):
    """Returns a handler of an upstream that calls ``parts`` and then fails."""

    async def handle(connection, request):
        names = DEFAULT_HEADERS
        nested_id = request.header(names.request_id) + b".1"
        remaining_ms = int(request.header(names.deadline_ms))
        async with Client(entry.settings.call_address) as client:
            await client.call(b"/parts/1", nested_id, deadline_ms=remaining_ms)
        failure = b"500 Internal Server Error"
        connection.transport.write(entry.upstream.render(request, b"", failure))

    return handle


@async_test
async def test_entry_is_throttled_when_the_only_called_host_is_full(tmp_path):
    """Guards against an entry that admits requests whose nested calls are refused.

    The only host of the called service refuses a nested call. There is no other host
    to try, and its request must still report the admission level that the call met.
    """
    async with Fleet(tmp_path, services=("entries", "parts")) as fleet:
        entry, parts = fleet.hosts
        parts.upstream.delay_s = 0.3
        parts.node.handle_report(parts.upstream.report()._replace(slots=3))

        entry.upstream.handler = make_nested_call_handler(entry)

        async def call_once(number):
            async with Client(entry.settings.call_address) as client:
                await client.call(b"/entries/1", b"root%d" % number)

        lowest_share = 1.0
        calls = []
        for number in range(150):
            calls.append(asyncio.ensure_future(call_once(number)))
            await asyncio.sleep(0.02)
            shares = entry.node.admitted_shares()
            lowest_share = min(lowest_share, shares.get("entries-get", 1.0))
        await asyncio.gather(*calls)
        # The load requires fifteen slots, and there are three.
        assert lowest_share < 0.3


@async_test
async def test_entry_refuses_requests_while_no_host_of_a_needed_service_responds(
    tmp_path,
):
    """Guards against requests that run although their nested calls cannot.

    Such a request fails halfway, and one that must run once cannot be sent again. A
    refusal at the entry lets its client return.
    """
    async with Fleet(tmp_path, services=("entries", "parts")) as fleet:
        entry, parts = fleet.hosts

        entry.upstream.handler = make_nested_call_handler(entry)
        parts.node.handle_report(parts.upstream.report()._replace(slots=0))

        async def call_once(number):
            async with Client(entry.settings.call_address) as client:
                status, _, _ = await client.call(b"/entries/1", b"root%d" % number)
                return status

        calls = []
        for number in range(100):
            calls.append(asyncio.ensure_future(call_once(number)))
            await asyncio.sleep(0.02)
        statuses = await asyncio.gather(*calls)
        assert statuses[60:].count(503) >= 30


@async_test
async def test_draining_upstream_gets_no_more_requests(tmp_path):
    async with Fleet(tmp_path) as fleet:
        draining, remaining = fleet.hosts[1], fleet.hosts[2]
        async with Client(fleet.hosts[0].settings.call_address) as client:
            for number in range(10):
                assert (await client.call(b"/parts/1", b"a%d" % number))[0] == 200
            draining.node.handle_report(draining.upstream.report(is_draining=True))
            before = len(draining.upstream.runs)
            for number in range(10):
                assert (await client.call(b"/parts/1", b"b%d" % number))[0] == 200
        assert len(draining.upstream.runs) == before
        assert len(remaining.upstream.runs) >= 10


@async_test
async def test_disconnection_of_a_client_aborts_its_running_call(tmp_path):
    async with Fleet(tmp_path) as fleet:
        for host in fleet.hosts:
            host.upstream.delay_s = 1.5
        async with Client(fleet.hosts[0].settings.call_address) as client:
            client.send(b"/parts/1", b"a1")
            await wait_until(lambda: any(host.upstream.runs for host in fleet.hosts))
        await wait_until(
            lambda: sum(host.upstream.closed_connections for host in fleet.hosts), 1.0
        )


@async_test
async def test_response_survives_a_lost_link(tmp_path):
    """Guards against losing the response of a request that must run once.

    The link to the owner breaks while the request is running.
    """
    async with Fleet(tmp_path) as fleet:
        for host in fleet.hosts:
            host.upstream.delay_s = 0.5
        async with Client(fleet.hosts[0].settings.call_address) as client:
            client.send(b"/parts/once/1", b"u1", method=b"POST", body=b"sign")
            await wait_until(lambda: any(host.upstream.runs for host in fleet.hosts))
            fleet.hosts[0].node.close_peer_links()
            status, _, body = await client.receive()
        assert (status, body) == (200, b"sign")
        runs = [run for host in fleet.hosts for run in host.upstream.runs]
        assert runs == ["u1"]


@async_test
async def test_call_to_a_slow_upstream_gets_504_at_the_timeout_of_the_route(tmp_path):
    async with Fleet(tmp_path) as fleet:
        for host in fleet.hosts:
            host.upstream.delay_s = 6.0
        loop = asyncio.get_running_loop()
        started = loop.time()
        async with Client(fleet.hosts[0].settings.call_address) as client:
            status, _, _ = await client.call(
                b"/parts/once/1", b"u1", method=b"POST", deadline_ms=9000
            )
        assert status == 504
        assert 2.0 <= loop.time() - started <= 2.5


@async_test
async def test_large_response_waits_for_a_slow_client(tmp_path):
    """Guards against responses that fill the memory of a node."""
    async with Fleet(tmp_path) as fleet:
        size = 6 * 1024 * 1024

        async def send_large_response(connection, request):
            upstream = fleet.hosts[1].upstream
            connection.transport.write(upstream.render(request, b"z" * size))

        for host in fleet.hosts[1:]:
            host.upstream.handler = send_large_response
        async with Client(fleet.hosts[0].settings.call_address) as client:
            client.send(b"/parts/1", b"a1")
            await asyncio.sleep(0.3)
            status, _, body = await client.receive()
        assert (status, len(body)) == (200, size)


@pytest.mark.parametrize("keeps_identity", [False, True])
@async_test
async def test_request_that_crashes_upstreams_is_refused_everywhere(
    tmp_path, keeps_identity
):
    """Guards against a request that crashes one upstream after the other.

    An upstream that restarts may have a new identity or keep its identity.
    """
    services = ("entries", "parts") if keeps_identity else ("entries", "parts", "parts")
    async with Fleet(tmp_path, services) as fleet:
        hosts = fleet.hosts[1:]
        for host in hosts if keeps_identity else ():
            host.upstream.started_ms = 1000
            host.node.handle_report(host.upstream.report())

        def crash_on_poison(host):
            async def handler(connection, request):
                host.upstream.record_run(request)
                if b"poison" in request.target:
                    host.upstream.stop()
                else:
                    connection.transport.write(host.upstream.render(request, b"ok"))

            host.upstream.handler = handler

        for host in hosts:
            crash_on_poison(host)
        address = fleet.hosts[0].settings.call_address
        for number in range(4):
            async with Client(address) as client:
                await client.call(b"/parts/poison", b"p%d" % number)
            async with Client(address) as client:
                await client.call(b"/parts/1", b"probe%d" % number)
            await asyncio.sleep(0.3)
            for host in hosts:
                if not host.upstream.is_up:
                    if keeps_identity:
                        host.upstream.started_ms += 1000
                        host.upstream.sequence = 0
                    else:
                        host.upstream.instance += "x"
                    await host.upstream.start()
                    host.node.handle_report(host.upstream.report())
            await asyncio.sleep(0.1)
        runs = [run for host in hosts for run in host.upstream.runs if run[0:2] != "pr"]
        assert len(runs) <= 4
        assert "p3" not in runs
        async with Client(address) as client:
            assert (await client.call(b"/parts/1", b"last"))[0] == 200

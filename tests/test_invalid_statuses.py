"""Responses whose status is not one of HTTP, and interim responses with a body."""

import asyncio

import pytest

from bench.cluster import free_address as free_own_address
from bench.local import LocalGraph, LocalNode, make_document
from figpick.wire import DEFAULT_HEADERS

from .fleet import Client, Fleet, async_test

STATUSES = (b"000", b"001", b"099")
# An interim response has no body (RFC 9110, section 15.2).
INTERIM_WITH_BODY = b"199 Odd\r\nContent-Length: 3\r\n\r\nbad"
# Longer than the upstream needs, shorter than the deadline of the request.
ANSWER_S = 1.0


def respond_with(status, upstream, runs):
    """Sets a handler that answers the first request with a status and more."""

    async def respond(connection, request):
        request_id = request.header(DEFAULT_HEADERS.request_id)
        runs.append(connection)
        good = upstream.render(request, b"good")
        if len(runs) == 1:
            head = b"HTTP/1.1 %b" % status
            if not status.endswith(b"bad"):
                head += b" Odd\r\n%b: %b\r\n%b: s\r\nContent-Length: 3\r\n\r\nbad" % (
                    DEFAULT_HEADERS.request_id,
                    request_id,
                    DEFAULT_HEADERS.stamp,
                )
            good = head + good
        connection.transport.write(good)

    upstream.handler = respond


@pytest.mark.parametrize("service", ["entries", "parts"])
@pytest.mark.parametrize("status", [*STATUSES, INTERIM_WITH_BODY])
@async_test
async def test_response_that_is_none_is_a_failure_at_once(tmp_path, status, service):
    """Guards against bytes before a response that pass for a part of it."""
    async with Fleet(tmp_path, services=("entries", "parts")) as fleet:
        upstream = next(h.upstream for h in fleet.hosts if h.upstream.name == service)
        async with Client(fleet.hosts[0].settings.call_address) as client:
            path = b"/%b/once/1" % service.encode()
            assert (await client.call(path, b"calm"))[0] == 200
            runs = []
            respond_with(status, upstream, runs)
            async with asyncio.timeout(ANSWER_S):
                received, headers, body = await client.call(path, b"a1")
            assert received == 502
            assert DEFAULT_HEADERS.stamp.decode() not in headers
            assert b"bad" not in body
            assert (await client.call(path, b"a2"))[2] == b"good"
            # The connection that carried the bytes is not used again.
            assert runs[0] is not runs[1]


@async_test
async def test_repeatable_request_is_served_by_another_host(tmp_path):
    """Guards against a failure where another host could answer."""
    async with Fleet(tmp_path) as fleet:
        runs = []
        for host in fleet.hosts[1:]:
            respond_with(b"000", host.upstream, runs)
        async with Client(fleet.hosts[0].settings.call_address) as client:
            status, _, body = await client.call(b"/parts/1", b"a1")
            assert (status, body) == (200, b"good")


@pytest.mark.parametrize("status", [b"600", b"999"])
@async_test
async def test_status_above_the_range_is_passed_on_as_a_failure(tmp_path, status):
    """Guards against a changed status: a client takes it for a server error."""
    async with Fleet(tmp_path, services=("entries", "parts")) as fleet:
        upstream = fleet.hosts[1].upstream

        async def respond(connection, request):
            response = upstream.render(request, b"odd", status + b" Odd")
            connection.transport.write(response)

        upstream.handler = respond
        async with Client(fleet.hosts[0].settings.call_address) as client:
            received, _, body = await client.call(b"/parts/once/1", b"a1")
            assert (received, body) == (int(status), b"odd")


@pytest.mark.parametrize("status", STATUSES)
def test_own_interface_takes_no_status_below_the_range(status):
    """Guards against a status that callers take for a response."""

    async def scenario():
        address = free_own_address()

        async def serve(reader, writer):
            while head := await reader.readuntil(b"\r\n\r\n"):
                code = status if b"/odd" in head else b"200"
                writer.write(b"HTTP/1.1 %b Odd\r\nContent-Length: 2\r\n\r\nok" % code)

        ip, port = address.split(":")
        server = await asyncio.start_server(serve, ip, int(port))
        node = LocalNode("parts-1", "parts", address)
        async with LocalGraph([node], [make_document("parts")]) as graph:
            client = graph.client
            headers = {"Host": "parts", "Figpick-Deadline-Ms": "3000"}
            async with asyncio.timeout(ANSWER_S):
                response = await client.request(
                    node.call_address, "GET", "/odd", headers
                )
            # No retry is left in the budget; what was received may have run.
            assert response.status in (502, 503)
            assert response.headers["Figpick-Outcome"] == "unknown"
        server.close()

    asyncio.run(scenario())

"""What links still carry when a node at one of their ends stops or leaves."""

import asyncio
import socket

import pytest

from figpick.directory import LEFT

from .fleet import (
    Client,
    Fleet,
    async_test,
    make_configuration,
    make_routes,
    wait_until,
)

BODY = b"x" * 60_000
CALLS = 8


def long_routes(timeout_s=8.0):
    """Returns the routes of the fleet with another timeout."""
    return tuple(route._replace(timeout_s=timeout_s) for route in make_routes())


def limit_send_buffer(link):
    """Makes the network hold little, so that bytes wait in the process."""
    link._transport.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_SNDBUF, 65536
    )


@async_test
async def test_responses_in_link_buffers_are_delivered_before_an_owner_exits(tmp_path):
    """Guards against an exit that discards responses that links have not written."""
    async with Fleet(tmp_path, services=("entries", "parts")) as fleet:
        await fleet.put_configuration(make_configuration(2, 1, long_routes()))
        caller, owner = fleet.hosts

        async def respond(connection, request):
            owner.upstream.record_run(request)
            await asyncio.sleep(1.5)
            connection.transport.write(owner.upstream.render(request, BODY))

        owner.upstream.handler = respond
        async with Client(caller.settings.call_address) as client:
            assert (await client.call(b"/parts/1", b"a0"))[0] == 200
            await wait_until(lambda: owner.node._caller_links)
            (out,) = [
                link
                for (name, _), link in owner.node._caller_links.items()
                if name == caller.settings.name
            ]
            (into,) = caller.node._peers.open_links()
            limit_send_buffer(out)
            draining = asyncio.ensure_future(owner.node.drain())
            await asyncio.sleep(1.4)
            for number in range(CALLS):
                client.send(b"/parts/once/1", b"b%d" % number, method=b"POST")
            await wait_until(lambda: len(owner.upstream.runs) > CALLS)
            exiting = asyncio.ensure_future(exit_after(owner, draining))
            await asyncio.sleep(1.3)
            into._transport.pause_reading()
            loop = asyncio.get_running_loop()
            loop.call_later(1.0, into._transport.resume_reading)
            responses = [await client.receive() for _ in range(CALLS)]
            assert [status for status, _, _ in responses] == [200] * CALLS
            await exiting


async def exit_after(host, draining):
    """Closes everything as soon as the node may exit, as the end of a process does."""
    await draining
    host.task.cancel()
    host.node.close()


@pytest.mark.parametrize(
    "changes",
    [{"state": LEFT}, {"service": "other"}, {"port": 1}],
    ids=["left", "other-service", "other-address"],
)
@async_test
async def test_calls_at_an_owner_whose_record_changes_keep_their_responses(
    tmp_path, changes
):
    """Guards against failing calls whose responses are on an open link."""
    async with Fleet(tmp_path, services=("entries", "parts", "parts")) as fleet:
        caller, *owners = fleet.hosts
        for owner in owners:
            owner.upstream.delay_s = 0.5
        async with Client(caller.settings.call_address) as client:
            assert (await client.call(b"/entries/1", b"a0"))[0] == 200
            client.send(b"/parts/once/1", b"a1", method=b"POST")
            await wait_until(lambda: any(owner.upstream.runs for owner in owners))
            owner, other = sorted(owners, key=lambda each: not each.upstream.runs)
            record = owner.node._announcer.record
            changed = record._replace(version=record.version + 1, **changes)
            caller.node.on_record(changed)
            assert (await client.receive())[0] == 200
            for number in range(5):
                request_id = b"b%d" % number
                assert (await client.call(b"/parts/1", request_id))[0] == 200
            assert owner.upstream.runs == ["a1"]
            assert len(other.upstream.runs) == 5


@async_test
async def test_node_that_leaves_and_returns_serves_while_old_calls_end(tmp_path):
    """Guards against two links to one process that close each other in turn."""
    async with Fleet(tmp_path, services=("entries", "parts")) as fleet:
        await fleet.put_configuration(make_configuration(2, 1, long_routes()))
        caller, owner = fleet.hosts
        async with (
            Client(caller.settings.call_address) as waiting,
            Client(caller.settings.call_address) as client,
        ):
            assert (await client.call(b"/parts/1", b"a0"))[0] == 200
            owner.upstream.delay_s = 5.0
            waiting.send(b"/parts/once/1", b"a1", method=b"POST")
            await wait_until(lambda: "a1" in owner.upstream.runs)
            record = owner.node._announcer.record
            left = record._replace(version=record.version + 1, state=LEFT)
            caller.node.on_record(left)
            owner.task.cancel()
            owner.node.close()
            owner.upstream.delay_s = 0.0
            await asyncio.sleep(0.1)
            fleet.start_node(owner)
            await wait_until(lambda: owner.node.is_ready)
            owner.node.handle_report(owner.upstream.report())
            await wait_until(
                lambda: any(peer.accepts_calls for peer in caller.node._peers)
            )
            (link,) = [
                peer.link for peer in caller.node._peers if peer.dialer is not None
            ]
            for number in range(10):
                request_id = b"c%d" % number
                assert (await client.call(b"/parts/1", request_id))[0] == 200
                await asyncio.sleep(0.05)
            assert link.is_open
            assert (await waiting.receive())[0] == 502
            await wait_until(lambda: not caller.node._peers._retired)

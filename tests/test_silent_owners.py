"""Owners that are silent for a while, or end, with calls of other nodes."""

import asyncio

import pytest

from bench.faultproxy import FaultProxy

from .fleet import (
    Client,
    Fleet,
    async_test,
    free_address,
    make_configuration,
    make_routes,
    wait_until,
)


class SilentPath:
    """A way from one node of a fleet to another that can fall silent.

    :param entry: host of the node that sends calls.
    :param owner: host of the node that receives them.
    """

    def __init__(self, entry, owner):
        self._entry = entry
        self._owner = owner
        ip, port = owner.settings.link_address
        self._proxy = FaultProxy(f"{ip}:{port}")

    async def open(self):
        ip, port = free_address()
        self._proxy.listen(port, ip)
        known = self._owner.node._announcer.record
        moved = known._replace(version=known.version + 1, ip=ip, port=port)
        self._entry.node.on_record(moved)

    def fall_silent(self):
        self._proxy.configure(accepts=False)
        self._proxy.silence()

    def recover(self):
        self._proxy.configure(accepts=True)
        self._proxy.reset()

    def close(self):
        self._proxy.stop()


@pytest.mark.parametrize("silent_s", [1.0, 3.0, 6.0])
@pytest.mark.parametrize("work_s", [0.5, 7.0])
@async_test
async def test_request_that_runs_at_a_silent_owner_is_not_given_up(
    tmp_path, silent_s, work_s
):
    """Guards against a failure, or a second run, of work that goes on meanwhile."""
    async with Fleet(tmp_path, ("entries", "parts")) as fleet:
        routes = tuple(route._replace(timeout_s=12.0) for route in make_routes())
        await fleet.put_configuration(make_configuration(2, 1, routes))
        await asyncio.sleep(0.3)
        entry, owner = fleet.hosts
        path = SilentPath(entry, owner)
        async with Client(entry.settings.call_address) as client:
            await client.call(b"/parts/1", b"first")
            await path.open()
            assert (await client.call(b"/parts/1", b"second"))[0] == 200
            owner.upstream.delay_s = work_s
            client.send(b"/parts/once/1", b"once", method=b"POST", deadline_ms=14000)
            await wait_until(lambda: "once" in owner.upstream.runs)
            path.fall_silent()
            await asyncio.sleep(silent_s)
            path.recover()
            async with asyncio.timeout(14.0):
                status, _, _ = await client.receive()
        path.close()
        assert status == 200
        assert owner.upstream.runs.count("once") == 1


async def read_rest(client):
    """Returns what arrives until the connection ends, at most for three seconds."""
    rest = b""
    try:
        async with asyncio.timeout(3.0):
            while data := await client.reader.read(65536):
                rest += data
    except (TimeoutError, ConnectionError):
        pass
    return rest


@pytest.mark.parametrize("framing", ["length", "chunked"])
@pytest.mark.parametrize("returns", [True, False])
@async_test
async def test_stream_of_an_owner_that_is_killed_is_not_continued_by_another(
    tmp_path, framing, returns
):
    """Guards against a response with bytes of two upstreams, or of an error."""
    async with Fleet(tmp_path, ("entries", "parts", "parts")) as fleet:
        entry, *owners = fleet.hosts
        first = []

        def make_handler(owner):
            async def stream(connection, request):
                owner.upstream.record_run(request)
                if first:
                    whole = owner.upstream.render(request, b"z" * 200_000)
                    connection.transport.write(whole)
                    return
                first.append(owner)
                head = owner.upstream.render(request, b"")
                length, part = b"Content-Length: 200000", b"a" * 150_000
                if framing == "chunked":
                    length = b"Transfer-Encoding: chunked"
                    part = b"%x\r\n%b\r\n" % (len(part), part)
                head = head.replace(b"Content-Length: 0", length)
                connection.transport.write(head + part)

            return stream

        for owner in owners:
            owner.upstream.handler = make_handler(owner)
        async with Client(entry.settings.call_address) as client:
            client.send(b"/parts/1", b"a")
            await client.reader.readuntil(b"\r\n\r\n")
            await client.reader.readexactly(100_000)
            killed = first[0]
            killed.task.cancel()
            killed.node.close()
            if returns:
                fleet.start_node(killed)
            rest = await read_rest(client)
            is_closed = client.reader.at_eof()
        assert b"z" not in rest and b"error" not in rest
        assert not rest.endswith(b"0\r\n\r\n")
        assert is_closed


@pytest.mark.parametrize("framing", ["length", "chunked"])
@async_test
async def test_stream_whose_link_breaks_before_its_end_is_not_complete(
    tmp_path, framing
):
    """Guards against a response without its middle that looks complete."""
    async with Fleet(tmp_path, ("entries", "parts")) as fleet:
        entry, owner = fleet.hosts
        may_end = asyncio.Event()

        async def stream(connection, request):
            parts = [b"a" * 150_000, b"m" * 30_000, b"z" * 20_000]
            head = owner.upstream.render(request, b"")
            length = b"Content-Length: 200000"
            if framing == "chunked":
                length = b"Transfer-Encoding: chunked"
                parts = [b"%x\r\n%b\r\n" % (len(part), part) for part in parts]
                parts[-1] += b"0\r\n\r\n"
            head = head.replace(b"Content-Length: 0", length)
            connection.transport.write(head + parts[0])
            await may_end.wait()
            for part in parts[1:]:
                connection.transport.write(part)
                await asyncio.sleep(0.005)

        owner.upstream.handler = stream
        async with Client(entry.settings.call_address) as client:
            client.send(b"/parts/1", b"a")
            await client.reader.readuntil(b"\r\n\r\n")
            await client.reader.readexactly(100_000)
            entry.node.close_peer_links()
            await asyncio.sleep(0.01)
            may_end.set()
            rest = await read_rest(client)
        assert b"z" not in rest
        assert not rest.endswith(b"0\r\n\r\n")

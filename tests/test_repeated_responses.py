"""Upstreams that send a second copy of a response later."""

import asyncio

from .fleet import Client, Fleet, async_test

NOT_RUN = b"figpick-not-run: 1\r\n"


class RepeatingUpstream:
    """Sends the response to one request again, just as the next request arrives.

    :param upstream: :class:`~.fleet.FakeUpstream` whose handler is replaced.
    :param status: status of the response that is repeated.
    :param extra: its additional header lines.
    """

    def __init__(self, upstream, status=b"200 OK", extra=b""):
        self._upstream = upstream
        self._status = status
        self._extra = extra
        self._repeated = None
        self.arrivals = []
        upstream.handler = self._respond

    async def _respond(self, connection, request):
        write = connection.transport.write
        self.arrivals.append((connection, request.target))
        if self._repeated is None:
            self._repeated = (
                connection,
                self._upstream.render(request, b"first", self._status, self._extra),
            )
            write(self._repeated[1])
            return
        first_connection, copy = self._repeated
        if connection is first_connection:
            write(copy)
        self._upstream.record_run(request)
        await asyncio.sleep(0.05)
        write(self._upstream.render(request, b"own " + request.target))


@async_test
async def test_next_request_on_a_connection_does_not_get_a_late_copy(tmp_path):
    """Guards against a caller that receives the response to another request."""
    async with Fleet(tmp_path, ("entries", "parts")) as fleet:
        upstream = RepeatingUpstream(fleet.hosts[1].upstream)
        async with Client(fleet.hosts[0].settings.call_address) as client:
            assert (await client.call(b"/parts/1", b"a"))[2] == b"first"
            for number in range(2, 5):
                target = b"/parts/%d" % number
                _, _, body = await client.call(target, b"b%d" % number)
                assert body == b"own " + target
        assert upstream.arrivals[0][0] is upstream.arrivals[1][0]


@async_test
async def test_late_copy_of_a_refusal_does_not_refuse_the_next_attempt(tmp_path):
    """Guards against a caller that is told that a request which runs has not run.

    Both attempts have the id of the request, so only the connection tells the responses
    apart.
    """
    async with Fleet(tmp_path, ("entries", "parts")) as fleet:
        host = fleet.hosts[1]
        status = b"503 Service Unavailable"
        RepeatingUpstream(host.upstream, status, NOT_RUN)
        async with Client(fleet.hosts[0].settings.call_address) as client:
            refused, _, _ = await client.call(b"/parts/once/1", b"a", method=b"POST")
            second, _, _ = await client.call(b"/parts/once/1", b"a", method=b"POST")
        assert (refused, second) == (503, 200)
        assert host.upstream.runs == ["a"]

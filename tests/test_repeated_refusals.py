"""Upstreams that send a refusal again, in place of the response to another request."""

import asyncio

import pytest

from figpick.wire import DEFAULT_HEADERS

from .fleet import Client, Fleet, async_test

PROMISES = {408, 421, 429, 503}
REFUSALS = {
    "full": (b"503 Service Unavailable", b"figpick-not-run: 1\r\n"),
    "limited": (b"429 Too Many Requests", b"figpick-not-run: 1\r\n"),
    "misdirected": (b"421 Misdirected Request", b"figpick-not-run: 1\r\n"),
    "plainly misdirected": (b"421 Misdirected Request", b""),
}


class RefusingUpstream:
    """Refuses one request, and sends the refusal again before a later response.

    :param upstream: :class:`~.fleet.FakeUpstream` whose handler is replaced.
    :param refusal: key of :data:`REFUSALS`.
    :param has_id: whether the refusal has the id of its request.
    """

    def __init__(self, upstream, refusal, has_id):
        self._upstream = upstream
        self._status, self._extra = REFUSALS[refusal]
        self._has_id = has_id
        self._copy = b""
        self.kept = set()
        self.repeated_on = []
        upstream.handler = self._respond

    async def _respond(self, connection, request):
        upstream, write = self._upstream, connection.transport.write
        if b"/refused/" in request.target and not self._copy:
            refusal = upstream.render(request, b"", self._status, self._extra)
            if not self._has_id:
                name = DEFAULT_HEADERS.request_id
                lines = refusal.split(b"\r\n")
                lines = [line for line in lines if not line.lower().startswith(name)]
                refusal = b"\r\n".join(lines)
            self._copy = refusal
            write(refusal)
            return
        upstream.record_run(request)
        if self._copy:
            self.repeated_on.append(connection)
            write(self._copy)
        else:
            self.kept.add(connection)
        await asyncio.sleep(0.05)
        write(upstream.render(request, b"own " + request.target))


@pytest.mark.parametrize("method", [b"GET", b"POST"])
@pytest.mark.parametrize("has_id", [True, False])
@pytest.mark.parametrize("refusal", REFUSALS)
@async_test
async def test_repeated_refusal_on_a_kept_connection_refuses_no_other_request(
    tmp_path, refusal, has_id, method
):
    """Guards against telling a caller that a request which runs was not run."""
    async with Fleet(tmp_path, ("entries", "parts")) as fleet:
        upstream = RefusingUpstream(fleet.hosts[1].upstream, refusal, has_id)
        address = fleet.hosts[0].settings.call_address
        async with Client(address) as keeping, Client(address) as other:
            running = asyncio.ensure_future(
                keeping.call(b"/parts/once/1", b"kept", method=b"POST")
            )
            await asyncio.sleep(0.02)
            await other.call(b"/parts/once/refused/1", b"no", method=b"POST")
            assert (await running)[0] == 200
            target = b"/parts/once/2" if method == b"POST" else b"/parts/2"
            status, _, body = await keeping.call(target, b"next", method=method)
        runs = fleet.hosts[1].upstream.runs.count("next")
        if refusal == "full":
            assert upstream.repeated_on[0] in upstream.kept
        assert runs == 0 or status not in PROMISES
        if method == b"POST":
            assert runs <= 1
        if has_id and runs:
            assert (status, body) == (200, b"own " + target)


@pytest.mark.parametrize("refusal", ["full", "limited"])
@async_test
async def test_repeated_refusal_of_the_same_attempt_is_no_promise(tmp_path, refusal):
    """Guards against a promise for an attempt that an upstream gets a second time.

    A call that waited for a host may come to one that has refused it before. The id
    does not tell the copy of that refusal from the refusal of the second sending.
    """
    async with Fleet(tmp_path, ("entries", "parts", "parts")) as fleet:
        hosts = fleet.hosts[1:]
        for host in hosts:
            RefusingUpstream(host.upstream, refusal, True)
        statuses = []
        async with Client(fleet.hosts[0].settings.call_address) as client:
            for _ in range(3):
                status, _, _ = await client.call(
                    b"/parts/once/refused/1", b"same", method=b"POST"
                )
                statuses.append(status)
        runs = [run for host in hosts for run in host.upstream.runs]
        assert runs
        assert not PROMISES & set(statuses[1:])

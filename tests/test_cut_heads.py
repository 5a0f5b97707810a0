"""Upstreams that close their connection in the middle of the head of a response."""

import asyncio

import pytest

from .fleet import Client, Fleet, async_test

CUT_OFF = {502, 504}
FRAMINGS = ("length", "chunked", "close")
PREFIXES = {
    "nothing": b"",
    "interim response": b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
    "other response": (
        b"HTTP/1.1 200 OK\r\nfigpick-request-id: other\r\nfigpick-stamp: s\r\n"
        b"Content-Length: 5\r\n\r\nother"
    ),
}


def render(request_id, framing):
    """Returns the head and the body of a response."""
    head = b"HTTP/1.1 200 OK\r\nfigpick-request-id: %b\r\nfigpick-stamp: s\r\n"
    head %= request_id
    if framing == "length":
        return head + b"Content-Length: 9\r\n\r\n", b"some data"
    if framing == "chunked":
        head += b"Transfer-Encoding: chunked\r\n\r\n"
        return head, b"4\r\nsome\r\n5\r\n data\r\n0\r\n\r\n"
    return head + b"Connection: close\r\n\r\n", b"some data"


class CuttingUpstream:
    """Sends a part of each response and closes.

    :param upstream: :class:`~.fleet.FakeUpstream` whose handler is replaced.
    :param prefix: bytes in front of the response.
    :param framing: framing of the response.
    """

    def __init__(self, upstream, prefix, framing):
        self._upstream = upstream
        self._prefix = prefix
        self._framing = framing
        self.size = None
        self.resets = False
        upstream.handler = self._respond

    async def _respond(self, connection, request):
        self._upstream.record_run(request)
        request_id = request.header(b"figpick-request-id")
        head, body = render(request_id, self._framing)
        data = head + body
        cut = data[: self.size] if self.size is not None else data
        connection.transport.write(self._prefix + cut)
        if self.size is not None or self._framing == "close":
            await asyncio.sleep(0)
            if self.resets:
                connection.transport.abort()
            else:
                connection.transport.close()


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("prefix", PREFIXES)
@async_test
async def test_response_whose_head_is_cut_is_no_success(tmp_path, prefix, framing):
    """Guards against a success with an empty or short body that is framed as whole."""
    async with Fleet(tmp_path, ("entries", "parts")) as fleet:
        upstream = CuttingUpstream(fleet.hosts[1].upstream, PREFIXES[prefix], framing)
        head, body = render(b"a-000-0", framing)
        # Without a length, only the end of the connection ends the body.
        last = len(head) if framing == "close" else len(head) + len(body)
        async with Client(fleet.hosts[0].settings.call_address) as client:
            for size in range(0, last, 3):
                for resets in (False, True):
                    upstream.size, upstream.resets = size, resets
                    request_id = b"a-%03d-%d" % (size, resets)
                    status, _, received = await client.call(
                        b"/parts/once/1", request_id, method=b"POST"
                    )
                    assert status in CUT_OFF, (size, resets, received)
            upstream.size = None
            status, _, received = await client.call(b"/parts/1", b"a-whole")
            assert (status, received) == (200, b"some data")

"""Messages and replies without end between processes of ``figpick run``."""

import asyncio

import pytest

from bench.cluster import free_address
from figpick.base._clock import Clock
from figpick.base._errors import PeerUnreachableError
from figpick.messaging import _transport
from figpick.messaging._auth import Authenticator
from figpick.messaging._transport import PeerClient, PeerServer
from tests.endless_bytes import (
    BODIES,
    MAX_TRACED_BYTES,
    PIECE_BYTES,
    REQUEST_STALLS,
    SOCKET_BUFFER_BYTES,
    STALLS,
    EndlessServer,
    send_until_closed,
    traced,
)

__all__ = ["traced"]

KEY = "k" * 32


@pytest.mark.parametrize("shape", ["header-value", "interim-responses", *BODIES])
def test_reply_of_a_peer_without_end_is_cut_off(shape, traced, monkeypatch):
    """Guards against memory that grows with the reply to one message."""
    limit = 4 * 1024 * 1024
    parameters = _transport.REPLY_PARAMETERS
    assert parameters.max_body_size == _transport.MAX_MESSAGE_BYTES
    monkeypatch.setattr(parameters, "max_body_size", limit)

    async def scenario():
        start, unit = {**STALLS, **BODIES}[shape]
        server, address = EndlessServer(start, unit), free_address()
        await server.listen(address)
        client = PeerClient(Authenticator(KEY), Clock())
        with pytest.raises(PeerUnreachableError):
            await client.send(address, "gossip", {}, timeout_s=3.0)
        await asyncio.sleep(0.05)
        assert server.is_closed
        assert server.sent_bytes < limit + SOCKET_BUFFER_BYTES
        assert traced() < limit + MAX_TRACED_BYTES
        client.close()
        server.stop()

    asyncio.run(scenario())


@pytest.mark.parametrize("period_s", [0.0, 0.02])
@pytest.mark.parametrize("shape", ["header-value", "chunk-size", "body"])
def test_message_of_a_peer_without_end_is_cut_off(shape, period_s, traced, monkeypatch):
    """Guards against memory and connections that one sender of bytes holds."""
    limit = 4 * 1024 * 1024
    monkeypatch.setattr(_transport, "MAX_MESSAGE_BYTES", limit)
    monkeypatch.setattr(_transport, "MESSAGE_TIMEOUT_S", 0.3)
    monkeypatch.setattr(_transport, "SERVER_IDLE_TIMEOUT_S", 0.3)

    async def scenario():
        start, unit = REQUEST_STALLS[shape]
        address = free_address()
        server = PeerServer(address, Authenticator(KEY), Clock())
        server.start()
        start = start.replace(b"PUT /a", b"POST /peer/gossip")
        piece = unit if period_s else unit * (PIECE_BYTES // len(unit) + 1)
        async with asyncio.timeout(3.0):
            sent_bytes, received = await send_until_closed(
                address, start, piece, period_s
            )
        assert sent_bytes < limit + SOCKET_BUFFER_BYTES
        assert b"HTTP/1.1 200" not in received
        assert traced() < 2 * limit + MAX_TRACED_BYTES
        assert not server.received_count
        await server.stop()

    asyncio.run(scenario())

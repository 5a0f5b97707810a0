"""Sends the requests of operators."""

import asyncio
import uuid

from ._auth import Authenticator
from ._clock import Clock
from ._transport import PeerClient

TIMEOUT_S = 10.0


class Operator:
    """Talks to one process.

    :param address: its peer address.
    :param key: shared key.
    """

    def __init__(self, address, key):
        self._address = address
        self._key = key

    def __repr__(self):
        return f"<Operator {self._address}>"

    def put(self, document, base, change=None, author=""):
        """Changes a service document.

        :return: dict with ``service``, ``version`` and ``change``.
        """
        message = {
            "document": document,
            "base": base,
            "change": change or str(uuid.uuid4()),
            "author": author,
        }
        return self.send("put", message)

    def send(self, kind, message):
        """Sends one message and waits for the answer.

        :raises PeerError: when it is refused or not answered.
        """
        return asyncio.run(self._send(kind, message))

    async def _send(self, kind, message):
        client = PeerClient(Authenticator(self._key), Clock())
        try:
            return await client.send(self._address, kind, message, TIMEOUT_S)
        finally:
            client.close()

"""Sends the requests of operators."""

import asyncio
import uuid

from ..base._clock import Clock
from ..base._errors import PeerRefusedError, PeerUnreachableError
from ..messaging._auth import Authenticator
from ..messaging._transport import PeerClient

TIMEOUT_S = 10.0
# A new control process first receives the whole log.
MEMBERS_TIMEOUT_S = 60.0
NO_QUORUM = 503


class OperatorClient:
    """Talks to one of several processes.

    :param addresses: a peer address or a list of them, which are tried in turn.
    :param key: shared key.
    """

    def __init__(self, addresses, key):
        self._addresses = [addresses] if isinstance(addresses, str) else addresses
        self._key = key

    def __repr__(self):
        return f"<OperatorClient {', '.join(self._addresses)}>"

    def put(self, document, base, change=None, author=""):
        """Changes a service document.

        :return: dict with ``service``, ``version`` and ``change``.
        """
        message = {
            "document": document,
            "base": base,
            # All addresses get the same id, so the change is made once.
            "change": change or str(uuid.uuid4()),
            "author": author,
        }
        return self.send("put", message)

    def change_members(self, action, name, address=None):
        """Adds or removes a control process.

        :param action: ``add`` or ``remove``.
        :param address: peer address, needed to add it.
        :return: dict with the names of ``voters`` and ``learners``.
        """
        message = {"action": action, "name": name}
        if address is not None:
            message["address"] = address
        return self.send("members", message, MEMBERS_TIMEOUT_S)

    def send(self, kind, message, timeout_s=TIMEOUT_S):
        """Sends one message and waits for the answer.

        The next address is tried when one does not answer or has no quorum.

        :param timeout_s: seconds to wait at each address.
        :raises PeerError: when it is refused or not answered.
        """
        return asyncio.run(self._send(kind, message, timeout_s))

    async def _send(self, kind, message, timeout_s):
        client = PeerClient(Authenticator(self._key), Clock())
        failure = None
        try:
            for address in self._addresses:
                try:
                    return await client.send(address, kind, message, timeout_s)
                except PeerUnreachableError as error:
                    # An answer without quorum says more than no answer.
                    failure = failure or error
                except PeerRefusedError as error:
                    if error.status != NO_QUORUM:
                        raise
                    failure = error
            raise failure
        finally:
            client.close()

"""Client for the requests of operators."""

import asyncio
import uuid

from ..base._clock import Clock
from ..base._errors import PeerRefusedError, PeerUnreachableError
from ..messaging._auth import Authenticator
from ..messaging._transport import PeerClient

TIMEOUT_S = 10.0
# Adding a control process takes longer: it first receives the whole log.
MEMBERS_TIMEOUT_S = 60.0
NO_QUORUM = 503


class OperatorClient:
    """Sends requests to the first available process of several.

    :param addresses: peer address, or a list of them that are tried in turn.
    :param key: shared key.
    """

    def __init__(self, addresses, key):
        self._addresses = [addresses] if isinstance(addresses, str) else addresses
        self._key = key

    def __repr__(self):
        return f"<OperatorClient {', '.join(self._addresses)}>"

    def put(self, document, base, change=None, author=""):
        """Changes a service document.

        :param document: service document as a dict.
        :param base: version that the change is based on, 0 for a new document.
        :param change: id of the change; a retry must use the same one.
        :param author: name of the author of the change.
        :return: dict with ``service``, ``version`` and ``change``.
        """
        message = {
            "document": document,
            "base": base,
            # The id is the same for every address, so the change is made only once.
            "change": change or str(uuid.uuid4()),
            "author": author,
        }
        return self.send("put", message)

    def change_members(self, action, name, address=None):
        """Adds or removes a control process.

        :param action: ``add`` or ``remove``.
        :param name: name of the control process.
        :param address: its peer address, required for ``add``.
        :return: dict with the names of ``voters`` and ``learners``.
        """
        message = {"action": action, "name": name}
        if address is not None:
            message["address"] = address
        return self.send("members", message, MEMBERS_TIMEOUT_S)

    def send(self, kind, message, timeout_s=TIMEOUT_S):
        """Sends a message and returns the reply.

        The next address is tried when a process does not reply or has no quorum.

        :param kind: message kind.
        :param timeout_s: seconds to wait for a reply from each address.
        :raises PeerError: when the message is refused or no process replies.
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
                    # A reply that reports no quorum is more informative than no reply.
                    failure = failure or error
                except PeerRefusedError as error:
                    if error.status != NO_QUORUM:
                        raise
                    failure = error
            raise failure
        finally:
            client.close()

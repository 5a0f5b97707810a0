"""Spreads member records and document versions to all processes."""

from ._errors import PeerError
from ._logs import logger

log = logger("gossip")


class Dissemination:
    """Runs gossip and fetches documents that are newer elsewhere.

    :param gossip: :class:`~figpick._gossip.Gossip`.
    :param client: :class:`~figpick._transport.PeerClient`.
    :param node: :class:`~figpick._node.Node`, or ``None``.
    :param control: :class:`~figpick._control.Control`, or ``None``.
    """

    def __init__(self, gossip, client, node, control):
        self._gossip = gossip
        self._client = client
        self._node = node
        self._control = control

    async def exchange(self):
        """Exchanges views with one random peer."""
        address = self._gossip.choose_peer()
        if address is None:
            return
        try:
            answer = await self._client.send(address, "gossip", self._gossip.message())
            await self._learn(self._gossip.receive(answer), address)
        except PeerError as error:
            log.debug("Gossip with {} failed: {}.", address, error)

    async def receive(self, message):
        """Answers the gossip of a peer."""
        self._gossip.receive(message)
        return self._gossip.message()

    async def serve_document(self, message):
        """Gives the document of a service with its version."""
        if self._control is not None:
            return await self._control.document(message)
        service = self._node.documents[message["service"]]
        return {"document": service.document, "version": service.version}

    async def _learn(self, versions, address):
        if self._node is None:
            return
        for service, version in versions.items():
            if version > self._node.versions.get(service, 0):
                message = {"service": service}
                entry = await self._client.send(address, "document", message)
                self._node.adopt(entry["document"], entry["version"])

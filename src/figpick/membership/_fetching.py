"""Fetches the documents that a process needs from others and serves its own."""

import asyncio

from ..base._errors import (
    DocumentMissingError,
    FigpickError,
    PeerError,
    PeerRefusedError,
)
from ..base._logs import logger
from ._headlines import Headline

CONFIRM_S = 1.0
CONFIRM_PAUSE_S = 0.1
FETCH_S = 1.0
# Called services that no process knows are asked for again after this time.
UNKNOWN_S = 5.0
MAX_UNKNOWN = 1000
PEERS_ASKED = 3
NOT_FOUND = 404

log = logger("documents")


class DocumentFetcher:
    """Keeps the documents of the services that this node calls or serves.

    :param node: :class:`~figpick.roles._node.Node`.
    :param members: :class:`~figpick.membership._members.Members`.
    :param headlines: :class:`~figpick.membership._headlines.Headlines`.
    :param client: :class:`~figpick.messaging._transport.PeerClient`.
    :param control: peer addresses of the control processes.
    :param seeds: peer addresses to ask while no other member is known.
    :param services: services whose documents are needed from the start.
    :param random: source of random choices.
    """

    def __init__(
        self, node, members, headlines, client, control, seeds, services, random
    ):
        self._node = node
        self._members = members
        self._headlines = headlines
        self._client = client
        self._control = control
        self._seeds = seeds
        self._wanted = set(services)
        self._random = random
        self._rosters = {}
        self._sources = {}
        self._unknown = {}
        self._task = None
        self._first_fetches = {}
        self.confirmed = False

    def holds(self, service):
        """Whether the newest known document and roster of a service are here."""
        held = self._held(service)
        return held.version > 0 and not self._headlines.get(service).newer(held)

    def note(self, service, address):
        """Starts to fetch a document of which a newer version is known.

        :param address: peer address of a process that holds it, or empty.
        """
        if service not in self._wanted:
            return
        if address:
            self._sources[service] = address
        if self._task is None:
            self._task = asyncio.ensure_future(self._fetch_outdated())
            self._task.add_done_callback(self._ended)

    def require(self, service, now):
        """Checks that others were asked for a document before it is called unknown.

        :param now: monotonic seconds.
        :raises DocumentMissingError: when the document should be fetched first.
        """
        asked_at = self._unknown.get(service)
        if asked_at is None or now - asked_at > UNKNOWN_S:
            raise DocumentMissingError(service)

    async def fetch(self, service, now):
        """Fetches the document of a service that is called for the first time.

        Calls that come meanwhile wait for the same fetch, at most one second.

        :param now: monotonic seconds.
        :return: whether the document is here.
        """
        task = self._first_fetches.get(service)
        if task is None:
            task = asyncio.ensure_future(self._fetch_first(service))
            self._first_fetches[service] = task
            task.add_done_callback(lambda _: self._first_fetches.pop(service, None))
        await asyncio.wait([task], timeout=FETCH_S)
        if service in self._node.documents:
            return True
        if len(self._unknown) >= MAX_UNKNOWN:
            self._unknown.clear()
        self._unknown[service] = now
        return False

    async def _fetch_first(self, service):
        for address in self._addresses(service):
            await self._fetch_from(address, [service])
            if service in self._node.documents:
                self._wanted.add(service)
                return

    async def refresh(self):
        """Fetches what is still outdated, and confirms what is unconfirmed."""
        if not self.confirmed:
            await self._ask_control(CONFIRM_S)
        for service in self._outdated():
            self.note(service, "")

    async def confirm(self):
        """Asks a control process for the current documents before the node serves.

        When none answers within one second, the highest versions of three peers
        are taken and stay unconfirmed.
        """
        loop = asyncio.get_running_loop()
        limit = loop.time() + CONFIRM_S
        while (remaining_s := limit - loop.time()) > 0:
            if await self._ask_control(remaining_s):
                return
            await asyncio.sleep(CONFIRM_PAUSE_S)
        log.warning("No control process confirms the documents.")
        peers = self._peers(None)
        services = list(self._wanted)
        await asyncio.gather(*(self._fetch_from(each, services) for each in peers))

    async def serve(self, message):
        """Gives documents that this node holds."""
        if "services" not in message:
            return self._entry(message["service"])
        services = message["services"]
        known = [name for name in services if name in self._node.documents]
        return {"documents": [self._entry(name) for name in known]}

    def dump(self):
        """Gives the state as a dict."""
        return {
            "confirmed": self.confirmed,
            "wanted": sorted(self._wanted),
            "outdated": self._outdated(),
            "rosters": {name: each["epoch"] for name, each in self._rosters.items()},
        }

    def stop(self):
        """Ends the fetch under way."""
        for task in [self._task, *self._first_fetches.values()]:
            if task is not None:
                task.cancel()

    def _ended(self, task):
        self._task = None
        if not task.cancelled() and task.exception() is not None:
            log.error("Fetching documents failed: {!r}.", task.exception())

    def _held(self, service):
        known = self._node.documents.get(service)
        roster = self._rosters.get(service)
        return Headline(known.version if known else 0, roster["epoch"] if roster else 0)

    def _outdated(self):
        return [
            service
            for service in self._wanted
            if self._headlines.get(service).newer(self._held(service))
        ]

    async def _fetch_outdated(self):
        tried = set()
        while True:
            services = self._outdated()
            address = self._next_address(services, tried)
            if address is None:
                return
            tried.add(address)
            told = [name for name in services if self._sources.get(name) == address]
            adopted = await self._fetch_from(address, services)
            for service in told:
                self._sources.pop(service, None)
            if adopted:
                # What arrived meanwhile may come from the same addresses.
                tried.clear()

    def _next_address(self, services, tried):
        for service in services:
            for address in self._addresses(service):
                if address not in tried:
                    return address
        return None

    def _addresses(self, service):
        source = self._sources.get(service)
        first = [source] if source else []
        control = self._random.sample(self._control, len(self._control))
        own = self._members.own.peer_address
        addresses = first + control + self._peers(service)
        return [address for address in addresses if address != own]

    def _peers(self, service):
        live = self._members.others()
        peers = [each for each in live if each.service == service] or live
        chosen = self._random.sample(peers, min(PEERS_ASKED, len(peers)))
        if not chosen:
            return self._random.sample(self._seeds, min(PEERS_ASKED, len(self._seeds)))
        return [member.peer_address for member in chosen]

    async def _fetch_from(self, address, services):
        try:
            message = {"v": 1, "services": services}
            answer = await self._client.send(address, "document", message)
        except PeerError as error:
            log.debug("No documents from {}: {}.", address, error)
            return False
        return self._adopt_all(answer["documents"])

    async def _ask_control(self, timeout_s):
        asks = {
            asyncio.ensure_future(self._ask(address, timeout_s))
            for address in self._control
        }
        confirmed = False
        while asks and not confirmed:
            done, asks = await asyncio.wait(asks, return_when=asyncio.FIRST_COMPLETED)
            confirmed = any(ask.result() for ask in done)
        for ask in asks:
            ask.cancel()
        self.confirmed = self.confirmed or confirmed
        return confirmed

    async def _ask(self, address, timeout_s):
        message = {"v": 1, "services": sorted(self._wanted), "confirm": True}
        try:
            answer = await self._client.send(address, "document", message, timeout_s)
        except PeerError:
            return False
        self._adopt_all(answer["documents"])
        return True

    def _adopt_all(self, entries):
        adopted = [self._adopt(entry) for entry in entries]
        return any(adopted)

    def _adopt(self, entry):
        adopted = False
        document, roster = entry.get("document"), entry.get("roster")
        if document is not None:
            try:
                adopted = self._node.adopt_document(document, entry["version"])
            except (FigpickError, KeyError, TypeError) as error:
                log.error("A document cannot be put in force: {!r}.", error)
        if roster is not None and self._adopt_roster(roster):
            adopted = True
        return adopted

    def _adopt_roster(self, roster):
        service = roster["service"]
        known = self._rosters.get(service)
        if known is not None and roster["epoch"] <= known["epoch"]:
            return False
        self._rosters[service] = roster
        self._node.adopt_roster(**roster)
        return True

    def _entry(self, name):
        service = self._node.documents.get(name)
        if service is None:
            error = {"error": f"no document for {name!r}"}
            raise PeerRefusedError(NOT_FOUND, error)
        return {
            "document": service.document,
            "version": service.version,
            "roster": self._rosters.get(name),
        }


class ControlDocuments:
    """Serves the documents of a control process.

    :param control: :class:`~figpick.roles._control.Control`.
    """

    def __init__(self, control):
        self._control = control

    async def serve(self, message):
        """Gives committed documents; a missing one is left out of a list."""
        if "services" not in message:
            return await self._control.document(message)
        if message.get("confirm"):
            return await self._control.confirmed_documents(message)
        return await self._control.documents(message)

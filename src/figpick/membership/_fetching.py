"""Fetching of documents from other processes, and serving of own documents."""

import asyncio
from typing import NamedTuple

from ..base._errors import (
    DocumentMissingError,
    DocumentUnavailableError,
    FigpickError,
    PeerError,
    PeerRefusedError,
)
from ..base._logs import logger
from ._versions import ServiceVersion

CONFIRM_TIMEOUT_S = 1.0
CONFIRM_RETRY_DELAY_S = 0.1
FETCH_TIMEOUT_S = 1.0
# Time after which a service that no process knew is requested again.
UNKNOWN_RETRY_S = 5.0
# Time after which a service that exists but could not be fetched is requested again.
UNAVAILABLE_RETRY_S = 2.0
MAX_UNKNOWN_SERVICES = 1000
PEERS_QUERIED = 3
NOT_FOUND = 404

log = logger("documents")


class UnknownService(NamedTuple):
    """A service whose document could not be fetched.

    :param queried_at: monotonic seconds.
    :param version: newest version known when the fetch started, 0 if none.
    :param has_reply: whether a process replied.
    """

    queried_at: float
    version: int
    has_reply: bool


class DocumentFetcher:
    """Keeps the documents of services that this node calls or serves up to date.

    :param node: :class:`~figpick.roles._node.Node`.
    :param members: :class:`~figpick.membership._members.Members`.
    :param service_versions: :class:`~figpick.membership._versions.ServiceVersions`.
    :param client: :class:`~figpick.messaging._transport.PeerClient`.
    :param control: peer addresses of the control processes.
    :param seeds: peer addresses to query while no other member is known.
    :param services: services whose documents are needed from the start.
    :param random: source of random choices.
    """

    def __init__(
        self, node, members, service_versions, client, control, seeds, services, random
    ):
        self._node = node
        self._members = members
        self._service_versions = service_versions
        self._client = client
        self._control = control
        self._seeds = seeds
        self._wanted = set(services)
        self._random = random
        self._rosters = {}
        self._sources = {}
        self._unknown_services = {}
        self._task = None
        self._first_fetches = {}
        self._replied_services = set()
        self.confirmed = False

    def has_newest(self, service):
        """Returns whether this node has the newest known document and roster."""
        held_version = self._held_version(service)
        return held_version.version > 0 and not self._service_versions.get(
            service
        ).is_newer_than(held_version)

    def start_fetch(self, service, address):
        """Starts a fetch of a service for which a newer version is known.

        Services that this node does not need are ignored.

        :param address: peer address of a process that has the version, or empty.
        """
        if service not in self._wanted:
            return
        if address:
            self._sources[service] = address
        if self._task is None:
            self._task = asyncio.ensure_future(self._fetch_outdated())
            self._task.add_done_callback(self._on_fetch_done)

    def require_recent_fetch(self, service, now):
        """Checks that other processes were queried recently for an unknown service.

        :param now: monotonic seconds.
        :raises DocumentMissingError: when the document must be fetched first.
        :raises DocumentUnavailableError: when it could not be fetched, although its
            version is known.
        """
        unknown = self._unknown_services.get(service)
        version = self._service_versions.get(service).version
        retry_s = UNAVAILABLE_RETRY_S if version else UNKNOWN_RETRY_S
        if unknown is None or now - unknown.queried_at > retry_s:
            raise DocumentMissingError(service)
        if version > unknown.version:
            raise DocumentMissingError(service)
        if version:
            raise _unavailable(service)

    def require_reply(self, service):
        """Checks that a process replied when an unknown service was requested last.

        :raises DocumentUnavailableError: when none did.
        """
        unknown = self._unknown_services.get(service)
        if unknown is not None and not unknown.has_reply:
            raise _unavailable(service)

    async def fetch(self, service, now):
        """Fetches the document of a service that is called for the first time.

        Concurrent calls wait for the same fetch, for at most one second.

        :param now: monotonic seconds.
        :return: whether the document is available.
        """
        task, version = self._first_fetches.get(service, (None, 0))
        if task is None:
            version = self._service_versions.get(service).version
            task = asyncio.ensure_future(self._fetch_first(service))
            self._first_fetches[service] = task, version
            task.add_done_callback(lambda _: self._first_fetches.pop(service, None))
        await asyncio.wait([task], timeout=FETCH_TIMEOUT_S)
        if service in self._node.documents:
            return True
        if len(self._unknown_services) >= MAX_UNKNOWN_SERVICES:
            self._unknown_services.clear()
            self._replied_services.clear()
        has_reply = service in self._replied_services
        self._unknown_services[service] = UnknownService(now, version, has_reply)
        return False

    async def _fetch_first(self, service):
        self._replied_services.discard(service)
        for address in self._addresses(service):
            if await self._fetch_from(address, [service]) is not None:
                self._replied_services.add(service)
            if service in self._node.documents:
                self._wanted.add(service)
                return

    async def refresh(self):
        """Fetches outdated documents, and confirms documents if not confirmed yet."""
        if not self.confirmed:
            await self._query_control(CONFIRM_TIMEOUT_S)
        for service in self._outdated():
            self.start_fetch(service, "")

    async def confirm(self):
        """Fetches the current documents from a control process before the node serves.

        When none replies within one second, the highest versions of three peers
        are used and remain unconfirmed.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + CONFIRM_TIMEOUT_S
        while (remaining_s := deadline - loop.time()) > 0:
            if await self._query_control(remaining_s):
                return
            await asyncio.sleep(CONFIRM_RETRY_DELAY_S)
        log.warning("No control process confirmed the documents.")
        peers = self._peers(None)
        services = list(self._wanted)
        await asyncio.gather(*(self._fetch_from(each, services) for each in peers))

    async def serve(self, message):
        """Returns the requested documents that this node has.

        :param message: dict with ``services``, a list of names, or ``service``.
        :raises PeerRefusedError: when the document of a single ``service`` is missing.
        """
        if "services" not in message:
            return self._entry(message["service"])
        services = message["services"]
        known = [name for name in services if name in self._node.documents]
        return {"documents": [self._entry(name) for name in known]}

    def dump(self):
        """Returns the state as a dict."""
        return {
            "confirmed": self.confirmed,
            "wanted": sorted(self._wanted),
            "outdated": self._outdated(),
            "rosters": {name: each["epoch"] for name, each in self._rosters.items()},
        }

    def stop(self):
        """Cancels running fetches."""
        first_fetches = [task for task, _ in self._first_fetches.values()]
        for task in [self._task, *first_fetches]:
            if task is not None:
                task.cancel()

    def _on_fetch_done(self, task):
        self._task = None
        if not task.cancelled() and task.exception() is not None:
            log.error("Fetching documents failed: {!r}.", task.exception())

    def _held_version(self, service):
        known = self._node.documents.get(service)
        roster = self._rosters.get(service)
        return ServiceVersion(
            known.version if known else 0, roster["epoch"] if roster else 0
        )

    def _outdated(self):
        return [
            service
            for service in self._wanted
            if self._service_versions.get(service).is_newer_than(
                self._held_version(service)
            )
        ]

    async def _fetch_outdated(self):
        tried = set()
        while True:
            services = self._outdated()
            address = self._next_address(services, tried)
            if address is None:
                return
            tried.add(address)
            announced = [
                name for name in services if self._sources.get(name) == address
            ]
            adopted = await self._fetch_from(address, services)
            for service in announced:
                self._sources.pop(service, None)
            if adopted:
                # Versions announced meanwhile may come from the same addresses.
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
        chosen = self._random.sample(peers, min(PEERS_QUERIED, len(peers)))
        if not chosen:
            return self._random.sample(
                self._seeds, min(PEERS_QUERIED, len(self._seeds))
            )
        return [member.peer_address for member in chosen]

    async def _fetch_from(self, address, services):
        """Returns whether anything newer was fetched, or ``None`` without a reply."""
        try:
            message = {"v": 1, "services": services}
            reply = await self._client.send(address, "document", message)
        except PeerError as error:
            log.debug("Fetching documents from {} failed: {}.", address, error)
            return None
        return self._adopt_all(reply["documents"])

    async def _query_control(self, timeout_s):
        queries = {
            asyncio.ensure_future(self._query(address, timeout_s))
            for address in self._control
        }
        confirmed = False
        while queries and not confirmed:
            done, queries = await asyncio.wait(
                queries, return_when=asyncio.FIRST_COMPLETED
            )
            confirmed = any(query.result() for query in done)
        for query in queries:
            query.cancel()
        self.confirmed = self.confirmed or confirmed
        return confirmed

    async def _query(self, address, timeout_s):
        message = {"v": 1, "services": sorted(self._wanted), "confirm": True}
        try:
            reply = await self._client.send(address, "document", message, timeout_s)
        except PeerError:
            return False
        self._adopt_all(reply["documents"])
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
                log.error("A fetched document cannot be activated: {!r}.", error)
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


def _unavailable(service):
    message = f"the document of {service!r} could not be fetched"
    return DocumentUnavailableError(message, retry_after_s=1)


class ControlDocuments:
    """Serves the documents of a control process.

    :param control: :class:`~figpick.roles._control.Control`.
    """

    def __init__(self, control):
        self._control = control

    async def serve(self, message):
        """Returns the requested committed documents.

        The reply to a request for a list of services omits missing documents.
        """
        if "services" not in message:
            return await self._control.document(message)
        if message.get("confirm"):
            return await self._control.confirmed_documents(message)
        return await self._control.documents(message)

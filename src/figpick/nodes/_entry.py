"""Accepts the connections of clients."""

import asyncio

from ..base._logs import CALL_LOG_LIMITER, logger
from ..base._memory import DEFAULT_MEMORY_BYTES, MemoryAccount, account_bytes
from ..configuration import Limits
from ._client_connections import ClientConnection
from ._settings import DEFAULT_DESCRIPTORS
from ._turns import ParsingTurns

TIMEOUT_CHECK_PERIOD_S = 1.0
# Above this number the longest closed connection no longer waits for its client.
MAX_LINGERING_CONNECTIONS = 1024
# Share of the descriptors that clients may use. Links, the upstream and the addresses
# of the platform need the rest.
CLIENT_DESCRIPTOR_SHARE = 0.7
# Descriptors that the platform reserves for other files.
RESERVED_DESCRIPTORS = 200
# Connections that wait to be accepted take descriptors, too, once they are.
MAX_BACKLOG = 1024
BACKLOG_SHARE = 0.25
# Share of the connections that are closed at once when there are too many.
EVICTED_SHARE = 1 / 16
# Looking at each connection takes longer than to close the new one.
EVICTION_PAUSE_S = 0.1
# Lines on requests that the end of a stop cuts; the last line has their number.
MAX_CUT_LINES = 50

log = logger("entry")


class EntryServer:
    """Accepts the connections of clients and of the upstream on this host.

    :param forwarder: :class:`~figpick.nodes._forwarding.Forwarder` of the requests.
    :param clock: :class:`~figpick.base._clock.Clock`.
    :param account: :class:`~figpick.base._memory.MemoryAccount` of the process, by
        default one of its own.
    :param max_descriptors: descriptors that the process may have.
    """

    def __init__(
        self, forwarder, clock, account=None, max_descriptors=DEFAULT_DESCRIPTORS
    ):
        self.forwarder = forwarder
        self._clock = clock
        self.account = account or MemoryAccount(account_bytes(DEFAULT_MEMORY_BYTES))
        self.turns = ParsingTurns(clock)
        usable = max(1, max_descriptors - RESERVED_DESCRIPTORS)
        self._max_connections = max(1, int(usable * CLIENT_DESCRIPTOR_SHARE))
        self._backlog = min(MAX_BACKLOG, max(1, int(usable * BACKLOG_SHARE)))
        self._server = None
        self.connections = set()
        # Connections that were closed for new ones, until their end.
        self._evicted = set()
        # Monotonic seconds until which no connection is expected to be evictable.
        self._all_used_until = 0.0
        # A dict keeps the order in which they closed.
        self._lingering = {}
        self.is_stopping = False
        self.is_refusing = False
        self.is_closed = False

    def __repr__(self):
        return f"<EntryServer {len(self.connections)} connections>"

    @property
    def counters(self):
        """:class:`~figpick.nodes._counters.CallCounters` of the node."""
        return self.forwarder.counters

    def now(self):
        """Returns the monotonic time in seconds."""
        return self._clock.monotonic()

    def add_connection(self, connection):
        """Adds a connection, and closes others if there are too many."""
        self.connections.add(connection)
        if len(self.connections) - len(self._evicted) > self._max_connections:
            self._evict(connection)

    def _evict(self, newest):
        """Closes connections without an open request, the unused ones first."""
        now = self.now()
        evicted = self._choose_evicted(newest, now) or [newest]
        for connection in evicted:
            self._evicted.add(connection)
            connection.evict(now)
        self.counters.count_connection_event("evicted", len(evicted))
        message = "Connections closed, since there are too many."
        if CALL_LOG_LIMITER.allow(message, now):
            fields = {"open": len(self.connections), "closed": len(evicted)}
            log.warning(message, extra=fields)

    def _choose_evicted(self, newest, now):
        """Returns the connections to close, an empty list if all are in use."""
        if now < self._all_used_until:
            return []
        candidates = [
            each
            for each in self.connections
            if each is not newest and each.is_evictable(now)
        ]
        if not candidates:
            self._all_used_until = now + EVICTION_PAUSE_S
        candidates.sort(key=lambda each: (each.has_sent_requests, each.idle_since))
        return candidates[: max(1, int(self._max_connections * EVICTED_SHARE))]

    def add_lingering(self, connection):
        """Bounds the number of closed connections that wait for their clients."""
        self._lingering[connection] = None
        if len(self._lingering) > MAX_LINGERING_CONNECTIONS:
            oldest = next(iter(self._lingering))
            del self._lingering[oldest]
            oldest.end_lingering()

    def forget(self, connection):
        """Removes a closed connection."""
        self.connections.discard(connection)
        self._evicted.discard(connection)
        self._lingering.pop(connection, None)

    def max_header_bytes(self):
        """Returns the limit for the head of a request, in bytes."""
        return self._limits().header_bytes

    def max_body_bytes(self):
        """Returns the limit for the body of a request, in bytes."""
        return self._limits().body_bytes

    async def start(self, address):
        """Starts listening.

        :param address: tuple of IP address and port.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ClientConnection(self), *address, backlog=self._backlog
        )

    async def enforce_timeouts(self):
        """Aborts connections of slow and idle clients until cancelled."""
        while True:
            await asyncio.sleep(TIMEOUT_CHECK_PERIOD_S)
            now = self.now()
            limits = self._limits()
            for connection in list(self.connections):
                connection.enforce_timeouts(now, limits)

    def stop_keep_alive(self):
        """Stops keeping connections open after their last pending response."""
        self.is_stopping = True

    def stop_reading(self):
        """Stops listening and refuses all requests that are not yet read in full.

        Each is answered at once with a status that says that it was not run, and its
        connection is closed. Idle connections are closed without reading further
        requests. May be called again for connections that have become idle since.
        """
        self.is_stopping = self.is_refusing = True
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.stop_reading()

    @property
    def is_drained(self):
        """Whether no connection has an open request or an undelivered response."""
        now = self.now()
        return all(connection.is_drained(now) for connection in self.connections)

    def close(self):
        """Stops listening and ends all connections.

        Requests without a whole response are logged.
        """
        if self._server is not None:
            self._server.close()
        self.is_closed = True
        self._log_cut_requests()
        for connection in list(self.connections):
            connection.close()

    def _log_cut_requests(self):
        now = self.now()
        cut = [
            {
                **request,
                "unsent_bytes": connection.unsent_bytes,
                "unacknowledged_bytes": connection.unacknowledged_bytes,
            }
            for connection in self.connections
            for request in connection.open_requests(now)
        ]
        if not cut:
            return
        for request in cut[:MAX_CUT_LINES]:
            log.warning("Request cut.", extra=request)
        log.warning(
            "Requests cut, since the node stops.",
            extra={"requests": len(cut), "connections": len(self.connections)},
        )
        self.counters.count_connection_event("cut-at-stop", len(cut))

    def _limits(self):
        configuration = self.forwarder.configuration
        return configuration.limits if configuration else Limits()

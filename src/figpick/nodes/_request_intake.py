"""Parses what a client sends, in turns, and charges what is held of it."""

from ..base._memory import Holder
from ..wire import RequestReader
from ._messages import BODY_PART_BYTES

# What is parsed at once, beside the rest of a body whose length is known.
SLICE_BYTES = 4 * 1024
# Slices that are parsed at once while no other connection waits for its turn.
INLINE_SLICES = 4
# Larger bodies may only take a part of the account.
LARGE_BODY_BYTES = BODY_PART_BYTES
STATUS_UNAVAILABLE = 503
STATUS_TOO_LARGE = 413
REASON_NO_MEMORY = "the node has no memory for the request"
REASON_STALLED = "the request made no progress while others needed its memory"


class RequestIntake(Holder):
    """The bytes that one client has sent and that are not a whole request yet.

    :param connection: :class:`~figpick.nodes._client_connections.ClientConnection`.
    :param entry: :class:`~figpick.nodes._entry.EntryServer`.
    :param on_request: called with each request that is complete or rejected.
    """

    def __init__(self, connection, entry, on_request):
        self._connection = connection
        self._account = entry.account
        self._turns = entry.turns
        self._reader = RequestReader(
            on_request, entry.max_header_bytes, entry.max_body_bytes
        )
        self._unparsed = b""
        # Size of the object of which the unparsed bytes are the end.
        self._unparsed_bytes = 0
        # The partial request whose size the account has room for.
        self._admitted = None
        # Set by ParsingTurns.
        self.is_waiting = False

    @property
    def has_partial_request(self):
        """Whether bytes of a request that is not complete have been received."""
        return bool(self._unparsed) or self._reader.has_partial_request

    @property
    def has_unparsed(self):
        """Whether received bytes wait to be parsed."""
        return bool(self._unparsed)

    @property
    def started_at(self):
        """Monotonic seconds at which the partial request began, or ``None``."""
        return self._reader.started_at

    def receive(self, data, now):
        """Parses received bytes, or keeps them for a later turn.

        :param now: monotonic seconds.
        """
        is_contended = self._turns.is_contended
        if not self._unparsed and not is_contended and len(data) <= SLICE_BYTES:
            self._feed(data, now)
            return
        self._unparsed = bytes(self._unparsed) + data if self._unparsed else data
        self._unparsed_bytes = len(self._unparsed)
        if not is_contended:
            for _ in range(INLINE_SLICES):
                if not self.parse_slice(now):
                    break
        if self._unparsed:
            self._hold(now)
            self.resume()

    def resume(self):
        """Waits for a turn if received bytes have not been parsed."""
        if self._unparsed:
            self._turns.add(self)

    def parse_slice(self, now):
        """Parses one slice.

        :param now: monotonic seconds.
        :return: whether there is more to parse in a later turn.
        """
        connection = self._connection
        if connection.is_closing:
            self._drop_unparsed()
        if not self._unparsed or connection.is_blocked:
            return False
        size = max(SLICE_BYTES, self._reader.unread_body_bytes)
        data = memoryview(self._unparsed)
        if len(data) > size:
            self._unparsed = data[size:]
        else:
            self._drop_unparsed()
        self._feed(data[:size], now)
        if not self._unparsed:
            connection.update_reading()
            return False
        return not connection.is_blocked

    def parse_all(self, now):
        """Parses all received bytes, as far as the connection takes requests.

        :param now: monotonic seconds.
        """
        while self.parse_slice(now):
            pass

    def discard(self):
        """Drops what has been received, since the connection ends."""
        self._drop_unparsed()
        self._account.forget(self)

    def reject(self, status, reason=None):
        """Rejects the request that is being received.

        :param status: HTTP status of the response.
        :param reason: text for the client.
        """
        self._drop_unparsed()
        self._reader.reject(status, reason)
        self._account.hold(self, 0, 0, 0.0)

    def reclaim(self, now):
        self.reject(STATUS_UNAVAILABLE, REASON_STALLED)

    def abort(self):
        """Closes the connection immediately."""
        self._connection.abort()

    def release(self):
        """Frees what is held of a request that is now complete."""
        if self.held_bytes:
            self._account.hold(self, 0, 0, 0.0)

    def _drop_unparsed(self):
        self._unparsed = b""
        self._unparsed_bytes = 0

    def _feed(self, data, now):
        self._reader.feed(data, now)
        if self._reader.has_partial_request or self._unparsed:
            self._hold(now)
        elif self.held_bytes:
            self.release()

    def _hold(self, now):
        """Charges what is held, and rejects the request if there is no room for it."""
        account, reader = self._account, self._reader
        request = reader.partial_request
        size = reader.partial_bytes + self._unparsed_bytes
        if request is None:
            if not account.hold(self, size, 0, now):
                self.reject(STATUS_UNAVAILABLE, REASON_NO_MEMORY)
            return
        total_bytes = max(request.announced_bytes, request.body_bytes)
        if total_bytes > account.large_limit_bytes:
            # It cannot be served at any time, so a retry would not help.
            self.reject(STATUS_TOO_LARGE)
            return
        is_large = total_bytes > LARGE_BODY_BYTES
        has_room = account.hold(self, size, size if is_large else 0, now)
        if has_room and is_large and request is not self._admitted:
            self._admitted = request
            missing_bytes = total_bytes - request.body_bytes
            has_room = account.has_room_for_body(missing_bytes, now)
        if not has_room:
            self.reject(STATUS_UNAVAILABLE, REASON_NO_MEMORY)

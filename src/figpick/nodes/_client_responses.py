"""Responses to the requests of one client connection."""

from ..wire import render_error_response
from ._calls import STATUS_FAILED


class ResponseWriter:
    """Holds one response until its turn on the connection.

    :param connection: :class:`ClientConnection`.
    :param keeps_alive: whether the client keeps the connection open afterwards.
    :param is_head: whether the request is a HEAD request.
    """

    __slots__ = (
        "connection",
        "keeps_alive",
        "call",
        "is_head",
        "head",
        "pending",
        "pending_body_bytes",
        "is_begun",
        "is_complete",
        "is_broken",
        "is_chunked",
        "request_bytes",
        "_large_bytes",
        "_released_bytes",
        "_pending_bytes",
    )

    def __init__(self, connection, keeps_alive, is_head):
        self.connection = connection
        self.keeps_alive = keeps_alive
        self.call = None
        self.is_head = is_head
        self.head = None
        self.pending = []
        # Without the framing of chunks, as the owner counts a body.
        self.pending_body_bytes = 0
        # Whether the head has been written.
        self.is_begun = False
        self.is_complete = False
        self.is_broken = False
        self.is_chunked = False
        # Memory of the request, as long as it is charged.
        self.request_bytes = 0
        # A part of it that is a large body, and the part that was freed before.
        self._large_bytes = 0
        self._released_bytes = 0
        self._pending_bytes = 0

    def hold_request(self, size, large_bytes):
        """Charges the request until it is released.

        :param size: memory of the request.
        :param large_bytes: part of it that is a large body.
        """
        self.request_bytes = size
        self._large_bytes = large_bytes
        self.connection.account.add(size, large_bytes)

    def release_body(self):
        """Frees what a large body was charged, since it is no longer needed."""
        size, self._large_bytes = self._large_bytes, 0
        if size:
            self._released_bytes = size
            self.connection.account.add(-size, -size)

    def release_request(self):
        """Frees what the request and unsent data of the response were charged."""
        self.release_body()
        if self.request_bytes:
            self.connection.account.add(self._released_bytes - self.request_bytes)
            self.request_bytes = self._released_bytes = 0
        if self._pending_bytes:
            self._discard_pending()

    def start(self, status, head, length, body, is_last):
        """Adds the head and the first part of the body.

        :param head: status line and headers without framing.
        :param length: length of the whole body in bytes, -1 if unknown.
        :param body: first part of the body.
        :param is_last: whether the body has no further parts.
        """
        if length < 0 and is_last:
            length = len(body)
        # RFC 9110: responses with these statuses have no body and no length.
        has_body = status not in (204, 304) and not self.is_head
        self.is_chunked = length < 0 and has_body
        framing = b""
        if self.is_chunked:
            framing = b"Transfer-Encoding: chunked\r\n"
        elif has_body:
            framing = b"Content-Length: %d\r\n" % length
        self.head = head + framing
        if has_body:
            self._add_body(body, is_last)
        self.is_complete = is_last
        self.connection.flush()

    def write(self, body, is_last):
        """Adds another part of the body."""
        self._add_body(body, is_last)
        self.is_complete = is_last
        self.connection.flush()

    def abort(self, text="the response of the upstream broke off"):
        """Ends a response that cannot be completed.

        An error takes its place if nothing of it has been written. Otherwise its
        connection closes after it, so that it does not look complete.

        :param text: message of the error.
        """
        if self.is_begun:
            self.is_broken = True
            self.connection.flush()
            return
        self._discard_pending()
        head, body = render_error_response(STATUS_FAILED, text)
        self.start(STATUS_FAILED, head, len(body), body, True)

    def take_pending(self):
        """Removes the data that can be written now.

        :return: tuple of the data and the number of bytes of the body in it.
        """
        data = b"".join(self.pending)
        body_bytes = self.pending_body_bytes
        self._discard_pending()
        return data, body_bytes

    def _discard_pending(self):
        self.connection.pending_bytes -= self._pending_bytes
        self.pending = []
        self.pending_body_bytes = self._pending_bytes = 0

    def _add_body(self, body, is_last):
        self.pending_body_bytes += len(body)
        self._pending_bytes += len(body)
        self.connection.pending_bytes += len(body)
        if not self.is_chunked:
            if body:
                self.pending.append(body)
            return
        if body:
            self.pending.append(b"%x\r\n%b\r\n" % (len(body), body))
        if is_last:
            self.pending.append(b"0\r\n\r\n")

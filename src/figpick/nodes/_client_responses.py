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
        self.pending = []
        head, body = render_error_response(STATUS_FAILED, text)
        self.start(STATUS_FAILED, head, len(body), body, True)

    def take_pending(self):
        """Removes the data that can be written now.

        :return: tuple of the data and the number of bytes of the body in it.
        """
        data = b"".join(self.pending)
        body_bytes = self.pending_body_bytes
        self.pending = []
        self.pending_body_bytes = 0
        return data, body_bytes

    def _add_body(self, body, is_last):
        self.pending_body_bytes += len(body)
        if not self.is_chunked:
            if body:
                self.pending.append(body)
            return
        if body:
            self.pending.append(b"%x\r\n%b\r\n" % (len(body), body))
        if is_last:
            self.pending.append(b"0\r\n\r\n")

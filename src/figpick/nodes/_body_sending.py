"""Sends the body of a call to its owner in parts, as the owner takes them."""

from ._messages import BODY_PART, BODY_PART_BYTES


def first_part(parts):
    """Returns the beginning of a body, up to :data:`BODY_PART_BYTES`.

    :param parts: list of bytes-like parts.
    """
    size, begin = 0, []
    for part in parts:
        begin.append(memoryview(part)[: BODY_PART_BYTES - size])
        size += len(begin[-1])
        if size == BODY_PART_BYTES:
            break
    return b"".join(begin)


def iterate_rest(parts, offset):
    """Yields a body from an offset in pieces of at most :data:`BODY_PART_BYTES`.

    The pieces are views, so that the body is held only once.
    """
    for part in parts:
        if offset >= len(part):
            offset -= len(part)
            continue
        view = memoryview(part)
        for start in range(offset, len(part), BODY_PART_BYTES):
            yield view[start : start + BODY_PART_BYTES]
        offset = 0


class BodySender:
    """Sends what the first message of a call leaves of its body.

    :param attempt: :class:`~figpick.nodes._calls.Attempt`.
    :param link: link on which the attempt was sent.
    :param parts: list of the parts of the whole body.
    :param sent_bytes: size of the part in the first message.
    :param body_bytes: size of the body.
    """

    def __init__(self, attempt, link, parts, sent_bytes, body_bytes):
        self._number = attempt.number
        self._link = link
        self._pieces = iterate_rest(parts, sent_bytes)
        self._missing_bytes = body_bytes - sent_bytes
        self._credit = 0
        self._is_waiting = False
        # Owners of earlier releases take the whole body at once.
        self._needs_credit = link.grants_body_credit

    def __repr__(self):
        return f"<BodySender {self._number} {self._missing_bytes} bytes left>"

    @property
    def is_done(self):
        """Whether the whole body has been sent."""
        return not self._missing_bytes

    def add_credit(self, size):
        """Sends more, since the owner takes further bytes."""
        self._credit += size
        self.send()

    def stop(self):
        """Sends nothing more and lets go of the body."""
        self._pieces = None
        self._missing_bytes = 0

    def send(self):
        """Sends as much as the owner and the link take."""
        self._is_waiting = False
        while self._missing_bytes and (self._credit > 0 or not self._needs_credit):
            if self._link.is_congested:
                self._wait()
                return
            piece = next(self._pieces)
            self._missing_bytes -= len(piece)
            self._credit -= len(piece)
            is_last = not self._missing_bytes
            self._link.send((BODY_PART, self._number, piece, is_last))

    def _wait(self):
        if not self._is_waiting:
            self._is_waiting = True
            self._link.call_when_writable(self.send)

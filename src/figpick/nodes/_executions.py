"""Calls at an owner, and which running request made a call."""

from bisect import bisect_left, insort
from hashlib import blake2b

from ..admission import Ticket

# A waiting call leaves the queue this long before its caller gives up.
LEAVE_MARGIN_S = 0.03
# A call of a running request carries the deadline of that request, less the time
# that the upstream and the network took.
ID_SEPARATOR = b"."
PARENT_EARLY_S = 0.003
PARENT_LATE_S = 0.025


def fingerprint(call):
    """Identifies a request over its repetitions by clients.

    :param call: :class:`CallMessage`.
    """
    line = call.head[: call.head.find(b"\r\n")]
    digest = blake2b(line, digest_size=12)
    digest.update(call.caller.encode())
    digest.update(call.body)
    return digest.hexdigest()


class Execution:
    """One call at the owner.

    :param owner: :class:`Owner`.
    :param link: link of the node that took the call.
    :param peer: name and token of that node.
    :param number: number of the call on that link.
    :param call: :class:`CallMessage`.
    :param now: monotonic seconds.
    """

    __slots__ = (
        "owner",
        "link",
        "peer",
        "number",
        "call",
        "ticket",
        "deadline",
        "connection",
        "parts",
        "body_left",
        "is_done",
        "streams",
        "unread",
        "is_paused",
        "timer",
        "child_levels",
        "child_count",
        "sent_at",
        "server_deadline",
    )

    def __init__(self, owner, link, peer, number, call, now):
        self.owner = owner
        self.link = link
        self.peer = peer
        self.number = number
        self.call = call
        self.deadline = now + call.left_ms / 1000
        self.ticket = Ticket(
            self,
            call.rank,
            call.is_inner,
            call.route,
            now + call.target_ms / 1000,
            self.deadline - LEAVE_MARGIN_S,
            call.key,
        )
        self.connection = None
        self.parts = [call.body] if call.body else []
        self.body_left = call.body_bytes - len(call.body)
        self.is_done = False
        self.streams = False
        self.unread = 0
        self.is_paused = False
        self.timer = None
        self.child_levels = 0.0
        self.child_count = 0
        self.sent_at = None
        self.server_deadline = None

    def __repr__(self):
        return f"<Execution {self.number} {self.call.route}>"

    @property
    def level(self):
        """Mean level that the calls of this request met, 1 without any."""
        return self.child_levels / self.child_count if self.child_count else 1.0

    def add_child_level(self, level):
        """Notes the level that a call of this request met."""
        self.child_levels += level
        self.child_count += 1

    def on_answer(self, reader):
        """Takes a piece of the upstream's answer."""
        self.owner.on_answer(self, reader)

    def on_lost(self, reason):
        """Notes that the connection ended before the answer was whole."""
        self.owner.on_lost(self, reason)


def render_call(call, left_ms, names):
    """Gives the head of a call as the upstream gets it.

    :param call: :class:`~figpick.nodes._messages.CallMessage`.
    :param left_ms: milliseconds that its caller still waits.
    :param names: :class:`~figpick.wire.HeaderNames`.
    """
    lines = [
        call.head,
        b"%b: %d\r\n" % (names.deadline_ms, left_ms),
        b"%b: %b\r\n" % (names.instance, call.instance.encode()),
        b"%b: %b\r\n" % (names.caller, call.caller.encode()),
    ]
    if call.body_bytes or not call.head.startswith((b"GET ", b"HEAD ")):
        lines.append(b"Content-Length: %d\r\n" % call.body_bytes)
    lines.append(b"\r\n")
    return b"".join(lines)


def is_whole(reader, names):
    """Whether an answer is the upstream's own and can be passed on.

    No request asks for an encoding, so an encoded answer is not the upstream's, and
    a success without its stamp is not either.

    :param reader: complete :class:`~figpick.wire.AnswerReader`.
    """
    if reader.header(b"content-encoding") is not None:
        return False
    is_stamped = reader.header(names.stamp) is not None
    return is_stamped or not 200 <= reader.status < 300


class RunningRequests:
    """Requests that the upstream runs, by id and by the deadline that it was given."""

    def __init__(self):
        self._by_deadline = []
        self._by_id = {}
        self.has_derived_ids = False

    def __repr__(self):
        return f"<RunningRequests {len(self._by_id)}>"

    def add(self, execution, deadline):
        """Adds a request that was sent.

        :param deadline: monotonic seconds, rounded as the upstream was told.
        """
        execution.server_deadline = deadline
        insort(self._by_deadline, (deadline, id(execution), execution))
        self._by_id[execution.call.request_id] = execution

    def remove(self, execution):
        """Removes a request that has ended."""
        if execution.server_deadline is None:
            return
        entry = (execution.server_deadline, id(execution))
        del self._by_deadline[bisect_left(self._by_deadline, entry)]
        if self._by_id.get(execution.call.request_id) is execution:
            del self._by_id[execution.call.request_id]

    def find_parent(self, request_id, deadline):
        """Finds the running request that made a call.

        Upstreams may derive the id of a call from that of the request; otherwise
        the call's deadline tells, though several requests may have nearly the same.

        :param request_id: id of the call.
        :param deadline: monotonic seconds at which the call expires.
        :return: :class:`Execution`, or ``None``.
        """
        parent = self._by_id.get(request_id.rpartition(ID_SEPARATOR)[0])
        if parent is not None:
            self.has_derived_ids = True
        if parent is not None or self.has_derived_ids:
            return parent
        entries = self._by_deadline
        start = bisect_left(entries, (deadline - PARENT_LATE_S,))
        while start < len(entries) and entries[start][0] <= deadline + PARENT_EARLY_S:
            parent = entries[start][2]
            start += 1
        return parent

    def find_oldest(self, routes):
        """Gives the longest running request on some routes, or ``None``."""
        for execution in self._by_id.values():
            if execution.call.route in routes:
                return execution
        return None

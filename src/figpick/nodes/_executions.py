"""Calls at an owner, and the lookup of the running request that made a call."""

from bisect import bisect_left, insort
from hashlib import blake2b

from ..admission import Ticket
from ..directory import parse_incarnation
from ..wire import render_field
from ._messages import BODY_WINDOW_BYTES

# A queued call is refused this long before its caller times out.
QUEUE_MARGIN_S = 0.03
ID_SEPARATOR = b"."
# Memory of a call beside its head and body.
EXECUTION_BYTES = 4 * 1024
# A nested call carries the deadline of its parent request, less the time that the
# upstream and the network took. As seen by the node, its deadline may be this much
# earlier or later than that of the parent.
PARENT_EARLY_S = 0.003
PARENT_LATE_S = 0.025


def fingerprint(call):
    """Returns an identifier of a request that is the same for retries by clients.

    :param call: :class:`CallMessage`.
    """
    line = call.head[: call.head.find(b"\r\n")]
    digest = blake2b(line, digest_size=12)
    digest.update(call.caller.encode())
    digest.update(call.body)
    return digest.hexdigest()


def memory_bytes(call):
    """Returns the memory that a call takes at its owner.

    :param call: :class:`CallMessage`.
    """
    window_bytes = min(call.body_bytes - len(call.body), BODY_WINDOW_BYTES)
    return EXECUTION_BYTES + len(call.head) + len(call.body) + window_bytes


class Execution:
    """One queued or running call at the owner.

    :param owner: :class:`Owner`.
    :param link: link to the calling node.
    :param peer: name and token of the calling node.
    :param number: number of the call, assigned by the calling node.
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
        "body_parts",
        "remaining_body_bytes",
        "ungranted_body_bytes",
        "credit_body_bytes",
        "charged_bytes",
        "is_done",
        "is_streaming",
        "unread_bytes",
        "is_paused",
        "awaits_link",
        "timer",
        "child_level_sum",
        "child_count",
        "sent_at",
        "upstream_deadline",
        "received_at",
        "has_read_notice",
    )

    def __init__(self, owner, link, peer, number, call, now):
        self.owner = owner
        self.link = link
        self.peer = peer
        self.number = number
        self.call = call
        self.received_at = now
        self.deadline = now + call.remaining_ms / 1000
        self.ticket = Ticket(
            self,
            call.rank,
            call.is_nested,
            call.route,
            now + call.target_ms / 1000,
            self.deadline - QUEUE_MARGIN_S,
            call.key,
        )
        self.connection = None
        self.body_parts = [call.body] if call.body else []
        self.remaining_body_bytes = call.body_bytes - len(call.body)
        # Bytes of the body that the caller may not send yet, and those of them that the
        # upstream has read in the meantime.
        self.ungranted_body_bytes = self.remaining_body_bytes
        self.credit_body_bytes = 0
        # What the account of the node counts for it.
        self.charged_bytes = 0
        self.is_done = False
        self.is_streaming = False
        self.unread_bytes = 0
        self.is_paused = False
        # Whether it is paused until the link to its caller is written.
        self.awaits_link = False
        self.timer = None
        self.child_level_sum = 0.0
        self.child_count = 0
        self.sent_at = None
        self.upstream_deadline = None
        self.has_read_notice = False

    def __repr__(self):
        return f"<Execution {self.number} {self.call.route}>"

    @property
    def state(self):
        """``queued``, ``connecting``, ``running`` or ``streaming``."""
        if self.is_streaming:
            return "streaming"
        if self.sent_at is not None:
            return "running"
        return "queued" if self.ticket.is_queued else "connecting"

    @property
    def level(self):
        """Mean admission level of this request's nested calls, 1 if there are none."""
        return self.child_level_sum / self.child_count if self.child_count else 1.0

    def add_child_level(self, level):
        """Records the admission level of a nested call of this request."""
        self.child_level_sum += level
        self.child_count += 1

    def on_response(self, reader):
        """Handles received bytes of the upstream's response."""
        self.owner.on_response(self, reader)

    def on_writable(self):
        """Handles an upstream that has read what was sent to it."""
        self.owner.on_writable(self)

    def on_connection_lost(self, reason):
        """Handles a connection that was lost before the response was complete."""
        self.owner.on_connection_lost(self, reason)


def render_head(call, remaining_ms, names):
    """Returns the request head that is sent to the upstream, as bytes.

    :param call: :class:`~figpick.nodes._messages.CallMessage`.
    :param remaining_ms: milliseconds until its caller times out.
    :param names: :class:`~figpick.wire.HeaderNames`.
    :raises InvalidHeadError: if a part of it would end its line.
    """
    instance = parse_incarnation(call.instance).instance
    lines = [
        call.head,
        b"%b: %d\r\n" % (names.deadline_ms, remaining_ms),
        render_field(names.instance, instance.encode()),
        render_field(names.caller, call.caller.encode()),
    ]
    if call.body_bytes or not call.head.startswith((b"GET ", b"HEAD ")):
        lines.append(b"Content-Length: %d\r\n" % call.body_bytes)
    lines.append(b"\r\n")
    return b"".join(lines)


def is_from_upstream(reader, names):
    """Returns whether a response comes from the upstream itself.

    Requests never accept a content encoding, so an encoded response does not come
    from the upstream. Neither does a successful response without the stamp header.

    :param reader: :class:`~figpick.wire.ResponseReader`.
    """
    if reader.header(b"content-encoding") is not None:
        return False
    is_stamped = reader.header(names.stamp) is not None
    return is_stamped or not 200 <= reader.status < 300


class RunningRequests:
    """Requests that the upstream runs, by id and by the deadline sent to it."""

    def __init__(self):
        self._by_deadline = []
        self._by_id = {}
        self.has_derived_ids = False

    def __repr__(self):
        return f"<RunningRequests {len(self._by_id)}>"

    def add(self, execution, deadline):
        """Adds a request that has been sent to the upstream.

        :param deadline: monotonic seconds, rounded to the milliseconds sent to the
            upstream.
        """
        execution.upstream_deadline = deadline
        insort(self._by_deadline, (deadline, id(execution), execution))
        if execution.call.request_id:
            self._by_id[execution.call.request_id] = execution

    def remove(self, execution):
        """Removes a request that has finished."""
        if execution.upstream_deadline is None:
            return
        entry = (execution.upstream_deadline, id(execution))
        del self._by_deadline[bisect_left(self._by_deadline, entry)]
        if self._by_id.get(execution.call.request_id) is execution:
            del self._by_id[execution.call.request_id]

    def find_parent(self, request_id, deadline):
        """Finds the running request that made a call.

        Upstreams may derive the id of a nested call from the id of its parent.
        Otherwise the parent is found by its deadline, which is ambiguous if several
        requests have nearly the same one.

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
        """Returns the longest running request on the given routes, or ``None``."""
        for execution in self._by_id.values():
            if execution.call.route in routes:
                return execution
        return None

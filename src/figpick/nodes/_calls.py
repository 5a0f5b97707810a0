"""A call at the node that took it, and its attempts."""

from ..wire import render_error_response

STATUS_NOT_RUN = 503
STATUS_FAILED = 502
STATUS_TIMEOUT = 504


class Attempt:
    """One sending of a call to an owner.

    :param number: number on the link.
    :param call: :class:`Call`.
    :param peer: :class:`~figpick.nodes._peers.Peer`.
    :param now: monotonic seconds.
    """

    __slots__ = ("number", "call", "peer", "sent_at", "token", "is_streaming")

    def __init__(self, number, call, peer, now):
        self.number = number
        self.call = call
        self.peer = peer
        self.sent_at = now
        self.token = peer.token
        self.is_streaming = False

    def __repr__(self):
        return f"<Attempt {self.number} at {self.peer.name}>"


class Call:
    """One request of a client, or of the upstream beside this node.

    :param request: :class:`~figpick.wire.ClientRequest`.
    :param reply: gets the answer; see :class:`~figpick.nodes._entry.Reply`.
    :param now: monotonic seconds.
    """

    __slots__ = (
        "request",
        "reply",
        "route",
        "service",
        "request_id",
        "started_at",
        "deadline",
        "answer_by",
        "target_at",
        "rank",
        "key",
        "is_nested",
        "is_retry",
        "parent",
        "head",
        "body",
        "attempts",
        "tried",
        "placements",
        "level",
        "sent",
        "may_have_run",
        "is_done",
        "timer",
        "hedge_timer",
        "waits",
    )

    def __init__(self, request, reply, now):
        self.request = request
        self.reply = reply
        self.route = None
        self.service = None
        self.request_id = b""
        self.started_at = now
        self.deadline = now
        self.answer_by = now
        self.target_at = now
        self.rank = 0
        self.key = 0.0
        self.is_nested = False
        self.is_retry = False
        self.parent = None
        self.head = b""
        self.body = b""
        self.attempts = {}
        self.tried = set()
        # Hosts to which it was handed, and upstreams that may have begun to run it.
        self.placements = 0
        # Admission level that the last host which refused it reported.
        self.level = 1.0
        self.sent = 0
        self.may_have_run = False
        self.is_done = False
        self.timer = None
        self.hedge_timer = None
        self.waits = False

    def __repr__(self):
        return f"<Call {self.request_id!r}>"

    @property
    def text_id(self):
        """Id of the attempt of the client, for logs."""
        return self.request_id.decode("latin-1")

    def refuse(self, status, text, retry_after_s=None):
        """Answers for figpick itself.

        :param retry_after_s: seconds until the client may come back.
        """
        extra = b""
        if retry_after_s is not None:
            extra = b"Retry-After: %.2f\r\n" % retry_after_s
        head, body = render_error_response(status, text, extra)
        self.reply.answer(status, head, len(body), body, True)

"""Calls at the node that received them, and their attempts."""

from ..wire import render_error_response

STATUS_NOT_RUN = 503
STATUS_FAILED = 502
STATUS_TIMEOUT = 504


class Attempt:
    """One attempt to run a call at an owner.

    :param number: number of the attempt at this node, which identifies it on the link.
    :param call: :class:`Call`.
    :param peer: :class:`~figpick.nodes._peers.Peer` of the owner.
    :param now: monotonic seconds.
    """

    __slots__ = ("number", "call", "peer", "sent_at", "is_streaming", "body_sender")

    def __init__(self, number, call, peer, now):
        self.number = number
        self.call = call
        self.peer = peer
        self.sent_at = now
        self.is_streaming = False
        # Sends the rest of a large body, ``None`` if there is none.
        self.body_sender = None

    def __repr__(self):
        return f"<Attempt {self.number} at {self.peer.name}>"


class Call:
    """Holds a request of a client or of the upstream on this host, and its state.

    :param request: :class:`~figpick.wire.ClientRequest`.
    :param response: :class:`~figpick.nodes._client_responses.ResponseWriter`.
    :param now: monotonic seconds.
    """

    __slots__ = (
        "request",
        "response",
        "route",
        "service",
        "request_id",
        "started_at",
        "deadline",
        "respond_by",
        "target_at",
        "rank",
        "key",
        "is_nested",
        "nested_by",
        "is_retry",
        "parent",
        "head",
        "body",
        "body_bytes",
        "attempts",
        "tried_hosts",
        "placements",
        "level",
        "used_attempts",
        "was_at_upstream",
        "may_have_run",
        "failure",
        "rate_limit_wait_s",
        "is_done",
        "timer",
        "hedge_timer",
        "is_waiting_for_host",
    )

    def __init__(self, request, response, now):
        self.request = request
        self.response = response
        self.route = None
        self.service = None
        self.request_id = b""
        self.started_at = now
        self.deadline = now
        self.respond_by = now
        self.target_at = now
        self.rank = 0
        self.key = 0.0
        self.is_nested = False
        # What shows that the call is nested: ``id`` or ``deadline`` of a running
        # request, or only the ``route``; empty for requests of clients.
        self.nested_by = ""
        self.is_retry = False
        self.parent = None
        self.head = b""
        # The parts of the body, never joined: a copy would take as much again.
        self.body = []
        self.body_bytes = 0
        self.attempts = {}
        self.tried_hosts = set()
        # Number of hosts to which the call was sent.
        self.placements = 0
        # Admission level reported by the last host that refused the call.
        self.level = 1.0
        # Number of attempts that failed or got no response, and may have begun to run.
        self.used_attempts = 0
        # Whether an upstream has received the call, so that it is sent as a retry.
        self.was_at_upstream = False
        self.may_have_run = False
        # Status, head and body of the upstream's failure after which it was sent again.
        self.failure = None
        # Shortest wait at the hosts that refused it for the limit of their upstream.
        self.rate_limit_wait_s = None
        self.is_done = False
        self.timer = None
        self.hedge_timer = None
        self.is_waiting_for_host = False

    def __repr__(self):
        return f"<Call {self.request_id!r}>"

    @property
    def is_awaited(self):
        """Whether a request that runs at the upstream on this host waits for it.

        A route alone does not show that: clients may use it as well.
        """
        return self.parent is not None and self.nested_by != "route"

    @property
    def state(self):
        """``waiting`` for a host, ``sent`` to an owner, or ``streaming``."""
        if any(attempt.is_streaming for attempt in self.attempts.values()):
            return "streaming"
        return "sent" if self.attempts else "waiting"

    @property
    def decoded_request_id(self):
        """The id of the client's attempt, as text for logs."""
        return self.request_id.decode("latin-1")

    def discard_body(self):
        """Frees the body, which no further attempt needs."""
        self.body = []
        self.request.body = []
        self.request.discard_headers()
        self.response.release_body()

    def send_error(self, status, text, retry_after_s=None):
        """Sends an error response of figpick itself.

        :param status: HTTP status.
        :param text: body of the response.
        :param retry_after_s: seconds until the client may retry, ``None`` to leave
            the header out.
        """
        extra = b""
        if retry_after_s is not None:
            extra = b"Retry-After: %.2f\r\n" % retry_after_s
        head, body = render_error_response(status, text, extra)
        self.response.start(status, head, len(body), body, True)

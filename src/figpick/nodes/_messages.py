"""Messages between the calling node, which received a call, and the owner that runs it.

Each message is a list whose first item is its kind. The number is that of the attempt
at the calling node. The other items:

* ``hello``: name and token of the sending process. Both ends send it first on each
  link. A calling node adds a list of what it knows of the upstream, see
  :class:`~figpick.nodes._known_notices.KnownNotice`.
* ``call``: number, then the fields of :class:`CallMessage`.
* ``body``: number, bytes of the request body, whether they are the last.
* ``cancel``: number, whether to abort the call if it is already running.
* ``withdraw``: number. The owner refuses the call unless the upstream has it.
* ``answer``: number, status, head, length or -1, bytes of the response body, whether
  they are the last, load, level, service time in ms.
* ``part``: number, bytes of the response body, whether they are the last.
* ``broken``: number. The response was cut off; the rest of it is lost.
* ``failed``: number, reason, load. The call may have run.
* ``not-run``: number, reason, ms until a slot is expected, load, level. The call
  did not run and never will.
* ``credit``: number, count of bytes that were forwarded to the client.
* ``body-credit``: number, count of bytes of the request body that the owner takes
  beyond those of earlier credits and of the ``call`` message. With number 0, before
  ``hello``: the owner grants credit. Owners of earlier releases grant none and take
  everything; they ignore kinds that they do not know, as calling nodes do.
* ``load``: load of the owner, the incarnation and the service of its upstream, whether
  it is draining; sent when a link opens and when the upstream changes or fails.
* ``attach``: numbers of the attempts whose responses are awaited on a new link.

The load is a list of the fields of :class:`~figpick.placing.Load`.
"""

from typing import NamedTuple

HELLO = "hello"
CALL = "call"
BODY_PART = "body"
CANCEL = "cancel"
WITHDRAW = "withdraw"
RESPONSE = "answer"
RESPONSE_PART = "part"
RESPONSE_CUT_OFF = "broken"
FAILED = "failed"
NOT_RUN = "not-run"
CREDIT = "credit"
BODY_CREDIT = "body-credit"
LOAD = "load"
ATTACH = "attach"

# Index of the body in a response message.
RESPONSE_BODY = 5

# Request bodies larger than this are sent in parts.
BODY_PART_BYTES = 64 * 1024
# Bytes of a request body that may be in transit to an upstream.
BODY_WINDOW_BYTES = 256 * 1024
# Bytes of a response that may be in transit to a client that reads slowly.
RESPONSE_WINDOW_BYTES = 256 * 1024

REASON_TIMEOUT = "timeout"
REASON_QUEUE_TIMEOUT = "waited-too-long"
REASON_BROKEN_RESPONSE = "broken-answer"
REASON_LINK_LOST = "link-lost"
REASON_QUARANTINED = "quarantined"
REASON_LEAVING = "leaving"
# A node that stops has no time left for the call.
REASON_STOPPED = "node-stops"
REASON_WRONG_INSTANCE = "wrong-instance"
# The head of the call would pass for more than one request.
REASON_INVALID_HEAD = "invalid-head"
REASON_NO_CONNECTION = "no-connection"
REASON_MISDIRECTED = "misdirected"
# The account of the owner has no room for the call.
REASON_NO_MEMORY = "no-memory"
REASON_UPSTREAM_FULL = "upstream-full"
# The upstream received and refused these calls, so another attempt is a retry.
REASONS_AT_UPSTREAM = frozenset((REASON_UPSTREAM_FULL, REASON_MISDIRECTED))


class CallMessage(NamedTuple):
    """A call as it is sent to the owner.

    :param instance: key of the incarnation of the upstream that must run it.
    :param rank: order of execution; the lowest number runs first.
    :param key: number in [0, 1) assigned to the request at the entry.
    :param is_nested: whether the call is nested: a running request needs its response.
    :param is_idempotent: whether it may run again.
    :param is_retry: whether it, or the request that caused it, was sent before.
    :param remaining_ms: milliseconds until its caller times out.
    :param target_ms: milliseconds within which its response has its full value.
    :param route: name of its route.
    :param caller: service of the host on which the call was made.
    :param request_id: id of the attempt of the client.
    :param is_head: whether it is a HEAD request, whose response has no body.
    :param head: head of the request without the lines that the owner adds.
    :param body: first part of the body.
    :param is_complete: whether the body has no further parts.
    :param body_bytes: length of the whole body in bytes.
    """

    instance: str
    rank: int
    key: float
    is_nested: bool
    is_idempotent: bool
    is_retry: bool
    remaining_ms: int
    target_ms: int
    route: str
    caller: str
    request_id: bytes
    is_head: bool
    head: bytes
    body: bytes
    is_complete: bool
    body_bytes: int

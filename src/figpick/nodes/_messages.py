"""Messages between the node that takes a call and the owner that runs it.

Each message is a list whose first item is its kind. The other items:

* ``hello``: name and token of the process that sends it; first on each link, from
  both ends.
* ``call``: number, then the fields of :class:`CallMessage`.
* ``body``: number, bytes, whether they are the last.
* ``cancel``: number, whether a running call is to be broken off.
* ``answer``: number, status, head, length or -1, bytes, whether they are the last,
  load, level, service time in ms.
* ``part``: number, bytes, whether they are the last.
* ``broken``: number; the rest of an answer will not come.
* ``failed``: number, reason, load. The call may have run.
* ``not-run``: number, reason, ms until a slot is expected, load, level. The call
  did not run and never will.
* ``credit``: number, bytes that were passed on to the client.
* ``load``: load of the owner and its instance, sent when its upstream changes.
* ``attach``: numbers of the calls whose answers are still awaited on a new link.

The load is a list of the fields of :class:`~figpick.placing.Load`.
"""

from typing import NamedTuple

HELLO = "hello"
CALL = "call"
BODY_PART = "body"
CANCEL = "cancel"
RESPONSE = "answer"
RESPONSE_PART = "part"
RESPONSE_CUT_OFF = "broken"
FAILED = "failed"
NOT_RUN = "not-run"
CREDIT = "credit"
LOAD = "load"
ATTACH = "attach"

# Bodies larger than this are sent in parts.
PART_BYTES = 64 * 1024
# Bytes of an answer that may be on their way to a client that reads slowly.
RESPONSE_WINDOW_BYTES = 256 * 1024

REASON_TIMEOUT = "timeout"
REASON_QUEUE_TIMEOUT = "waited-too-long"
REASON_BROKEN_RESPONSE = "broken-answer"
REASON_LINK_LOST = "link-lost"
REASON_QUARANTINED = "quarantined"
REASON_LEAVING = "leaving"
REASON_WRONG_INSTANCE = "wrong-instance"
REASON_NO_CONNECTION = "no-connection"
REASON_MISDIRECTED = "misdirected"
REASON_UPSTREAM_FULL = "upstream-full"
# These reached the upstream, which refused them; sending again is a retry.
REASONS_AT_UPSTREAM = frozenset((REASON_UPSTREAM_FULL, REASON_MISDIRECTED))


class CallMessage(NamedTuple):
    """A call as it is handed to the owner.

    :param instance: instance that must run it.
    :param rank: the lowest number runs first.
    :param key: number in [0, 1) of the request at the entry.
    :param is_inner: whether a running request needs the answer.
    :param is_idempotent: whether it may run again.
    :param is_repeat: whether it, or the request that caused it, was sent before.
    :param remaining_ms: milliseconds that its caller still waits.
    :param target_ms: milliseconds in which its answer has its full worth.
    :param route: name of its route.
    :param caller: service beside which it started.
    :param request_id: id of the attempt of the client.
    :param is_head: whether its answer has no body.
    :param head: head of the request without the lines that the owner adds.
    :param body: first part of the body.
    :param is_complete: whether the body has no further parts.
    :param body_bytes: length of the whole body.
    """

    instance: str
    rank: int
    key: float
    is_inner: bool
    is_idempotent: bool
    is_repeat: bool
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

"""Plans calls from the request line and the headers."""

from hashlib import blake2b
from math import inf
from typing import NamedTuple

from ..base._errors import BodyTooLargeError, DeadlineError, MalformedRequestError
from ..registry._documents import Route, Service
from . import _context
from ._context import CallContext

KEY_HEADER = "Idempotency-Key"
DEADLINE_HEADER = "Figpick-Deadline-Ms"
ATTEMPT_HEADER = "Figpick-Attempt"
MAX_KEY_LENGTH = 256
MAX_LENGTH_DIGITS = 18


class CallPlan(NamedTuple):
    """The properties of a call that are determined before it is admitted.

    :param service: active document of the called service.
    :param route: matching route.
    :param method: HTTP method.
    :param target: path and query sent to the upstream.
    :param context: context of the execution that the call starts.
    :param parent: context that came with the call, ``None`` for a root request.
    :param key: idempotency key, empty when absent.
    :param attempt: number of the attempt as stated by an outside caller, from 1.
    :param deadline: deadline in monotonic seconds.
    :param is_retry: whether the call is a retry of a root request by its caller.
    """

    service: Service
    route: Route
    method: str
    target: str
    context: CallContext
    parent: CallContext | None
    key: str
    attempt: int
    deadline: float
    is_retry: bool = False


class ClockReading(NamedTuple):
    """Simultaneous readings of the monotonic clock and the wall clock.

    :param monotonic: monotonic seconds.
    :param wall: seconds since the epoch.
    """

    monotonic: float
    wall: float


def make_plan(
    service, start_line, headers, parent, root_node_address, now, latest_deadline=inf
):
    """Returns the plan of a call.

    :param service: :class:`~figpick.registry._documents.Service`.
    :param start_line: request line; the target starts with ``/``.
    :param headers: request headers.
    :param parent: verified :class:`CallContext`, or ``None``.
    :param root_node_address: peer address of this node.
    :param now: :class:`ClockReading`.
    :param latest_deadline: limit for the deadline, monotonic seconds.
    :return: :class:`CallPlan`.
    :raises CallError: when the request is malformed, its body is too large or its
        deadline has passed.
    """
    method, target = start_line.method, start_line.path
    route = service.match(method, target.partition("?")[0])
    _check_body_framing(service, headers)
    key = headers.get(KEY_HEADER, "")
    if len(key) > MAX_KEY_LENGTH:
        raise MalformedRequestError(f"{KEY_HEADER} is over {MAX_KEY_LENGTH} characters")
    remaining_s = _remaining_s(route, headers, parent, now)
    remaining_s = min(remaining_s, latest_deadline - now.monotonic)
    if remaining_s <= 0:
        raise DeadlineError("the deadline has passed")
    if parent is None:
        context = _root_context(route, key, root_node_address, remaining_s, now)
    else:
        context = _child_context(parent, route, remaining_s, now)
    return CallPlan(
        service=service,
        route=route,
        method=method,
        target=target,
        context=context,
        parent=parent,
        key=key,
        attempt=_parse_number(headers, ATTEMPT_HEADER, 1),
        deadline=now.monotonic + remaining_s,
    )


def fingerprint(plan, body):
    """Returns a fingerprint of a request; equal requests have the same one.

    :param plan: :class:`CallPlan`.
    :param body: first bytes of the body.
    :return: 16 hex digits.
    """
    digest = blake2b(digest_size=8)
    for part in (plan.service.name, plan.method, plan.target, plan.key):
        digest.update(part.encode())
        digest.update(b"\0")
    digest.update(body)
    return digest.hexdigest()


def _check_body_framing(service, headers):
    length = headers.get("Content-Length")
    transfer_coding = headers.get("Transfer-Encoding")
    if transfer_coding is not None:
        if length is not None:
            message = "Content-Length and Transfer-Encoding are both set"
            raise MalformedRequestError(message)
        if transfer_coding.lower() != "chunked":
            raise MalformedRequestError("Transfer-Encoding is not chunked")
    if length is None:
        return
    if not (length.isascii() and length.isdigit()) or len(length) > MAX_LENGTH_DIGITS:
        raise MalformedRequestError("Content-Length is not a number")
    if int(length) > service.limits.body_bytes:
        limit = service.limits.body_bytes
        raise BodyTooLargeError(f"the body is over {limit} bytes")


def _remaining_s(route, headers, parent, now):
    remaining_s = route.deadline_s
    if parent is not None:
        remaining_s = min(remaining_s, parent.deadline_ms / 1000 - now.wall)
    requested_ms = _parse_number(headers, DEADLINE_HEADER, None)
    if requested_ms is not None:
        remaining_s = min(remaining_s, requested_ms / 1000)
    return remaining_s


def _parse_number(headers, name, default):
    value = headers.get(name)
    if value is None:
        return default
    if not (value.isascii() and value.isdigit()) or len(value) > 9:
        raise MalformedRequestError(f"{name} is not a whole number")
    return int(value)


def _root_context(route, key, root_node_address, remaining_s, now):
    root_id = _context.new_id()
    return CallContext(
        root_id=root_id,
        execution_id=_context.new_id(),
        route_id=route.route_id,
        importance=route.importance,
        # A retry with the same key gets the same priority.
        hash_bucket=_context.hash_bucket(key or root_id),
        deadline_ms=int((now.wall + remaining_s) * 1000),
        depth=1,
        root_node_address=root_node_address,
    )


def _child_context(parent, route, remaining_s, now):
    if parent.depth >= _context.MAX_CALL_DEPTH:
        raise MalformedRequestError(f"the chain is over {_context.MAX_CALL_DEPTH} deep")
    return parent._replace(
        execution_id=_context.new_id(),
        route_id=route.route_id,
        deadline_ms=int((now.wall + remaining_s) * 1000),
        depth=parent.depth + 1,
    )


def is_service_name(host):
    """Returns whether a host value is a service name rather than an address."""
    return host not in ("", "localhost") and not host.replace(".", "").isdigit()


def split_target(start_line, headers):
    """Separates the path and the called host of a request.

    :return: tuple of the request line with a path as target, and the host in lower
        case without a port.
    :raises MalformedRequestError: when the target is not a path or URL.
    """
    target = start_line.path
    host = headers.get("Host", "")
    if not target.startswith("/"):
        scheme, separator, rest = target.partition("://")
        if not separator or scheme.lower() != "http":
            raise MalformedRequestError("the target is neither a path nor an http URL")
        host, _, path = rest.partition("/")
        start_line = start_line._replace(path="/" + path)
    return start_line, host.partition(":")[0].lower()

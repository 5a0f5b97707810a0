"""Header names, and rendering of the heads of forwarded requests and responses."""

import re
from http import HTTPStatus
from typing import NamedTuple

import msgspec

from ..base._errors import InvalidHeadError

REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}
# Headers that apply to a single connection (RFC 9110, section 7.6.1).
HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)


class HeaderNames(NamedTuple):
    """Lower-case names of the headers that figpick reads and sets.

    :param request_id: id of one attempt of a client.
    :param deadline_ms: remaining time that the sender waits, in milliseconds.
    :param stamp: signature of an upstream for its response.
    :param instance: instance that the request is addressed to.
    :param responding_instance: instance that sent the response.
    :param not_run: set on a response when the upstream did not run the request.
    :param caller: service on whose host the request started.
    :param rate_limit: requests per second that the responding upstream takes.
    :param leaving: set to ``1`` on the responses of an upstream that is leaving.
    """

    request_id: bytes = b"figpick-request-id"
    deadline_ms: bytes = b"figpick-deadline-ms"
    stamp: bytes = b"figpick-stamp"
    instance: bytes = b"figpick-instance"
    responding_instance: bytes = b"figpick-answering-instance"
    not_run: bytes = b"figpick-not-run"
    caller: bytes = b"figpick-caller"
    rate_limit: bytes = b"figpick-rate-limit"
    leaving: bytes = b"figpick-leaving"


DEFAULT_HEADERS = HeaderNames()

# RFC 9110, section 5.5: other control characters than a tab are not allowed.
FORBIDDEN_IN_VALUE = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")


def is_field_value(value):
    """Returns whether bytes can be the value of a header without ending its line."""
    return FORBIDDEN_IN_VALUE.search(value) is None


def is_head(head):
    """Returns whether bytes are the lines of one head, without the empty last line.

    A line end inside a line, or an empty line, would let the rest pass for another
    message.
    """
    lines = head.count(b"\r\n")
    return (
        lines == head.count(b"\n") == head.count(b"\r")
        and head.endswith(b"\r\n")
        and not head.startswith(b"\r\n")
        and b"\r\n\r\n" not in head
        and b"\0" not in head
    )


def render_field(name, value):
    """Returns the line of a header.

    :raises InvalidHeadError: if the value would begin another line.
    """
    if not is_field_value(value):
        raise InvalidHeadError(f"value of {name!r} is not valid: {value!r:.80}")
    return b"%b: %b\r\n" % (name, value)


def render_request(method, target, headers, own_headers):
    """Returns the head of a request without the header lines that the owner adds.

    :param headers: list of name and value pairs as the client sent them.
    :param own_headers: lower-case names of the headers that figpick sets itself;
        those of the client are left out.
    """
    lines = [b"%b %b HTTP/1.1\r\n" % (method, target)]
    for name, value in headers:
        lower_name = name.lower()
        if lower_name not in HOP_BY_HOP_HEADERS and lower_name not in own_headers:
            lines.append(b"%b: %b\r\n" % (name, value))
    return b"".join(lines)


def render_response(status, headers):
    """Returns the head of an upstream's response without its framing headers."""
    reason = REASON_PHRASES.get(status, b"Unknown")
    lines = [b"HTTP/1.1 %d %b\r\n" % (status, reason)]
    for name, value in headers:
        if name.lower() not in HOP_BY_HOP_HEADERS:
            lines.append(b"%b: %b\r\n" % (name, value))
    return b"".join(lines)


def render_error_response(status, text, extra=b""):
    """Returns the head and body of an error response that figpick itself sends.

    :param text: error message for the caller.
    :param extra: additional header lines.
    :return: tuple of the head without framing headers, and the body.
    """
    body = msgspec.json.encode({"error": text})
    head = b"HTTP/1.1 %d %b\r\nContent-Type: application/json\r\n%b"
    return head % (status, REASON_PHRASES.get(status, b"Unknown"), extra), body

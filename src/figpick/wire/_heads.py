"""Names of headers, and the heads of forwarded requests and answers as bytes."""

from http import HTTPStatus
from typing import NamedTuple

REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}
# RFC 9110, section 7.6.1: these concern one connection only.
HOP_HEADERS = frozenset(
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
    """Names of the headers that carry what figpick needs, in lower case.

    :param request_id: id of one attempt of a client.
    :param deadline_ms: milliseconds that the sender still waits.
    :param stamp: signature of an upstream on its answer.
    :param instance: instance that the request is meant for.
    :param responding_instance: instance that answers.
    :param not_run: on an answer: the upstream did not run the request.
    :param caller: service beside which the request started.
    """

    request_id: bytes = b"figpick-request-id"
    deadline_ms: bytes = b"figpick-deadline-ms"
    stamp: bytes = b"figpick-stamp"
    instance: bytes = b"figpick-instance"
    responding_instance: bytes = b"figpick-answering-instance"
    not_run: bytes = b"figpick-not-run"
    caller: bytes = b"figpick-caller"


DEFAULT_HEADERS = HeaderNames()


def render_request(method, target, headers, own_headers):
    """Gives the head of a request without the lines that the owner adds.

    :param headers: list of name and value pairs as the client sent them.
    :param own_headers: lower-case names that the system sets itself.
    """
    lines = [b"%b %b HTTP/1.1\r\n" % (method, target)]
    for name, value in headers:
        lower = name.lower()
        if lower not in HOP_HEADERS and lower not in own_headers:
            lines.append(b"%b: %b\r\n" % (name, value))
    return b"".join(lines)


def render_response(status, headers):
    """Gives the head of an upstream's answer without its framing."""
    reason = REASONS.get(status, b"Unknown")
    lines = [b"HTTP/1.1 %d %b\r\n" % (status, reason)]
    for name, value in headers:
        if name.lower() not in HOP_HEADERS:
            lines.append(b"%b: %b\r\n" % (name, value))
    return b"".join(lines)


def render_error_response(status, text, extra=b""):
    """Gives the head and body of an answer of figpick itself.

    :param text: sentence for the caller.
    :param extra: further header lines.
    :return: tuple of head without framing, and body.
    """
    body = b'{"error":"%b"}' % text.encode()
    head = b"HTTP/1.1 %d %b\r\nContent-Type: application/json\r\n%b"
    return head % (status, REASONS.get(status, b"Unknown"), extra), body

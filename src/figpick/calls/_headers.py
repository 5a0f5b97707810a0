"""HTTP headers of requests and responses that a node forwards."""

from tornado.httputil import HTTPHeaders

from ..base._errors import HeadTooLargeError

MAX_HEAD_BYTES = 32 * 1024
HOP_BY_HOP_HEADERS = frozenset(
    (
        "Connection",
        "Expect",
        "Keep-Alive",
        "Proxy-Authenticate",
        "Proxy-Authorization",
        "Proxy-Connection",
        "Te",
        "Trailer",
        "Transfer-Encoding",
        "Upgrade",
    )
)
FIGPICK_PREFIX = "Figpick-"


def end_to_end_headers(headers):
    """Returns a copy of the end-to-end headers.

    :param headers: headers from a caller or an upstream.
    :return: ``HTTPHeaders`` without hop-by-hop headers and without ``Figpick-*``.
    :raises HeadTooLargeError: when the headers exceed 32 KiB.
    """
    copied = HTTPHeaders()
    connection = headers.get("Connection")
    dropped = _parse_connection_options(connection) if connection else ()
    size = 0
    for name, value in headers.get_all():
        size += len(name) + len(value) + 4
        if (
            name in HOP_BY_HOP_HEADERS
            or name.startswith(FIGPICK_PREFIX)
            or name in dropped
        ):
            continue
        if name in copied:
            copied.add(name, value)
        else:
            # The parser has validated the name and value; add() would do so again.
            copied[name] = value
    if size > MAX_HEAD_BYTES:
        raise HeadTooLargeError(f"the headers are over {MAX_HEAD_BYTES} bytes")
    return copied


def closes_connection(start_line, headers):
    """Returns whether the headers of a response announce that its connection closes."""
    connection = headers.get("Connection", "").lower()
    if start_line.version == "HTTP/1.0":
        return "keep-alive" not in connection
    return "close" in connection


def content_length(headers):
    """Returns ``Content-Length`` in bytes, or ``None`` if it is absent or not valid."""
    value = headers.get("Content-Length")
    if value is None or not (value.isascii() and value.isdigit()):
        return None
    return int(value)


def _parse_connection_options(value):
    # Content-Length, Content-Type and Host are kept even when Connection names them:
    # without its length or type, a body would arrive damaged.
    names = {name.strip().title() for name in value.split(",")}
    return names - {"Content-Length", "Content-Type", "Host"}

"""Headers that travel between callers and upstreams."""

from tornado.httputil import HTTPHeaders

from ..base._errors import HeadTooLargeError

MAX_HEAD_BYTES = 32 * 1024
HOP_HEADERS = frozenset(
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
OWN_PREFIX = "Figpick-"


def forwarded_headers(headers):
    """Copies the headers that travel end to end.

    :param headers: headers from a caller or an upstream.
    :return: ``HTTPHeaders`` without hop headers and without ``Figpick-*``.
    :raises HeadTooLargeError: when the headers exceed 32 KiB.
    """
    copied = HTTPHeaders()
    named = headers.get("Connection")
    dropped = _named_headers(named) if named else ()
    size = 0
    for name, value in headers.get_all():
        size += len(name) + len(value) + 4
        if name in HOP_HEADERS or name.startswith(OWN_PREFIX) or name in dropped:
            continue
        if name in copied:
            copied.add(name, value)
        else:
            # Parsing has checked the name and value; add() would check them again.
            copied[name] = value
    if size > MAX_HEAD_BYTES:
        raise HeadTooLargeError(f"the headers are over {MAX_HEAD_BYTES} bytes")
    return copied


def closes(start_line, headers):
    """Whether an answer announces that its connection closes after it."""
    connection = headers.get("Connection", "").lower()
    if start_line.version == "HTTP/1.0":
        return "keep-alive" not in connection
    return "close" in connection


def content_length(headers):
    """Gives the announced length of a body in bytes, ``None`` without a valid one."""
    value = headers.get("Content-Length")
    if value is None or not (value.isascii() and value.isdigit()):
        return None
    return int(value)


def _named_headers(value):
    # A body without its length or type would reach the other side damaged.
    names = {name.strip().title() for name in value.split(",")}
    return names - {"Content-Length", "Content-Type", "Host"}

"""HTTP/1.1 parsing, header filtering and rendering for forwarded calls."""

from ._headers import (
    DEFAULT_HEADERS,
    HeaderNames,
    is_field_value,
    is_head,
    render_error_response,
    render_field,
    render_request,
    render_response,
)
from ._notices import UpstreamNotice, read_notice
from ._requests import ClientRequest, RequestReader
from ._responses import BrokenResponseError, ResponseReader

__all__ = [
    "DEFAULT_HEADERS",
    "ResponseReader",
    "BrokenResponseError",
    "ClientRequest",
    "HeaderNames",
    "RequestReader",
    "UpstreamNotice",
    "is_field_value",
    "is_head",
    "read_notice",
    "render_field",
    "render_response",
    "render_request",
    "render_error_response",
]

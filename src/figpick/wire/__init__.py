"""HTTP on the way of a call: parsing, header filtering and rendering."""

from ._answers import BrokenResponseError, ResponseReader
from ._heads import (
    DEFAULT_HEADERS,
    HeaderNames,
    render_error_response,
    render_request,
    render_response,
)
from ._requests import ClientRequest, RequestReader

__all__ = [
    "DEFAULT_HEADERS",
    "ResponseReader",
    "BrokenResponseError",
    "ClientRequest",
    "HeaderNames",
    "RequestReader",
    "render_response",
    "render_request",
    "render_error_response",
]

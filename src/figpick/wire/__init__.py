"""HTTP on the way of a call: parsing, header filtering and rendering."""

from ._answers import AnswerReader, BrokenAnswerError
from ._heads import (
    DEFAULT_HEADERS,
    HeaderNames,
    render_answer,
    render_request,
    render_simple,
)
from ._requests import ClientRequest, RequestReader

__all__ = [
    "DEFAULT_HEADERS",
    "AnswerReader",
    "BrokenAnswerError",
    "ClientRequest",
    "HeaderNames",
    "RequestReader",
    "render_answer",
    "render_request",
    "render_simple",
]

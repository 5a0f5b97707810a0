"""Writes the answers of stand-ins."""

from tornado.httputil import ResponseStartLine, responses
from tornado.iostream import StreamClosedError


def write_answer(request, status, headers, body):
    """Sends a whole answer; a caller that has gone is ignored.

    :param request: ``HTTPServerRequest`` to answer.
    :param headers: ``HTTPHeaders``; the length is added.
    """
    headers["Content-Length"] = str(len(body))
    line = ResponseStartLine("HTTP/1.1", status, responses[status])
    try:
        request.connection.write_headers(line, headers, body)
        request.connection.finish()
    except StreamClosedError:
        pass

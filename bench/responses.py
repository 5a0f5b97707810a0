"""Writes the responses of stand-ins and forwarders."""

from tornado.httputil import ResponseStartLine, responses
from tornado.iostream import StreamClosedError


def write_response(request, status, headers, body):
    """Sends a complete response, unless the caller has disconnected.

    :param request: ``HTTPServerRequest`` to respond to.
    :param headers: ``HTTPHeaders``; ``Content-Length`` is added.
    """
    headers["Content-Length"] = str(len(body))
    line = ResponseStartLine("HTTP/1.1", status, responses[status])
    try:
        request.connection.write_headers(line, headers, body)
        request.connection.finish()
    except StreamClosedError:
        pass

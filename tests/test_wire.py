"""Parsing of client requests and upstream responses that arrive in pieces."""

import pytest

from figpick.wire import (
    DEFAULT_HEADERS,
    BrokenResponseError,
    RequestReader,
    ResponseReader,
    render_request,
)

ID = DEFAULT_HEADERS.request_id


def read_requests(data, piece_bytes=None, header_bytes=1000, body_bytes=100):
    requests = []
    reader = RequestReader(requests.append, lambda: header_bytes, lambda: body_bytes)
    step = piece_bytes or len(data)
    for start in range(0, len(data), step):
        reader.feed(data[start : start + step], now=1.0)
    return requests


@pytest.mark.parametrize("piece_bytes", [None, 1, 7])
def test_pipelined_requests_are_read_in_order(piece_bytes):
    data = (
        b"GET /a/1 HTTP/1.1\r\nHost: h\r\n\r\n"
        b"POST /b/2 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
        b"POST /c/3 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"2\r\nde\r\n1\r\nf\r\n0\r\n\r\n"
    )
    requests = read_requests(data, piece_bytes)
    assert [request.target for request in requests] == [b"/a/1", b"/b/2", b"/c/3"]
    assert [b"".join(request.body) for request in requests] == [b"", b"abc", b"def"]
    assert not any(request.error_status for request in requests)


@pytest.mark.parametrize(
    "head",
    [
        b"Content-Length: 3\r\nContent-Length: 4\r\n",
        b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        b"Transfer-Encoding: chunked, identity\r\n",
        b"Content-Length: +3\r\n",
        b"Content-Length : 3\r\n",
        b"X: a\nContent-Length: 3\r\n",
    ],
)
def test_ambiguous_length_is_rejected(head):
    """Guards against request smuggling: a request hidden in the body of another."""
    data = (
        b"POST /a/ HTTP/1.1\r\nHost: h\r\n" + head + b"\r\nabcGET /b/ HTTP/1.1\r\n\r\n"
    )
    requests = read_requests(data)
    assert [request.error_status for request in requests] == [400]


def test_invalid_chunk_size_is_rejected():
    data = (
        b"POST /a/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"zz\r\nabc\r\n"
    )
    assert [request.error_status for request in read_requests(data)] == [400]


def test_too_long_head_and_body_are_rejected():
    head = b"GET /a/ HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 2000 + b"\r\n\r\n"
    assert [request.error_status for request in read_requests(head)] == [431]
    body = b"POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 200\r\n\r\n" + b"x" * 200
    assert [request.error_status for request in read_requests(body)] == [413]


def test_hop_by_hop_headers_are_not_forwarded():
    headers = [(b"Host", b"h"), (b"Connection", b"close"), (b"X-A", b"1")]
    head = render_request(b"GET", b"/a/?q=1", headers, frozenset((b"x-b",)))
    assert head == b"GET /a/?q=1 HTTP/1.1\r\nHost: h\r\nX-A: 1\r\n"


def make_reader(request_id=b"r1", is_head=False):
    return ResponseReader(request_id, DEFAULT_HEADERS, is_head)


def response(body, request_id=b"r1", extra=b""):
    head = b"HTTP/1.1 200 OK\r\n%b: %b\r\nContent-Length: %d\r\n%b\r\n"
    return head % (ID, request_id, len(body), extra) + body


@pytest.mark.parametrize("piece_bytes", [1, 5, 1000])
def test_response_is_complete_with_its_last_byte(piece_bytes):
    reader = make_reader()
    data = response(b"whole body")
    for start in range(0, len(data), piece_bytes):
        assert not reader.is_complete
        reader.feed(data[start : start + piece_bytes])
    assert reader.is_complete
    assert reader.keeps_alive
    assert reader.take_chunks() == b"whole body"


def test_late_response_to_an_earlier_request_is_skipped():
    """Guards against a caller that receives the response to another request."""
    reader = make_reader(b"r2")
    reader.feed(response(b"old", b"r1") + response(b"new", b"r2"))
    assert reader.is_complete
    assert reader.take_chunks() == b"new"
    assert not reader.keeps_alive


def test_second_response_makes_the_connection_unusable():
    reader = make_reader()
    reader.feed(response(b"one") + response(b"two"))
    assert reader.is_complete
    assert reader.take_chunks() == b"one"
    assert not reader.keeps_alive


def test_bytes_that_are_not_a_response_raise_an_error():
    with pytest.raises(BrokenResponseError):
        make_reader().feed(b"\x00\x01garbage\r\n\r\n")


def test_response_without_length_ends_with_its_connection():
    reader = make_reader()
    reader.feed(b"HTTP/1.1 200 OK\r\n%b: r1\r\n\r\npart" % ID)
    assert not reader.is_complete
    assert reader.feed_eof()


def test_truncated_response_is_not_complete():
    """Guards against a truncated body that is treated as complete."""
    reader = make_reader()
    reader.feed(response(b"whole body")[:-3])
    assert not reader.feed_eof()
    chunked = make_reader()
    chunked.feed(
        b"HTTP/1.1 200 OK\r\n%b: r1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nab" % ID
    )
    assert not chunked.feed_eof()


def test_interim_response_is_not_the_final_response():
    reader = make_reader()
    reader.feed(b"HTTP/1.1 100 Continue\r\n\r\n" + response(b"x"))
    assert reader.status == 200
    assert reader.is_complete


def test_response_to_head_has_no_body():
    reader = make_reader(is_head=True)
    reader.feed(b"HTTP/1.1 200 OK\r\n%b: r1\r\nContent-Length: 10\r\n\r\n" % ID)
    assert reader.is_complete


def test_request_that_offers_an_upgrade_is_read_as_an_ordinary_one():
    """Guards against a second response to a client that offers another protocol."""
    data = (
        b"GET /a/1 HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n"
        b"POST /b/2 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
    )
    for piece_bytes in (None, 1, 7):
        requests = read_requests(data, piece_bytes)
        assert [request.target for request in requests] == [b"/a/1", b"/b/2"]
        assert not any(request.error_status for request in requests)


@pytest.mark.parametrize(
    "framing", [b"Content-Length: 24\r\n", b"Transfer-Encoding: chunked\r\n"]
)
def test_body_behind_an_offered_upgrade_is_not_read_as_a_request(framing):
    """Guards against request smuggling, and against running a request without its body.

    The parser takes such a body for the other protocol.
    """
    data = (
        b"POST /a/1 HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n"
        + framing
        + b"\r\nGET /b/ HTTP/1.1\r\nA: b\r\n\r\n"
    )
    for piece_bytes in (None, 1):
        requests = read_requests(data, piece_bytes)
        assert [request.error_status for request in requests] == [400]


def test_error_of_the_request_handler_is_raised():
    """Guards against an error that is taken for a malformed request."""

    def fail(request):
        raise KeyError(request.target)

    reader = RequestReader(fail, lambda: 1000, lambda: 100)
    with pytest.raises(KeyError, match="/a/1"):
        reader.feed(b"GET /a/1 HTTP/1.1\r\nHost: h\r\n\r\n", now=1.0)


def test_trailer_of_a_response_does_not_pass_for_a_header():
    """Guards against a trailer that says that a request which ran has not run."""
    reader = make_reader()
    reader.feed(
        b"HTTP/1.1 200 OK\r\n%b: r1\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"2\r\nab\r\n0\r\n%b: 1\r\n\r\n" % (ID, DEFAULT_HEADERS.not_run)
    )
    assert reader.is_complete
    assert reader.take_chunks() == b"ab"
    assert reader.header(DEFAULT_HEADERS.not_run) is None


def test_trailer_of_a_request_does_not_pass_for_a_header():
    """Guards against a deadline or an instance that a client hides in a trailer."""
    (request,) = read_requests(
        b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"2\r\nab\r\n0\r\n%b: 99\r\n\r\n" % DEFAULT_HEADERS.deadline_ms
    )
    assert request.is_complete
    assert request.header(DEFAULT_HEADERS.deadline_ms) is None

"""Texts from outside that become a part of a request, a response or a record."""

import sys
from pathlib import Path
from urllib.parse import quote

import msgspec
import pytest

sys.path.append(str(Path(__file__).parents[1] / "platform"))

from adapter import handlers, settings  # noqa: E402
from figpick.base._errors import InvalidHeadError  # noqa: E402
from figpick.base._settings import Address, Name  # noqa: E402
from figpick.directory import (  # noqa: E402
    Announcer,
    Directory,
    HostRecord,
    Identity,
    Incarnation,
    UpstreamReport,
    UpstreamView,
    is_key,
    parse_incarnation,
)
from figpick.exceptions import InvalidIdentityError, PeerError  # noqa: E402
from figpick.nodes._messages import (  # noqa: E402
    CALL,
    NOT_RUN,
    REASON_INVALID_HEAD,
    RESPONSE,
    CallMessage,
)
from figpick.wire import (  # noqa: E402
    DEFAULT_HEADERS,
    BrokenResponseError,
    ResponseReader,
    is_head,
    render_field,
)
from figpick.wire._headers import render_error_response  # noqa: E402

from .fleet import Client, Fleet, async_test, wait_until  # noqa: E402
from .test_endless_platform_calls import put, serve  # noqa: E402
from .test_platform_adapter import HEARTBEAT  # noqa: E402

SMUGGLED = "\r\nContent-Length: 0\r\n\r\nPOST /parts/1 HTTP/1.1\r\nHost: h\r\nX: "
BAD_IDENTITIES = [
    "",
    "i-1" + SMUGGLED,
    "i-1\n",
    "\ri-1",
    "i\x001",
    "i\t1",
    "i\x7f1",
    "i\x851",
    "i\u20281",
    " i-1",
    "i-1 ",
    "x" * 1025,
    "é" * 600,
]
UNUSUAL_IDENTITIES = [
    "1",
    "i-7f3a91c2.~_!$&'()*+,;=:@",
    "a/b",
    "a%0d%0ab",
    "my server",
    "my server 12",
    "my server -",
    "größe-7",
    "x" * 1024,
]


@pytest.mark.parametrize("value", [*BAD_IDENTITIES, None, 7, b"i-1"])
def test_identity_that_could_end_its_line_is_refused(value):
    """Guards against a request that is smuggled behind an identity."""
    with pytest.raises(InvalidIdentityError):
        Identity(value)


@pytest.mark.parametrize("started_ms", [None, 0, 1700000000000])
@pytest.mark.parametrize("value", UNUSUAL_IDENTITIES)
def test_key_of_an_incarnation_is_unambiguous(value, started_ms):
    """Guards against an identity that passes for another one with a start time."""
    incarnation = Incarnation(Identity(value), started_ms)
    assert parse_incarnation(incarnation.key) == incarnation


def test_keys_of_earlier_releases_are_read():
    assert parse_incarnation("i-1") == ("i-1", None)
    assert parse_incarnation("i-1 1000") == ("i-1", 1000)
    assert not is_key("i-1\r\n 1000")
    assert not is_key(None)
    assert not is_key([])


def test_end_of_an_identity_with_a_blank_is_that_of_its_start():
    """Guards against a leaving upstream whose key is not found again."""
    view = UpstreamView()
    address = ("127.0.0.1", 80)
    report = UpstreamReport("my server", 1000, 1, "s", address, 5, False, 0.0)
    view.handle_report(report, 0.0)
    view.mark_draining("my server -")
    assert view.state == "draining"


@pytest.mark.parametrize("method", [b"PUT", b"DELETE"])
@pytest.mark.parametrize("value", [*BAD_IDENTITIES[1:], b"i-\xff"])
@async_test
async def test_report_with_an_invalid_identity_is_refused(value, method):
    """Guards against an identity whose percent-encoding hides line ends."""
    async with serve(handlers.NODE_CONTROL_HANDLERS) as endpoint:
        path = f"/instances/{quote(value, safe='')}".encode()
        body = msgspec.json.encode(HEARTBEAT) if method == b"PUT" else b""
        assert await put(endpoint.address, path, body, method) == 400
        assert not endpoint.process.reports
        assert endpoint.process.refused == ["fields"]


@pytest.mark.parametrize("value", UNUSUAL_IDENTITIES)
@async_test
async def test_report_with_an_unusual_identity_is_taken(value):
    """Guards against a sound server that is refused for its identity."""
    async with serve(handlers.NODE_CONTROL_HANDLERS) as endpoint:
        path = f"/instances/{quote(value, safe='')}".encode()
        body = msgspec.json.encode(HEARTBEAT)
        assert await put(endpoint.address, path, body) == 200
        assert endpoint.process.reports[0].instance == value
        assert await put(endpoint.address, path, b"", b"DELETE") == 200


@async_test
async def test_unusual_identity_is_sent_to_its_server(tmp_path):
    """Guards against an identity that does not reach its server as it was reported."""
    async with Fleet(tmp_path, ("entries", "parts")) as fleet:
        entry, host = fleet.hosts
        seen = []

        async def handle(connection, request):
            seen.append(request.header(DEFAULT_HEADERS.instance))
            await host.upstream.echo(connection, request)

        host.upstream.handler = handle
        for value in ("my server 12", "größe-7"):
            host.upstream.instance, host.upstream.sequence = value, 0
            await host.node.accept_report(host.upstream.report())
            await wait_until(
                lambda value=value: any(
                    peer.instance.startswith(value)
                    for peer in entry.node._peers.for_service("parts")
                )
            )
            async with Client(entry.settings.call_address) as client:
                assert (await client.call(b"/parts/1", b"a1"))[0] == 200
            assert seen[-1] == value.encode()


def test_head_is_one_message():
    """Guards against a head that passes for more than one message."""
    head = b"GET / HTTP/1.1\r\nA: 1\r\n"
    assert is_head(head)
    for other in (
        b"",
        b"\r\n",
        head[:-2],
        head[:-1],
        head + b"\r\n",
        head + b"\r\nGET / HTTP/1.1\r\n",
        head + b"B: 1\nC: 2\r\n",
        head + b"B: 1\rC: 2\r\n",
        head + b"B: \x00\r\n",
    ):
        assert not is_head(other)


@pytest.mark.parametrize("value", [b"a\r\nb", b"a\nb", b"a\rb", b"a\0b", b"a\x7f"])
def test_field_with_a_line_end_is_not_rendered(value):
    with pytest.raises(InvalidHeadError):
        render_field(b"expect-instance", value)


def test_error_response_is_json_whatever_its_text_says():
    head, body = render_error_response(503, 'service "a\r\n" is not known')
    assert is_head(head)
    assert msgspec.json.decode(body)["error"] == 'service "a\r\n" is not known'


def call_message(instance, **fields):
    """Returns a call as a node of an earlier release may send it."""
    head = b"GET /parts/1 HTTP/1.1\r\nfigpick-request-id: a1\r\n"
    call = CallMessage(
        instance=instance,
        rank=1,
        key=0.5,
        is_nested=False,
        is_idempotent=True,
        is_retry=False,
        remaining_ms=2000,
        target_ms=1000,
        route="parts-get",
        caller="entries",
        request_id=b"a1",
        is_head=False,
        head=head,
        body=b"",
        is_complete=True,
        body_bytes=0,
    )
    return call._replace(**fields)


class RecordingLink:
    """A link that records what is sent on it."""

    peer = ("node-old", 1)
    is_open = True
    is_congested = False

    def __init__(self):
        self.sent = []

    def send(self, message):
        self.sent.append(message)


@pytest.mark.parametrize(
    "fields",
    [
        {"caller": "entries" + SMUGGLED},
        {"head": b"GET /parts/1 HTTP/1.1\r\nA: 1\r\n\r\nPOST / HTTP/1.1\r\n"},
        {"head": b"GET /parts/1 HTTP/1.1\nA: 1\r\n"},
    ],
)
@async_test
async def test_call_of_an_earlier_release_is_checked(tmp_path, fields):
    """Guards against a request that another node smuggles to the upstream."""
    async with Fleet(tmp_path, ("entries", "parts")) as fleet:
        host = fleet.hosts[1]
        link = RecordingLink()
        sound = call_message(host.upstream.instance)
        host.node._receive_call(link, [CALL, 1, *sound._replace(**fields)])
        assert [message[:3] for message in link.sent] == [
            (NOT_RUN, 1, REASON_INVALID_HEAD)
        ]
        host.node._receive_call(link, [CALL, 2, *sound])
        await wait_until(lambda: len(link.sent) == 2)
        assert link.sent[1][:3] == (RESPONSE, 2, 200)
        assert host.upstream.runs == ["a1"]


@async_test
async def test_response_of_an_earlier_release_is_checked(tmp_path):
    """Guards against a response that another node smuggles to a client."""
    async with Fleet(tmp_path, ("entries", "parts")) as fleet:
        entry, host = fleet.hosts
        respond = host.node.owner._finish

        def finish(execution, message=None, is_success=False):
            if message is not None and message[0] == RESPONSE:
                head = message[3] + b"\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
                message = (*message[:3], head, *message[4:])
            respond(execution, message, is_success)

        host.node.owner._finish = finish
        async with Client(entry.settings.call_address) as client:
            status, _, body = await client.call(b"/parts/once/1", b"a1", method=b"POST")
            assert status == 502
            assert b"error" in body
            host.node.owner._finish = respond
            assert (await client.call(b"/parts/1", b"a2"))[0] == 200


RECORD = HostRecord("n", 1, 1, 7, "node", "10.0.0.1", 80, "dc", "parts", "i-1", 5)


@pytest.mark.parametrize(
    "fields",
    [
        {"instance": "i-1" + SMUGGLED},
        {"instance": 7},
        {"ip": "example.org"},
        {"port": "80"},
        {"version": "1"},
        {"slots": None},
    ],
)
def test_invalid_record_is_refused_and_the_others_hold(fields):
    """Guards against an identity that comes back by way of another process."""
    own = RECORD._replace(name="own")
    announcer = Announcer(own, Directory())
    bad = list(RECORD._replace(**fields))
    with pytest.raises(PeerError):
        announcer.handle_record(bad)
    sound = RECORD._replace(name="n2")
    assert announcer.handle_records([bad, list(sound)]) == [sound]


@async_test
async def test_stored_departure_with_line_ends_is_passed_over(tmp_path):
    """Guards against data of an earlier release that is refused as a whole."""
    async with Fleet(tmp_path, ("entries", "parts")) as fleet:
        host = fleet.hosts[1]
        host.node.on_departures(["i-0" + SMUGGLED, "i-0 1000", host.upstream.instance])
        assert host.node.owner.view.state == "draining"


@async_test
async def test_load_report_with_line_ends_gets_no_calls(tmp_path):
    """Guards against calls for an identity that an earlier release has accepted."""
    async with Fleet(tmp_path, ("entries", "parts")) as fleet:
        entry = fleet.hosts[0]
        (peer,) = entry.node._peers.for_service("parts")
        await wait_until(lambda: peer.accepts_calls)
        entry.node._peers.handle_load(peer, list(peer.target.load), "i-1" + SMUGGLED)
        assert "\r" not in peer.instance
        assert not peer.accepts_calls


@async_test
async def test_health_path_with_line_ends_is_not_sent(tmp_path):
    """Guards against a configuration that smuggles a request to a server."""
    async with Fleet(tmp_path, ("entries", "parts")) as fleet:
        host = fleet.hosts[1]
        response = await host.node.owner.ask_identity("i-x", "/health" + SMUGGLED)
        assert response.confirms("i-x") is None
        assert not host.upstream.health_checks


def test_service_with_a_line_end_is_refused():
    """Guards against settings whose service ends the line of a header."""
    for service in ("s1\r\nX: y", 7, None):
        own = {"service": service, "appAddr": "10.0.0.1:80"}
        with pytest.raises(ValueError, match="service"):
            settings.upstream({"self": own})


@pytest.mark.parametrize("value", [b"a\rb", b"a\nb", b"a\0b", b"a\r\n b", b"a\x7fb"])
@pytest.mark.parametrize("end", [b"\r\n", b"\n"])
def test_response_header_with_a_line_end_is_refused(value, end):
    """Guards against a response that an upstream smuggles to a client."""
    reader = ResponseReader(None, DEFAULT_HEADERS)
    head = b"HTTP/1.1 200 OK\r\nX: %b%bContent-Length: 0\r\n\r\n" % (value, end)
    with pytest.raises(BrokenResponseError):
        reader.feed(head)


@pytest.mark.parametrize("value", ["parts\n", "parts\r\nX: y", "parts\r", " parts"])
def test_name_of_a_service_document_has_no_line_end(value):
    """Guards against a pattern that passes over a line end behind the name."""
    with pytest.raises(msgspec.ValidationError):
        msgspec.convert(value, Name)
    with pytest.raises(msgspec.ValidationError):
        msgspec.convert(f"10.0.0.1:80{value[5:] or chr(10)}", Address)


def test_identity_keeps_its_value():
    identity = Identity("i-1")
    assert identity == "i-1"
    assert Identity(identity) is identity

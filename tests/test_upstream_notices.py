"""What a node keeps of the notices in the responses of its upstream."""

from types import SimpleNamespace

import pytest

from figpick.nodes._known_notices import MAX_INSTANCES, KnownNotices
from figpick.nodes._upstream_notices import UpstreamNotices
from figpick.wire import DEFAULT_HEADERS

from .fleet import Client, Fleet, async_test
from .limited_upstreams import StatingUpstream
from .test_explaining import LogCapture


def make_notices():
    notices = UpstreamNotices(DEFAULT_HEADERS)
    notices.use_instance("i-1")
    return notices


def respond(notices, limit, sent_at, now, instance="i-1"):
    headers = [] if limit is None else [(b"figpick-rate-limit", limit)]
    notices.observe(SimpleNamespace(headers=headers), instance, sent_at, now)


def test_response_to_an_earlier_request_does_not_end_a_limit():
    """Guards against a limit that is lost as responses overtake each other."""
    notices = make_notices()
    respond(notices, b"10", 1.0, 2.0)
    respond(notices, None, 1.5, 2.1)
    assert notices.rate_limit == 10.0
    respond(notices, b"30", 1.9, 2.2)
    assert notices.rate_limit == 10.0
    respond(notices, b"5", 1.9, 2.3)
    assert notices.rate_limit == 5.0
    respond(notices, b"30", 2.4, 2.5)
    assert notices.rate_limit == 30.0
    respond(notices, None, 2.6, 2.7)
    assert notices.rate_limit is None


def test_limit_survives_a_late_report_of_another_instance():
    """Guards against a limit that is forgotten while another instance seems current."""
    notices = make_notices()
    respond(notices, b"10", 1.0, 2.0)
    notices.use_instance("i-0")
    assert notices.rate_limit is None
    notices.use_instance("i-1")
    assert notices.rate_limit == 10.0


def test_limit_of_another_node_holds_until_the_upstream_responds():
    """Guards against a limit that never ends, as the upstream no longer names it."""
    notices = make_notices()
    notices.adopt_limit("i-1", 10.0, 1.0)
    notices.adopt_limit("i-1", 20.0, 1.0)
    assert notices.rate_limit == 10.0
    respond(notices, None, 1.1, 1.2)
    assert notices.rate_limit is None
    notices.adopt_limit("i-1", 10.0, 1.3)
    assert notices.rate_limit is None


def test_value_that_is_not_a_number_changes_nothing():
    """Guards against a limit that a faulty value ends."""
    notices = make_notices()
    respond(notices, b"10", 1.0, 2.0)
    respond(notices, b"ten", 3.0, 4.0)
    assert notices.rate_limit == 10.0


def test_known_notices_are_bounded():
    """Guards against memory that grows with each instance ever seen."""
    known = KnownNotices()
    for number in range(100):
        known.set_rate_limit("node-1", f"i-{number}", 10.0)
    assert len(known.of_host("node-1")) == MAX_INSTANCES
    known.set_rate_limit("node-1", "i-99", 0.0)
    assert "i-99" not in [notice.instance for notice in known.of_host("node-1")]


@pytest.mark.parametrize("value", [b"ten", b"-5", b"nan", b"9" * 400, b""])
@async_test
async def test_faulty_limit_does_not_disturb_callers(tmp_path, value):
    """Guards against a request that fails because of a header it does not need."""
    async with Fleet(tmp_path, ("entries", "parts")) as fleet:
        upstream = StatingUpstream(fleet.hosts[1].upstream)
        upstream.limit = value
        with LogCapture() as capture:
            async with Client(fleet.hosts[0].settings.call_address) as client:
                for number in range(20):
                    response = await client.call(b"/parts/1", b"r%d" % number)
                    assert response[0] == 200
            lines = [line for line in capture.lines() if "not a number" in line.msg]
    assert len(lines) == 1
    assert len(lines[0].fields["value"]) <= 40


def test_end_of_an_instance_is_final():
    """Guards against a leaving instance that a later message brings back."""
    known = KnownNotices()
    known.mark_leaving("node-1", "i-1")
    known.set_rate_limit("node-1", "i-1", 10.0)
    known.set_rate_limit("node-1", "i-1", 0.0)
    assert known.is_leaving("node-1", "i-1")
    assert not known.is_leaving("node-1", "i-2")
    assert not known.is_leaving("node-2", "i-1")

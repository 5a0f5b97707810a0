"""Routing while members are held for failed, and calls to unknown services."""

import pytest
from tornado.httputil import HTTPHeaders, RequestStartLine

from figpick.base._errors import DocumentMissingError, UnknownServiceError
from figpick.calls import _context
from figpick.membership._members import FAILED, LEFT, Members
from figpick.registry._documents import Service
from figpick.roles._compose import Process
from figpick.routing._reach import CALLS_S, Reach
from figpick.routing._upstreams import Result, UpstreamSet

from .test_members import record
from .test_metrics import SETTINGS

PARTS = {"service": "parts", "routes": []}


class Routing:
    """The upstreams of one service beside the member view."""

    def __init__(self):
        self.members = Members(record("own"))
        self.reach = Reach(self.members)
        self.upstreams = UpstreamSet(Service(PARTS, 1))
        self.members.listen(self.changed)
        self.members.merge(record("b"))

    def changed(self, member):
        routed = self.reach.routed(member, self.upstreams, 0.0)
        self.upstreams.update(routed, 0.0)

    def call(self, complete, now):
        result = Result(complete, 200 if complete else 0, 0.01)
        self.upstreams.get("b").observe(result, now)

    def fail(self):
        self.members.contacts.failed(self.members.get("b").peer_address)
        self.members.merge(record("b", state=FAILED))

    def review(self, now):
        self.reach.review([self.upstreams], now)
        return self.upstreams.get("b") is not None


def test_upstream_that_answers_calls_is_kept_when_its_node_has_ended():
    """Guards against a lost upstream because only the process beside it ended."""
    routing = Routing()
    routing.call(True, 0.0)
    routing.fail()
    for second in range(20):
        routing.call(True, second)
        assert routing.review(float(second))
    assert routing.review(19 + CALLS_S - 0.1)
    assert not routing.review(19 + CALLS_S)


def test_upstream_whose_calls_fail_is_dropped():
    """Guards against calls to a host that is gone."""
    routing = Routing()
    routing.call(False, 0.0)
    routing.fail()
    assert not routing.review(0.0)


def test_upstream_on_this_side_of_a_partition_is_kept():
    """Guards against verdicts from processes that are cut off from the member."""
    routing = Routing()
    routing.members.contacts.answered(routing.members.get("b").peer_address, 0.0)
    routing.members.merge(record("b", state=FAILED))
    assert routing.review(100.0)
    routing.members.merge(record("b", version=2, state=LEFT))
    assert not routing.review(100.0)


class FetcherStub:
    """Knows of no document."""

    asked = False

    def require(self, service, now):
        if not self.asked:
            raise DocumentMissingError(service)


def plan(node, host, context=None):
    headers = HTTPHeaders({"Host": host})
    if context is not None:
        headers[_context.CONTEXT_HEADER] = context
    return node.plan(RequestStartLine("GET", "/", "HTTP/1.1"), headers)


def test_unknown_service_is_asked_for_and_then_refused_inside_the_graph():
    """Guards against calls of an application that reach its own service."""
    node = Process({**SETTINGS, "service": "parts"}).node
    node.fetcher = FetcherStub()
    node.adopt(PARTS, 1)
    context = _context.encode(plan(node, "parts").context, node.key)
    with pytest.raises(DocumentMissingError):
        plan(node, "nowhere", context)
    node.fetcher.asked = True
    with pytest.raises(UnknownServiceError):
        plan(node, "nowhere", context)
    assert plan(node, "public.example.com").service.name == "parts"
    assert plan(node, "10.0.0.1:8100", context).service.name == "parts"

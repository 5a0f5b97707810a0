"""Routing while members are marked as failed, and calls to unknown services."""

import pytest
from tornado.httputil import HTTPHeaders, RequestStartLine

from figpick.base._errors import (
    DocumentMissingError,
    DocumentUnavailableError,
    UnknownServiceError,
)
from figpick.calls import _context
from figpick.membership._members import FAILED, LEFT, Members
from figpick.registry._documents import Service
from figpick.roles._compose import Process
from figpick.routing._reachability import RECENT_SUCCESS_S, UpstreamReachability
from figpick.routing._upstream_set import UpstreamResult, UpstreamSet

from .test_members import record
from .test_metrics import SETTINGS

PARTS = {"service": "parts", "routes": []}


class RoutingFixture:
    """The upstreams of one service, updated from member records."""

    def __init__(self):
        self.members = Members(record("own"))
        self.reachability = UpstreamReachability(self.members)
        self.upstreams = UpstreamSet(Service(PARTS, 1))
        self.members.add_listener(self.changed)
        self.members.merge(record("b"))

    def changed(self, member):
        routed = self.reachability.routing_record(member, self.upstreams, 0.0)
        self.upstreams.update(routed, 0.0)

    def call(self, is_complete, now):
        result = UpstreamResult(is_complete, 200 if is_complete else 0, 0.01)
        self.upstreams.get("b").observe(result, now)

    def fail(self):
        self.members.reply_tracker.record_failure(self.members.get("b").peer_address)
        self.members.merge(record("b", state=FAILED))

    def is_kept_at(self, now):
        self.reachability.drop_unreachable([self.upstreams], now)
        return self.upstreams.get("b") is not None


def test_upstream_that_responds_is_kept_when_its_node_has_stopped():
    """Guards against dropping an upstream because only the node on its host stopped."""
    routing = RoutingFixture()
    routing.call(True, 0.0)
    routing.fail()
    for second in range(20):
        routing.call(True, second)
        assert routing.is_kept_at(float(second))
    assert routing.is_kept_at(19 + RECENT_SUCCESS_S - 0.1)
    assert not routing.is_kept_at(19 + RECENT_SUCCESS_S)


def test_upstream_whose_calls_fail_is_dropped():
    """Guards against calls to a host that no longer exists."""
    routing = RoutingFixture()
    routing.call(False, 0.0)
    routing.fail()
    assert not routing.is_kept_at(0.0)


def test_upstream_whose_node_is_reachable_from_here_is_kept():
    """Guards against dropping a member that only other processes can't reach.

    They are cut off from it by a partition and mark it as failed.
    """
    routing = RoutingFixture()
    routing.members.reply_tracker.record_reply(
        routing.members.get("b").peer_address, 0.0
    )
    routing.members.merge(record("b", state=FAILED))
    assert routing.is_kept_at(100.0)
    routing.members.merge(record("b", version=2, state=LEFT))
    assert not routing.is_kept_at(100.0)


class FetcherStub:
    """A fetcher that finds no document."""

    requested = False
    has_reply = False

    def require_recent_fetch(self, service, now):
        if not self.requested:
            raise DocumentMissingError(service)

    def require_reply(self, service):
        if not self.has_reply:
            raise DocumentUnavailableError(service)


def plan(node, host, context=None):
    headers = HTTPHeaders({"Host": host})
    if context is not None:
        headers[_context.CONTEXT_HEADER] = context
    return node.plan(RequestStartLine("GET", "/", "HTTP/1.1"), headers)


def test_unknown_service_is_fetched_and_then_refused_for_nested_calls():
    """Guards against calls of an application to an unknown service.

    They must not be sent to the own service of the application instead.
    """
    node = Process({**SETTINGS, "service": "parts"}).node
    node.fetcher = FetcherStub()
    node.adopt_document(PARTS, 1)
    context = _context.encode(plan(node, "parts").context, node.key)
    with pytest.raises(DocumentMissingError):
        plan(node, "nowhere", context)
    node.fetcher.requested = True
    with pytest.raises(DocumentUnavailableError):
        plan(node, "nowhere", context)
    node.fetcher.has_reply = True
    with pytest.raises(UnknownServiceError):
        plan(node, "nowhere", context)
    assert plan(node, "public.example.com").service.name == "parts"
    assert plan(node, "10.0.0.1:8100", context).service.name == "parts"

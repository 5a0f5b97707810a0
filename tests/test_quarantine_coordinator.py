"""Detection of crashes and refusal of requests that may cause them."""

import asyncio
from types import SimpleNamespace

import pytest
from tornado.iostream import StreamClosedError

from figpick.base._errors import QuarantinedError
from figpick.retries._quarantine import QUARANTINED, SUSPECTED, Event
from figpick.retries._quarantine_coordinator import QuarantineCoordinator
from tests.proxied_node import call, start_proxied_node

PLAN = SimpleNamespace(
    service=SimpleNamespace(name="jobs"), method="GET", target="/x", key="", deadline=99
)
BODY = SimpleNamespace(is_replayable=True, first_bytes=b"")


class Pool:
    """A connection pool whose upstream accepts only the first connections.

    The listener of a process that is exiting may do that.
    """

    def __init__(self, accepted):
        self._accepted = accepted

    def drop_closed(self):
        return 0

    async def connect(self, now):
        self._accepted -= 1
        if self._accepted < 0:
            raise StreamClosedError
        return SimpleNamespace(close=lambda: None)


def make_coordinator():
    clock = SimpleNamespace(monotonic=lambda: 1.0)
    own = SimpleNamespace(name="jobs-1")
    members = SimpleNamespace(own=own, others=list)
    return QuarantineCoordinator(clock, members, None)


async def report_and_get_fingerprint(coordinator):
    upstream = SimpleNamespace(name="jobs-2", pool=Pool(0))
    events = []
    coordinator.publish = lambda kind, payload, retention_s: events.extend(payload)
    await coordinator.report_broken_connection(PLAN, BODY, upstream, None)
    await asyncio.sleep(0.05)
    return Event(*events[0]).fingerprint


@pytest.mark.parametrize(("accepted", "suspects"), [(0, 1), (1, 1), (99, 0)])
def test_crash_is_distinguished_from_a_broken_connection(accepted, suspects):
    """Guards against a missed crash because the listener still accepts connections."""

    async def scenario():
        coordinator = make_coordinator()
        upstream = SimpleNamespace(name="jobs-2", pool=Pool(accepted))
        await coordinator.report_broken_connection(PLAN, BODY, upstream, None)
        assert coordinator.dump()["suspects"] == suspects

    asyncio.run(scenario())


def test_quarantine_applies_to_a_request_that_waited_for_a_permit():
    """Guards against a further crash by a request admitted before its quarantine."""

    async def scenario():
        coordinator = make_coordinator()
        fingerprint = await report_and_get_fingerprint(coordinator)
        coordinator.apply_events(
            [list(Event(SUSPECTED, fingerprint, "jobs-2", "jobs GET /x"))]
        )
        coordinator.apply_events(
            [list(Event(QUARANTINED, fingerprint, "jobs-2", "jobs GET /x"))]
        )
        with pytest.raises(QuarantinedError):
            await coordinator.acquire_slot(PLAN, BODY, SimpleNamespace(name="jobs-1"))

    asyncio.run(scenario())


def test_quarantine_applies_to_a_request_that_waited_for_a_connection():
    """Guards against a crash by a request that is quarantined while it connects."""

    async def scenario():
        async with start_proxied_node() as (graph, node, origin, _):
            coordinator = node.node.quarantine_coordinator
            (upstream,) = node.node.upstream_set("parts")
            acquire_slot, connect = coordinator.acquire_slot, upstream.pool.connect
            fingerprints = []

            async def record_and_acquire_slot(plan, body, upstream):
                fingerprints.append(coordinator._fingerprint(plan, body, always=True))
                return await acquire_slot(plan, body, upstream)

            async def connect_later(now):
                event = Event(QUARANTINED, fingerprints[0], upstream.name, "parts")
                await coordinator.handle_events({"events": [list(event)]})
                return await connect(now)

            coordinator.acquire_slot = record_and_acquire_slot
            upstream.pool.connect = connect_later
            response = await call(graph, node, "GET", "/a", {"X-Request": "poison"})
            assert response.status == 422
            assert response.outcome == "not-run"
            assert origin.executions["poison"] == 0
            assert upstream.permits.in_use == 0

    asyncio.run(scenario())


@pytest.mark.parametrize("delay_s", [0.0, 2.0])
def test_late_copy_of_an_event_is_ignored(delay_s):
    """Guards against a copy that counts as a second crash or undoes a release."""

    async def scenario():
        sent = []
        sender, receiver = make_coordinator(), make_coordinator()
        sender.publish = lambda kind, payload, retention_s: sent.append(payload)
        upstream = SimpleNamespace(name="jobs-2", pool=Pool(0))
        await sender.report_broken_connection(PLAN, BODY, upstream, None)
        await asyncio.sleep(0.05)
        fingerprint = Event(*sent[0][0]).fingerprint
        sender._publish_event(sender._quarantine.quarantine(fingerprint, "", "", 1.0))
        await asyncio.sleep(0.05)
        crash, quarantine = sent

        await receiver.handle_events({"events": crash})
        receiver._clock.monotonic = lambda: 1.0 + delay_s
        receiver.apply_events(crash)
        assert len(receiver._quarantine._suspects.get(fingerprint, 1.0)) == 1

        await receiver.handle_events({"events": quarantine})
        reply = await receiver.unquarantine({"fingerprint": fingerprint})
        assert reply["quarantined"]
        receiver.apply_events(quarantine)
        reply = await receiver.unquarantine({"fingerprint": fingerprint})
        assert not reply["quarantined"]

    asyncio.run(scenario())

"""Finding crashes and holding back requests that may cause them."""

import asyncio
from types import SimpleNamespace

import pytest
from tornado.iostream import StreamClosedError

from figpick.base._errors import QuarantinedError
from figpick.retries._quarantine import QUARANTINED, SUSPECTED, Event
from figpick.retries._quarantining import Suspicion

PLAN = SimpleNamespace(
    service=SimpleNamespace(name="jobs"), method="GET", target="/x", key="", deadline=99
)
BODY = SimpleNamespace(is_replayable=True, first_bytes=b"")


class Pool:
    """Accepts some connections, as the listener of a process that ends may."""

    def __init__(self, accepted):
        self._accepted = accepted

    def drop_closed(self):
        return 0

    async def connect(self, now):
        self._accepted -= 1
        if self._accepted < 0:
            raise StreamClosedError
        return SimpleNamespace(close=lambda: None)


def make_suspicion():
    clock = SimpleNamespace(monotonic=lambda: 1.0)
    own = SimpleNamespace(name="jobs-1")
    members = SimpleNamespace(own=own, others=list)
    return Suspicion(clock, members, None)


async def fingerprint(suspicion):
    upstream = SimpleNamespace(name="jobs-2", pool=Pool(0))
    events = []
    suspicion.publish = lambda kind, payload, keep_s: events.extend(payload)
    await suspicion.report_break(PLAN, BODY, upstream, None)
    await asyncio.sleep(0.05)
    return Event(*events[0]).fingerprint


@pytest.mark.parametrize(("accepted", "suspects"), [(0, 1), (1, 1), (99, 0)])
def test_crash_is_told_from_a_broken_connection(accepted, suspects):
    """Guards against a crash that is missed while the listener still accepts."""

    async def scenario():
        suspicion = make_suspicion()
        upstream = SimpleNamespace(name="jobs-2", pool=Pool(accepted))
        await suspicion.report_break(PLAN, BODY, upstream, None)
        assert suspicion.dump()["suspects"] == suspects

    asyncio.run(scenario())


def test_quarantine_reaches_a_request_that_waits_for_a_permit():
    """Guards against a further crash by a request admitted just before."""

    async def scenario():
        suspicion = make_suspicion()
        name = await fingerprint(suspicion)
        suspicion.receive([list(Event(SUSPECTED, name, "jobs-2", "jobs GET /x"))])
        suspicion.receive([list(Event(QUARANTINED, name, "jobs-2", "jobs GET /x"))])
        with pytest.raises(QuarantinedError):
            await suspicion.enter(PLAN, BODY, SimpleNamespace(name="jobs-1"))

    asyncio.run(scenario())

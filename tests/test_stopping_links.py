"""What links still carry when a node at one of their ends stops or leaves."""

import pytest

from figpick.directory import LEFT

from .fleet import (
    Client,
    Fleet,
    async_test,
    wait_until,
)


@pytest.mark.parametrize(
    "changes",
    [{"state": LEFT}, {"service": "other"}, {"port": 1}],
    ids=["left", "other-service", "other-address"],
)
@async_test
async def test_calls_at_an_owner_whose_record_changes_keep_their_responses(
    tmp_path, changes
):
    """Guards against failing calls whose responses are on an open link."""
    async with Fleet(tmp_path, services=("entries", "parts", "parts")) as fleet:
        caller, *owners = fleet.hosts
        for owner in owners:
            owner.upstream.delay_s = 0.5
        async with Client(caller.settings.call_address) as client:
            assert (await client.call(b"/entries/1", b"a0"))[0] == 200
            client.send(b"/parts/once/1", b"a1", method=b"POST")
            await wait_until(lambda: any(owner.upstream.runs for owner in owners))
            owner, other = sorted(owners, key=lambda each: not each.upstream.runs)
            record = owner.node._announcer.record
            changed = record._replace(version=record.version + 1, **changes)
            caller.node.on_record(changed)
            assert (await client.receive())[0] == 200
            for number in range(5):
                request_id = b"b%d" % number
                assert (await client.call(b"/parts/1", request_id))[0] == 200
            assert owner.upstream.runs == ["a1"]
            assert len(other.upstream.runs) == 5

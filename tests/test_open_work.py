"""What is open at a node, as its state, metrics and log lines of a stop show it."""

import asyncio

from figpick.nodes._call_logging import call_state

from .fleet import Client, Fleet, async_test, wait_until


@async_test
async def test_open_calls_are_counted_by_state_at_both_nodes(tmp_path):
    """Guards against a stop whose log lines do not tell what it ends."""
    async with Fleet(tmp_path, services=("entries", "parts")) as fleet:
        caller, owner = fleet.hosts
        owner.upstream.delay_s = 0.4
        async with Client(caller.settings.call_address) as client:
            assert (await client.call(b"/entries/1", b"a0"))[0] == 200
            client.send(b"/parts/1", b"a1")
            client.send(b"/parts/1", b"a2")
            await wait_until(lambda: len(owner.upstream.runs) == 2)
            await asyncio.sleep(0.1)
            work = caller.node.open_work()
            assert work["calls"] == {"waiting": 0, "sent": 2, "streaming": 0}
            assert work["oldest_s"] >= 0.1
            assert owner.node.open_work()["executions"]["running"] == 2
            text = owner.node.metrics_text().decode()
            assert any(
                line.startswith("figpick_open{") and 'state="running"' in line
                for line in text.splitlines()
            )
            assert [(await client.receive())[0] for _ in range(2)] == [200, 200]
        await wait_until(lambda: not caller.node.open_work()["calls"]["sent"])
        assert owner.node.open_work()["oldest_s"] == 0.0


@async_test
async def test_log_of_an_ended_call_tells_when_it_was_taken_and_sent(tmp_path):
    """Guards against logs in which late requests and late attempts look alike."""
    async with Fleet(tmp_path, services=("entries", "parts")) as fleet:
        caller, owner = fleet.hosts
        owner.upstream.delay_s = 5.0
        async with Client(caller.settings.call_address) as client:
            client.send(b"/parts/1", b"a1")
            await wait_until(lambda: owner.upstream.runs)
            forwarder = caller.node._forwarder
            (call,) = forwarder._open_calls
            state = call_state(call, forwarder.now())
            assert state["nested_by"] == ""
            assert 0 <= state["sent_s"][0] <= state["age_s"]

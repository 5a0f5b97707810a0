"""Upstreams that announced their end, after all processes were killed."""

import asyncio

import pytest

from figpick.configuration import Departure, encode_command
from figpick.configuration._departures import MAX_HOSTS, MAX_PER_HOST, Departures
from figpick.configuration._registry import ConfigurationRegistry
from figpick.nodes._departures import ACKNOWLEDGEMENT_TIMEOUT_S, DepartureKeeper

from .fleet import Fleet, async_test, wait_until
from .limited_upstreams import StatingUpstream, send_load, use_long_routes
from .test_restarted_upstreams import announce_end, start_again

SERVICES = ("entries", "entries", "parts", "parts")


@pytest.mark.parametrize("controls", [1, 3])
@pytest.mark.parametrize("started_ms", [None, 1000])
@pytest.mark.parametrize("how", ["leave", "draining"])
@async_test
async def test_acknowledged_end_holds_after_a_kill_of_all_processes(
    tmp_path, how, started_ms, controls
):
    """Guards against a late heartbeat that makes an upstream that left look ready."""
    async with Fleet(tmp_path, SERVICES, controls) as fleet:
        await use_long_routes(fleet)
        *entries, host, other = fleet.hosts
        await start_again(host, started_ms)
        late_report = host.upstream.report()
        announce_end(host, how)
        await asyncio.sleep(0.4)
        await fleet.restart_all()
        other.node.handle_report(other.upstream.report())
        host.node.handle_report(late_report)
        await wait_until(lambda: host.node.owner.view.state == "draining", 4.0)
        upstream = StatingUpstream(host.upstream)
        StatingUpstream(other.upstream)
        results = await send_load(entries, per_s=40, seconds=1.0)
        assert not upstream.arrivals
        assert any(status == 200 for status, _ in results)


@async_test
async def test_end_is_acknowledged_only_once_it_is_stored(tmp_path):
    """Guards against an acknowledgement that a kill of all processes takes back."""
    async with Fleet(tmp_path, SERVICES, 3) as fleet:
        host = fleet.hosts[-1]
        assert await host.node.accept_leave(host.upstream.instance)
        for control in fleet.controls:
            departures = control.member.registry.departures
            await wait_until(lambda known=departures: known.of_host("node-3"))
        for control in fleet.controls[:2]:
            control.close()
        for task in fleet._tasks[:2]:
            task.cancel()
        first = fleet.hosts[0]
        started_at = asyncio.get_running_loop().time()
        assert not await first.node.accept_report(first.upstream.report(True))
        duration_s = asyncio.get_running_loop().time() - started_at
        assert duration_s < ACKNOWLEDGEMENT_TIMEOUT_S + 0.1
        assert first.node.owner.view.slots == 0


@async_test
async def test_each_attempt_asks_other_control_processes():
    """Guards against an end that stays unstored since a process does not answer."""
    attempts = []
    keeper = DepartureKeeper(lambda key, attempt: attempts.append(attempt))
    running = asyncio.ensure_future(keeper.run())
    keeping = asyncio.ensure_future(keeper.keep("i-1"))
    await asyncio.sleep(0.6)
    keeper.mark_stored("i-1")
    assert await keeping
    assert attempts == [1, 2]
    assert await keeper.keep("i-1")
    assert keeper.pending_count == 0
    running.cancel()


def registry_with(departures):
    registry = ConfigurationRegistry()
    for index, departure in enumerate(departures, 1):
        registry.apply(encode_command(departure), index)
    return registry


def test_departures_are_kept_in_a_snapshot():
    """Guards against an end that is forgotten after a compaction."""
    registry = registry_with([Departure("n-1", "i-1"), Departure("n-1", "i-2 2000")])
    restored = ConfigurationRegistry()
    restored.restore(registry.encode())
    assert restored.departures.of_host("n-1") == ["i-1", "i-2 2000"]
    assert restored.departures.of_host("n-1", after=1) == ["i-2 2000"]
    assert restored.departures.last_index == 2
    assert restored.version == 0


def test_departures_are_bounded():
    departures = Departures()
    for number in range(MAX_PER_HOST + 1):
        departures.add(Departure("n-0", f"i-{number}"), number + 1)
    assert departures.of_host("n-0")[0] == "i-1"
    for number in range(1, MAX_HOSTS + 1):
        departures.add(Departure(f"n-{number}", "i-1"), 100 + number)
    assert departures.of_host("n-0") == []
    assert departures.of_host(f"n-{MAX_HOSTS}") == ["i-1"]

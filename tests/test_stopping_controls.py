"""What a control process that stops still owes to operators and other processes."""

import asyncio

from figpick.base._clock import Clock
from figpick.configuration import ChangeSet
from figpick.control import ControlProcess, ControlSettings

from .fleet import Fleet, async_test, free_address, wait_until

DOCUMENT = "x" * 600_000


class Controls:
    """Three control processes with a leader.

    :param folder: folder for their data.
    """

    def __init__(self, folder):
        links = tuple(free_address() for _ in range(3))
        self.processes = [
            ControlProcess(
                ControlSettings(
                    f"c-{n}", "dc", link, links, True, str(folder / str(n))
                ),
                Clock(),
            )
            for n, link in enumerate(links)
        ]
        self._tasks = []

    async def __aenter__(self):
        self._tasks = [asyncio.ensure_future(each.run()) for each in self.processes]
        await wait_until(lambda: any(each.member.is_leader for each in self.processes))
        return self

    async def __aexit__(self, *error):
        for process, task in zip(self.processes, self._tasks, strict=True):
            task.cancel()
            process.close()

    @property
    def leader(self):
        return next(each for each in self.processes if each.member.is_leader)


@async_test
async def test_leader_exits_after_other_processes_have_read_its_replies(
    tmp_path, monkeypatch
):
    """Guards against an exit that discards replies to requests of operators."""
    async with Controls(tmp_path) as controls:
        leader = controls.leader
        reader = next(each for each in controls.processes if each is not leader)
        await wait_until(reader._leader_link)
        into = reader._leader_link()
        change = ChangeSet(1, 0, "digest", DOCUMENT)
        assert await leader.put(change) == 1
        assert reader._leader_link() is into
        confirm = leader.member.confirm

        async def confirm_late():
            registry = await confirm()
            into._transport.pause_reading()
            return registry

        monkeypatch.setattr(leader.member, "confirm", confirm_late)
        reading = asyncio.ensure_future(reader.read())
        await wait_until(lambda: not into._transport.is_reading())
        asyncio.get_running_loop().call_later(0.3, into._transport.resume_reading)
        await leader.drain()
        done, _ = await asyncio.wait((reading,), timeout=0.05)
        leader.close()
        assert done
        assert reading.result().document == DOCUMENT


@async_test
async def test_settings_reloaded_in_a_stop_open_no_links(tmp_path):
    """Guards against links that nobody finishes before the process exits."""
    accepted = []
    address = free_address()
    server = await asyncio.start_server(lambda *each: accepted.append(each), *address)
    async with Fleet(tmp_path, services=("parts",)) as fleet:
        (host,), (control,) = fleet.hosts, fleet.controls
        host.node._stop_links()
        await control.drain()
        for process in (host.node, control):
            process.use_seeds([address])
        await asyncio.sleep(0.3)
        assert not accepted
    server.close()

"""Three control processes in the event loop of a test."""

import asyncio

from figpick.base._clock import Clock
from figpick.base._errors import NoQuorumError
from figpick.configuration import ChangeSet
from figpick.control import ControlProcess, ControlSettings

from .fleet import free_address


def change(version, base, digest=None):
    """Returns a change set without a document."""
    return ChangeSet(version, base, digest or f"digest-of-{version}", "")


class Controls:
    """Three control processes in the event loop of the test.

    :param folder: folder for their data.
    """

    def __init__(self, folder):
        links = tuple(free_address() for _ in range(3))
        self.settings = [
            ControlSettings(f"c-{n}", "dc", link, links, True, str(folder / str(n)))
            for n, link in enumerate(links)
        ]
        self._tasks = []
        self.processes = []

    async def __aenter__(self):
        self.start()
        return self

    async def __aexit__(self, *error):
        await self.kill()

    def start(self):
        """Starts all processes with the data that they have."""
        self.processes = [ControlProcess(each, Clock()) for each in self.settings]
        self._tasks = [asyncio.ensure_future(each.run()) for each in self.processes]

    async def kill(self):
        """Ends all processes as a loss of power does."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for process in self.processes:
            process.close()

    async def put(self, process, new):
        """Sends a change set until it gets a clear response."""
        async with asyncio.timeout(8.0):
            while True:
                try:
                    return await process.put(new)
                except NoQuorumError:
                    await asyncio.sleep(0.01)

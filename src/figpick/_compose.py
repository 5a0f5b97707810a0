"""The composition root: wires the parts of one process."""

import asyncio
import gc
import os
import random
import signal

from . import _shutdown
from ._auth import Authenticator
from ._clock import Clock
from ._control import Control
from ._dissemination import Dissemination
from ._exchange import PERIOD_S as EXCHANGE_PERIOD_S
from ._gossip import PERIOD_S as GOSSIP_PERIOD_S, Gossip
from ._logs import logger
from ._members import Member, Members
from ._node import Node
from ._storage import LogFile
from ._supervisor import Supervisor
from ._transport import PeerClient, PeerServer

# The default first threshold of 700 starts several collections for each request.
GC_THRESHOLDS = (20_000, 20, 50)

log = logger("process")


class Process:
    """One figpick process with its roles.

    :param settings: :class:`~figpick._settings.Settings`.
    """

    def __init__(self, settings):
        self._settings = settings
        self.clock = Clock()
        authenticator = Authenticator(settings["shared_key"])
        self._client = PeerClient(authenticator, self.clock)
        self._server = PeerServer(settings["peer_address"], authenticator, self.clock)
        self._members = Members(self._own_record())
        self._supervisor = Supervisor("process", self.clock)
        self._node = None
        self._control = None
        self._stopped = asyncio.Event()
        self._server.handle("state", self._dump)
        if "node" in settings["roles"]:
            self._add_node(authenticator)
        if "control" in settings["roles"]:
            self._add_control()
        self._add_dissemination()

    @property
    def node(self):
        """The node role, or ``None``."""
        return self._node

    async def run(self):
        """Runs until the process is told to stop."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop)
        if self._control is not None:
            self._control.start()
        self._server.start()
        if self._node is not None:
            self._node.start()
        log.info("Process {} has started.", self._settings["name"])
        tree = asyncio.ensure_future(self._supervisor.run())
        stop = asyncio.ensure_future(self._stopped.wait())
        try:
            await asyncio.wait([tree, stop], return_when=asyncio.FIRST_COMPLETED)
            if tree.done():
                tree.result()
            await self._leave()
        finally:
            tree.cancel()
            stop.cancel()
            await self._close()

    def stop(self):
        """Makes :meth:`run` drain the node, leave and return."""
        self._stopped.set()

    async def _leave(self):
        spread = self._dissemination.exchange
        if self._node is not None:
            await _shutdown.drain(self._node, spread, self.clock)
        await _shutdown.leave(self._members, spread)

    async def _close(self):
        if self._node is not None:
            await self._node.stop()
        await self._server.stop()
        self._client.close()
        log.info("Process {} has stopped.", self._settings["name"])

    def _add_node(self, authenticator):
        self._node = Node(
            self._settings, self.clock, authenticator.key, self._members, self._client
        )
        self._server.handle("exchange", self._node.exchange.receive)
        self._server.handle("cancel", self._node.cancellations.receive)
        self._supervisor.add_periodic(
            "permits", self._node.renew_permits, EXCHANGE_PERIOD_S
        )
        self._supervisor.add_periodic("announcement", self._node.check_announcement, 1)

    def _add_control(self):
        self._control = Control(self.clock, LogFile(self._settings["data_folder"]))
        self._server.handle("put", self._control.put)
        self._server.handle("get", self._control.get)
        self._server.handle("history", self._control.history)

    def _add_dissemination(self):
        gossip = Gossip(self._members, self._versions, self._seeds(), random.Random())
        self._dissemination = Dissemination(
            gossip, self._client, self._node, self._control
        )
        self._server.handle("gossip", self._dissemination.receive)
        self._server.handle("document", self._dissemination.serve_document)
        self._supervisor.add_periodic(
            "gossip", self._dissemination.exchange, GOSSIP_PERIOD_S
        )

    def _own_record(self):
        settings = self._settings
        return Member(
            name=settings["name"],
            incarnation=int(self.clock.wall() * 1000),
            version=1,
            state="cold",
            role="+".join(settings["roles"]),
            service=settings.get("service", ""),
            peer_address=settings["peer_address"],
            call_address=settings.get("call_address", ""),
            upstream_address="",
            data_center=settings["data_center"],
            region=settings["region"],
            slots=0,
            connections=0,
        )

    def _seeds(self):
        control = [member["address"] for member in self._settings.get("control", [])]
        return control + self._settings.get("seeds", [])

    def _versions(self):
        if self._control is not None:
            return self._control.versions
        return self._node.versions

    async def _dump(self, message):
        state = {
            "name": self._settings["name"],
            "members": [member._asdict() for member in self._members],
            "supervisor": self._supervisor.dump(),
        }
        if self._node is not None:
            state["node"] = self._node.dump()
        if self._control is not None:
            state["control"] = self._control.dump()
        return state


def run(settings):
    """Runs one process until it is told to stop.

    :param settings: :class:`~figpick._settings.Settings`.
    """
    with asyncio.Runner(loop_factory=_loop_factory()) as runner:
        runner.run(_run_process(settings))


def prepare_process():
    """Keeps garbage collection short, which would otherwise delay calls."""
    gc.collect()
    # Modules live as long as the process and need no further examination.
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


async def _run_process(settings):
    prepare_process()
    await Process(settings).run()


def _loop_factory():
    # Processes must not use io_uring, which libuv would otherwise try.
    os.environ["UV_USE_IO_URING"] = "0"
    try:
        import uvloop
    except ImportError:
        return None
    return uvloop.new_event_loop

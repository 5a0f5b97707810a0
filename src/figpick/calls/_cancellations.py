"""Cancels executions at the upstreams of other nodes."""

import asyncio

from ..base._errors import PeerError
from ..base._logs import logger

# Callers often disconnect at the same time. The delay collects the cancellations of
# their calls in one message.
COALESCE_DELAY_S = 0.005
MAX_IDS_PER_MESSAGE = 1000

log = logger("cancel")


class Cancellations:
    """Sends and handles ``cancel`` messages.

    :param executions: :class:`~figpick.calls._executions.ExecutionTable`.
    :param client: :class:`~figpick.messaging._transport.PeerClient`.
    :param clock: :class:`~figpick.base._clock.Clock`.
    :param own_name: name of this node.
    """

    def __init__(self, executions, client, clock, own_name):
        self._executions = executions
        self._client = client
        self._clock = clock
        self._own_name = own_name
        self._pending_ids = {}
        self._tasks = set()

    def send(self, member, execution_id):
        """Cancels an execution at the upstream on the host of a node.

        :param member: :class:`~figpick.membership._members.Member` record of that node.
        """
        if member.name == self._own_name:
            self._executions.cancel(execution_id, self._clock.monotonic())
            return
        pending_ids = self._pending_ids.get(member.peer_address)
        if pending_ids is not None:
            pending_ids.append(execution_id)
            return
        self._pending_ids[member.peer_address] = [execution_id]
        loop = asyncio.get_running_loop()
        loop.call_later(COALESCE_DELAY_S, self._flush, member.peer_address)

    async def receive(self, message):
        """Cancels the calls that the named executions made.

        :param message: dict with ``executions``, a list of ids.
        :return: reply, a dict with ``cancelled``, the number of calls cancelled.
        """
        now = self._clock.monotonic()
        cancelled = 0
        for execution_id in message["executions"]:
            cancelled += self._executions.cancel(execution_id, now)
        return {"cancelled": cancelled}

    def close(self):
        """Drops cancellations that were not sent yet."""
        self._pending_ids.clear()
        for task in self._tasks:
            task.cancel()

    def _flush(self, address):
        ids = self._pending_ids.pop(address, ())
        for start in range(0, len(ids), MAX_IDS_PER_MESSAGE):
            message = {"executions": ids[start : start + MAX_IDS_PER_MESSAGE]}
            task = asyncio.ensure_future(self._deliver(address, message))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _deliver(self, address, message):
        try:
            await self._client.send(address, "cancel", message)
        except PeerError as error:
            log.debug("Sending cancellations to {} failed: {}.", address, error)

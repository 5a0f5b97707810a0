"""Lets control processes store which upstreams have left the host of a node."""

import asyncio

from ..base._logs import logger

# A process that does not answer is passed over after this time.
RETRY_PERIOD_S = 0.4
# Upstreams wait one second for an acknowledgement.
ACKNOWLEDGEMENT_TIMEOUT_S = 0.85
MAX_STORED = 64
MAX_PENDING = 16

log = logger("node")


class DepartureKeeper:
    """Has departures stored, and knows which ones are.

    :param send: called with the key of an incarnation and the number of the attempt,
        which tells the control processes apart that are asked.
    """

    def __init__(self, send):
        self._send = send
        self._stored = {}
        # By key of the incarnation.
        self._pending = {}

    def __repr__(self):
        return f"<DepartureKeeper {len(self._pending)} pending>"

    @property
    def pending_count(self):
        """Number of departures that are not stored yet."""
        return len(self._pending)

    def add(self, key):
        """Starts to have a departure stored.

        :param key: key of the incarnation that leaves.
        """
        if key in self._stored or key in self._pending:
            return
        self._pending[key] = _PendingDeparture()
        if len(self._pending) > MAX_PENDING:
            del self._pending[next(iter(self._pending))]
        self._send_again(key)

    def mark_stored(self, key):
        """Records that a departure is stored on the disks of a quorum."""
        self._stored[key] = None
        if len(self._stored) > MAX_STORED:
            del self._stored[next(iter(self._stored))]
        pending = self._pending.pop(key, None)
        if pending is not None:
            log.notice("The end of an upstream is stored.", extra={"instance": key})
            pending.is_stored.set()

    async def keep(self, key):
        """Has a departure stored and waits for it, for a bounded time.

        :param key: key of the incarnation that leaves.
        :return: whether it is stored.
        """
        self.add(key)
        if key in self._stored:
            return True
        try:
            async with asyncio.timeout(ACKNOWLEDGEMENT_TIMEOUT_S):
                await self._pending[key].is_stored.wait()
        except TimeoutError:
            log.warning(
                "The end of an upstream is not stored yet.", extra={"instance": key}
            )
            return False
        return True

    async def run(self):
        """Retries until cancelled."""
        while True:
            await asyncio.sleep(RETRY_PERIOD_S)
            for key in list(self._pending):
                self._send_again(key)

    def _send_again(self, key):
        pending = self._pending[key]
        pending.attempts += 1
        self._send(key, pending.attempts)


class _PendingDeparture:
    """A departure that is not stored yet."""

    def __init__(self):
        self.attempts = 0
        self.is_stored = asyncio.Event()

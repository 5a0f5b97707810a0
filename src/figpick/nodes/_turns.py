"""Shares the event loop among the connections whose received bytes are parsed."""

import asyncio
from collections import deque

from ..base._logs import logger

# Time of one iteration of the event loop for bytes that wait for their turn.
TURN_BUDGET_S = 0.005

log = logger("entry")


class ParsingTurns:
    """Lets connections parse what they have received, a slice each in turn.

    :param clock: :class:`~figpick.base._clock.Clock`.
    """

    def __init__(self, clock):
        self._clock = clock
        self._waiting = deque()
        self._handle = None

    def __repr__(self):
        return f"<ParsingTurns {len(self._waiting)}>"

    @property
    def is_contended(self):
        """Whether connections wait for their turn."""
        return bool(self._waiting)

    def add(self, connection):
        """Adds a connection whose ``parse_slice(now)`` is called in its turn.

        It returns whether the connection needs another turn. ``is_waiting`` is set
        while the connection waits for a turn.
        """
        if connection.is_waiting:
            return
        connection.is_waiting = True
        self._waiting.append(connection)
        if self._handle is None:
            self._handle = asyncio.get_running_loop().call_soon(self._run)

    def _run(self):
        self._handle = None
        now = self._clock.monotonic()
        end_at = now + TURN_BUDGET_S
        waiting = self._waiting
        while waiting and now < end_at:
            connection = waiting.popleft()
            connection.is_waiting = False
            try:
                if connection.parse_slice(now):
                    connection.is_waiting = True
                    waiting.append(connection)
            except Exception:
                # A failure of one connection must not end the turns of the others.
                log.exception("Received bytes cannot be handled.")
                connection.abort()
            now = self._clock.monotonic()
        if waiting:
            self._handle = asyncio.get_running_loop().call_soon(self._run)

"""Stops a node gracefully, and states what is open until then."""

import asyncio

from ..base._logs import logger
from ..base._pauses import RECORD_PERIOD_S
from ..links import finish_links
from ._stop_schedule import make_stop_schedule

# Time for the last responses if the process was paused until the end of its stop.
MIN_FLUSH_TIME_S = 0.1
# A peer that runs closes a finished link within a round trip.
UNCONFIRMED_TIMEOUT_S = 0.5
STOP_POLL_PERIOD_S = 0.05

log = logger("node")


class Drainer:
    """Stops the parts of a node in order.

    :param settings: :class:`~figpick.nodes.NodeSettings`.
    :param clock: :class:`~figpick.base._clock.Clock`.
    :param entry: :class:`~figpick.nodes._entry.EntryServer`.
    :param forwarder: :class:`~figpick.nodes._forwarding.Forwarder`.
    :param owner: :class:`~figpick.nodes._owner.Owner`.
    :param links: function that returns the open links of the node by the role of the
        process at their other end, as a dict of lists.
    :param pauses: :class:`~figpick.base._pauses.PauseDetector`.
    """

    def __init__(self, settings, clock, entry, forwarder, owner, links, pauses):
        self._settings = settings
        self._clock = clock
        self._entry = entry
        self._forwarder = forwarder
        self._owner = owner
        self._links = links
        self._pauses = pauses

    def __repr__(self):
        return f"<Drainer {self.open_work()}>"

    def open_work(self):
        """Returns what is open, as a JSON value.

        ``calls`` are those that this node received, ``executions`` those at its
        upstream, both by state. ``unsent_bytes`` are those that links have not yet
        passed to the network, by the role of the peer.
        """
        now = self._clock.monotonic()
        ages_s = (
            self._forwarder.oldest_call_age_s(now),
            self._owner.oldest_execution_age_s(now),
        )
        return {
            "calls": self._forwarder.call_counts(),
            "executions": self._owner.execution_counts(),
            "unsent_bytes": {
                role: sum(link.unsent_bytes for link in links)
                for role, links in self._links().items()
            },
            "oldest_s": round(max(ages_s), 3),
        }

    async def record_pauses(self):
        """Records that the process runs until cancelled."""
        while True:
            self._pauses.record(self._clock.monotonic())
            await asyncio.sleep(RECORD_PERIOD_S)

    async def run(self, announce_left, stop_links):
        """Stops the node and returns when the process may exit.

        Requests are read until their clients have had the time to leave. All of them
        get a response within the grace period.

        :param announce_left: announces that the node has left.
        :param stop_links: ends accepting and dialling links.
        """
        # The grace time counts from the signal, which may have waited.
        started_at = self._pauses.earliest_signal_at(self._clock.monotonic())
        stop = make_stop_schedule(started_at, self._settings.grace_s)
        self._entry.stop_keep_alive()
        self._forwarder.begin_stop(stop)
        self._owner.begin_stop(stop)
        since_s = round(self._clock.monotonic() - started_at, 2)
        log.notice("Node stops.", extra={"since_s": since_s, **self.open_work()})
        await self._wait(stop.owner_until)
        self._owner.stop_accepting()
        await self._wait(stop.clients_until)
        await self._wait(stop.withdraw_at, self._is_idle)
        if not self._is_idle():
            self._forwarder.withdraw_calls()
            await self._wait(stop.end_at, self._is_idle)
        if not self._is_idle():
            log.warning("Node ends open calls.", extra=self.open_work())
            self._owner.end_calls()
            self._forwarder.end_calls()
        announce_left()
        links = [link for role in self._links().values() for link in role]
        stop_links()
        now = self._clock.monotonic()
        last_exit_at = max(stop.exit_at, now + MIN_FLUSH_TIME_S)
        unsent_bytes, _ = await asyncio.gather(
            finish_links(links, UNCONFIRMED_TIMEOUT_S, last_exit_at - now, self._clock),
            self._wait(last_exit_at, self._has_closed_entry),
        )
        if unsent_bytes:
            log.warning("Links end unsent.", extra={"unsent_bytes": unsent_bytes})
        after_s = round(self._clock.monotonic() - started_at, 2)
        log.notice("Node has stopped.", extra={"after_s": after_s, **self.open_work()})
        self._entry.close()

    async def _wait(self, until, condition=None):
        """Waits until a time, or until a condition is true.

        :param until: monotonic seconds.
        """
        while (now := self._clock.monotonic()) < until:
            if condition is not None and condition():
                return
            await asyncio.sleep(min(STOP_POLL_PERIOD_S, until - now))

    def _is_idle(self):
        return not self._owner.call_count and not self._forwarder.in_flight

    def _has_closed_entry(self):
        # Connections become idle one after the other.
        self._entry.stop_reading()
        return self._entry.is_drained

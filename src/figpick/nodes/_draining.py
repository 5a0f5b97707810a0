"""Stops a node gracefully, and states what is open until then."""

import asyncio

from ..base._logs import logger

# Clients stop using a node after two failed readiness checks, one second apart.
CLIENT_LEAVE_DELAY_S = 2.6
# The upstream receives calls of other nodes until this long after the stop began,
# shortly before the node exits. Most of them finish in the remaining time.
OWNER_STOP_DELAY_S = 1.8
# Calls that are still running this long before the process is killed are aborted.
EXIT_MARGIN_S = 0.8
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
    """

    def __init__(self, settings, clock, entry, forwarder, owner, links):
        self._settings = settings
        self._clock = clock
        self._entry = entry
        self._forwarder = forwarder
        self._owner = owner
        self._links = links

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

    async def run(self, announce_left, finish):
        """Stops the node and returns when the process may exit.

        Calls that exceed the grace period are aborted.

        :param announce_left: announces that the node has left.
        :param finish: closes the links once pending messages have been written.
        """
        started_at = self._clock.monotonic()
        self._entry.stop_keep_alive()
        log.notice("Node stops.", extra=self.open_work())
        await asyncio.sleep(OWNER_STOP_DELAY_S)
        self._owner.stop_accepting()
        end_at = started_at + self._settings.grace_s - EXIT_MARGIN_S
        while (now := self._clock.monotonic()) < end_at:
            is_busy = self._owner.call_count or self._forwarder.in_flight
            if now - started_at >= CLIENT_LEAVE_DELAY_S and not is_busy:
                # A request could still arrive on an open connection, so connections
                # are closed before the last check.
                self._entry.close_idle()
                if self._entry.is_drained:
                    break
            await asyncio.sleep(STOP_POLL_PERIOD_S)
        announce_left()
        after_s = round(self._clock.monotonic() - started_at, 2)
        log.notice("Node has stopped.", extra={"after_s": after_s, **self.open_work()})
        self._entry.close()
        finish()
        # The last writes are sent in the next iterations of the event loop.
        await asyncio.sleep(STOP_POLL_PERIOD_S)

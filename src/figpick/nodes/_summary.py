"""Logs what a node did in the last seconds."""

import asyncio

from ..base._logs import logger

SUMMARY_PERIOD_S = 5.0

log = logger("node")


class Summary:
    """Logs the calls, the load and the limits of a node periodically.

    :param process: :class:`~figpick.nodes.NodeProcess`.
    """

    def __init__(self, process):
        self._process = process
        self._outcomes = {}
        self._sent_requests = 0

    def __repr__(self):
        return f"<Summary of {self._process!r}>"

    async def run(self):
        """Writes a line per period until cancelled."""
        while True:
            await asyncio.sleep(SUMMARY_PERIOD_S)
            log.notice("Calls of the last seconds.", extra=self._take())

    def _take(self):
        """Returns the fields of a line, with counts since the last one."""
        process = self._process
        owner = process.owner
        outcomes = dict(process.counters.outcomes)
        counts = {
            f"{route} {outcome}": count - self._outcomes.get((route, outcome), 0)
            for (route, outcome), count in outcomes.items()
            if count != self._outcomes.get((route, outcome), 0)
        }
        sent_requests = owner.sent_requests - self._sent_requests
        self._outcomes = outcomes
        self._sent_requests = owner.sent_requests
        return {
            "seconds": SUMMARY_PERIOD_S,
            "counts": counts,
            "load": list(owner.load()),
            "upstream_requests": sent_requests,
            "upstream_limit_per_s": owner.notices.rate_limit,
            "levels": owner.queue.levels(),
            "shares": process.admitted_shares(),
            "revision": process.revision,
            "controls": process.open_control_links,
        }

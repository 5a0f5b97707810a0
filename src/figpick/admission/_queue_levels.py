"""The pressure on the queue of one upstream, and the admission levels that follow."""

from ._offered_load import ENTRY_SHARE, entry_share
from ._throttle import AdmissionLevel

MIN_FREE_SHARE = 0.05
# Time in which the backlog should drain. Calling services hold their slots for the
# calls that wait here and then send no more, so the offered load does not show it.
BACKLOG_DRAIN_S = 0.3
# Gain by which the share reserved for entry requests follows the difference between
# their fair share of the slots and the slots that they use, ten times a second.
ENTRY_SHARE_GAIN = 0.1


class QueueLevels:
    """Base class of the queue that derives admission levels from its load."""

    def pressure(self, rank, now):
        """Returns the load that a rank offers to each slot that it may use.

        Above 1, more calls arrive or wait than can run soon. The rank may not use
        slots for more urgent calls or slots reserved for entry requests.

        :param rank: rank of nested calls.
        :param now: monotonic seconds.
        """
        if not self._limit:
            return 0.0
        return self._pressure(rank, self._offered.slot_use(rank, self._limit, now))

    def level(self, rank, now):
        """Returns the share of the keys for which a rank has capacity, from 0.05 to 1.

        :param rank: rank of nested calls.
        :param now: monotonic seconds.
        """
        level = self._levels.get(rank)
        if level is None:
            level = self._levels[rank] = AdmissionLevel()
        return level.update(lambda: self._measure_pressure(rank, now), now)

    def levels(self):
        """Returns the last level of each rank whose level is below 1."""
        return {
            rank: round(level.value, 2)
            for rank, level in self._levels.items()
            if level.value < 1.0
        }

    def _measure_pressure(self, rank, now):
        if not self._limit:
            return 0.0
        use = self._offered.slot_use(rank, self._limit, now)
        if use.entries:
            # Entry requests also take slots that become free between nested calls, and
            # hold them for long. Fewer slots are then reserved for them.
            used = self._running_entries / self._limit
            fair = self._fair_entry_share(rank, use)
            reserved = self._entry_share + ENTRY_SHARE_GAIN * (fair - used)
            self._entry_share = min(ENTRY_SHARE, max(MIN_FREE_SHARE, reserved))
        return max(self._pressure(rank, use), self._rate_pressure(rank, now))

    def _rate_pressure(self, rank, now):
        per_s = self._rate_limit.per_s
        if per_s is None:
            return 0.0
        use = self._offered_calls.slot_use(rank, per_s, now)
        queued = sum(other.is_queued for _, _, other in self._waiting.get(rank, ()))
        demand = use.nested + queued / (BACKLOG_DRAIN_S * per_s)
        return demand / max(use.free, MIN_FREE_SHARE)

    def _pressure(self, rank, use):
        reserved = min(self._entry_share, self._fair_entry_share(rank, use))
        entry_slots = min(ENTRY_SHARE, use.less_urgent_entries + reserved)
        free = use.free
        if use.entries:
            # More urgent calls cannot use this share, which entry requests keep.
            free = max(free, min(ENTRY_SHARE, use.entries))
        demand = use.nested + self._queued_work_s.get(rank, 0.0) / (
            BACKLOG_DRAIN_S * self._limit
        )
        return demand / max(free - entry_slots, MIN_FREE_SHARE)

    def _fair_entry_share(self, rank, use):
        """Returns the fair share of the slots for entry requests of a priority."""
        level = self._levels.get(rank)
        # Requests that entries refuse because of this level also count as demand.
        demand = use.nested / level.value if level else use.nested
        return entry_share(use.entries, demand, use.free)

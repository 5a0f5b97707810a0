"""The only place that reads the time."""

import time


class Clock:
    """Reads the clocks of the host."""

    def monotonic(self):
        """Seconds that never go back, for durations."""
        return time.monotonic()

    def wall(self):
        """Seconds since the epoch, for deadlines that cross hosts."""
        return time.time()

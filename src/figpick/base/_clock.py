"""Access to the clocks of the host; no other module reads the time."""

import time


class Clock:
    """Reads the clocks of the host."""

    def monotonic(self):
        """Returns monotonic time in seconds, for measuring durations."""
        return time.monotonic()

    def wall(self):
        """Returns seconds since the epoch, for deadlines sent to other hosts."""
        return time.time()

"""A bounded queue of calls that wait for a permit."""

import heapq
from itertools import count


class WaitQueue:
    """Orders waiting calls by priority, then by age.

    :param length: most calls that wait.
    """

    def __init__(self, length):
        self._length = length
        self._entries = []
        self._order = count()

    def __len__(self):
        return len(self._entries)

    def push(self, priority, item):
        """Adds a call.

        :return: the call that lost its place: ``None``, a less important one, or
            ``item`` itself when all others matter more.
        """
        heapq.heappush(self._entries, (-priority, next(self._order), item))
        if len(self._entries) <= self._length:
            return None
        last = max(self._entries)
        self._entries.remove(last)
        heapq.heapify(self._entries)
        return last[2]

    def pop(self):
        """Removes the most important, oldest call, or gives ``None``."""
        if not self._entries:
            return None
        return heapq.heappop(self._entries)[2]

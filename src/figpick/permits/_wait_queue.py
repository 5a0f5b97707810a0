"""Bounded queue of calls that wait for a permit."""

import heapq
from itertools import count


class WaitQueue:
    """Orders waiting calls by priority, then by age.

    :param length: maximum number of waiting calls.
    """

    def __init__(self, length):
        self._length = length
        self._heap = []
        self._live = {}
        self._by_importance = [0] * 10
        self._order = count()

    def __len__(self):
        return len(self._live)

    @property
    def by_importance(self):
        """Number of waiting calls, for importance 0 to 9."""
        return tuple(self._by_importance)

    def push(self, priority, item, now):
        """Adds a call.

        :param priority: importance plus a fraction from the hash bucket, from 0 to
            below 10.
        :param now: monotonic seconds.
        :return: the call dropped from a full queue, which is ``item`` itself if all
            others are more important, or ``None``.
        """
        self.restore(priority, item, now)
        if len(self._live) <= self._length:
            return None
        return self._drop_last()

    def restore(self, priority, item, since):
        """Adds a call that was removed before, even if the queue is full.

        :param since: monotonic seconds at which the call began to wait.
        """
        order = (-priority, since, next(self._order))
        self._live[item] = order
        self._by_importance[int(priority)] += 1
        heapq.heappush(self._heap, (*order, item))

    def outranks(self, priority):
        """Returns whether a waiting call precedes a new one of a priority."""
        first = self.peek()
        return first is not None and -self._live[first][0] >= priority

    def pop(self):
        """Removes and returns the oldest of the most important calls, or ``None``."""
        item = self.peek()
        if item is not None:
            heapq.heappop(self._heap)
            self._forget(item)
        return item

    def peek(self):
        """Returns the oldest of the most important calls, or ``None``."""
        while self._heap:
            *order, item = self._heap[0]
            if self._live.get(item) == tuple(order):
                return item
            heapq.heappop(self._heap)
        return None

    def remove(self, item):
        """Removes a call that no longer waits."""
        if item in self._live:
            self._forget(item)
            if len(self._heap) > 2 * len(self._live) + 16:
                self._compact()

    def resize(self, length):
        """Changes the maximum number of waiting calls without dropping any."""
        self._length = length

    def _drop_last(self):
        last = max(self._live, key=self._live.__getitem__)
        self.remove(last)
        return last

    def _forget(self, item):
        negative_priority, *_ = self._live.pop(item)
        self._by_importance[int(-negative_priority)] -= 1

    def _compact(self):
        self._heap = [(*order, item) for item, order in self._live.items()]
        heapq.heapify(self._heap)

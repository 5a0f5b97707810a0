"""Limits how often a node sends a request to a second upstream.

The limit of a service applies to all nodes together. Each node may retry only a share
of its own requests, so nodes need not exchange any data. A retried request makes its
nested calls again. These count as retries of the called services as well, which leaves
fewer retries for other calls there.
"""

from collections import deque

# Part of the limit that a node spends itself. Nested calls of retried requests are not
# spread evenly over nodes, and a node that receives many of them cannot refuse them;
# the rest of the limit is left for these. Each layer of a call graph may add some.
USABLE_SHARE = 0.5
# Retries that a node may make in each window at any load.
MIN_RETRIES = 1


class RetryBudget:
    """Retries of one service at one node.

    :param ratio: retries that all nodes together may make for each request.
    :param window_s: length in seconds of the sliding window to which the ratio applies.
    """

    def __init__(self, ratio, window_s):
        self._ratio = ratio * USABLE_SHARE
        self._window_s = window_s
        self._buckets = deque()
        self._requests = 0
        self._retries = 0

    def __repr__(self):
        return f"<RetryBudget {self._retries} for {self._requests}>"

    def count_request(self, now, is_retry=False):
        """Counts a first attempt.

        :param now: monotonic seconds.
        :param is_retry: whether a retried request makes this call, which then counts
            as a retry for its service.
        """
        bucket = self._bucket(now)
        if is_retry:
            bucket[2] += 1
            self._retries += 1
        else:
            bucket[1] += 1
            self._requests += 1

    def take(self, now):
        """Spends a retry if the budget allows one.

        :param now: monotonic seconds.
        :return: whether the retry may be made.
        """
        bucket = self._bucket(now)
        if self._retries + 1 > MIN_RETRIES + self._ratio * self._requests:
            return False
        bucket[2] += 1
        self._retries += 1
        return True

    def _bucket(self, now):
        buckets = self._buckets
        while buckets and now - buckets[0][0] > self._window_s:
            _, requests, retries = buckets.popleft()
            self._requests -= requests
            self._retries -= retries
        if not buckets or now - buckets[-1][0] >= self._window_s / 20:
            buckets.append([now, 0, 0])
        return buckets[-1]

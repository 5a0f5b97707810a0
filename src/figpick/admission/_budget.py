"""How often a node may send a request to a second upstream.

The bound is one for a service over all nodes. Each node spends a share of its own
requests only, so no exchange between nodes is needed. A repeated request repeats the
calls that it makes: these count at the services below as well, and leave less for
repetitions of their own there.
"""

from collections import deque

# The calls of repeated requests are not spread evenly over nodes, and a node that has
# many of them cannot take them back; the rest of the bound is for these.
SAFE_SHARE = 0.7
# Repetitions that a node may make in each window at any load.
FLOOR = 1


class RetryBudget:
    """Retries of one service at one node.

    :param ratio: repetitions for each request that all nodes together may make.
    :param window_s: sliding window in seconds for which the ratio holds.
    """

    def __init__(self, ratio, window_s):
        self._ratio = ratio * SAFE_SHARE
        self._window_s = window_s
        self._buckets = deque()
        self._requests = 0
        self._retries = 0

    def __repr__(self):
        return f"<RetryBudget {self._retries} for {self._requests}>"

    def count_request(self, now, is_retry=False):
        """Notes a first attempt.

        :param now: monotonic seconds.
        :param is_retry: whether a repeated request makes this call, which then is a
            repetition for its service.
        """
        bucket = self._bucket(now)
        if is_retry:
            bucket[2] += 1
            self._retries += 1
        else:
            bucket[1] += 1
            self._requests += 1

    def take(self, now):
        """Takes a retry when the budget allows one.

        :param now: monotonic seconds.
        :return: whether the retry may be made.
        """
        bucket = self._bucket(now)
        if self._retries + 1 > FLOOR + self._ratio * self._requests:
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

"""A bounded table whose entries expire after a fixed time."""


class ExpiringTable:
    """Keeps entries for a fixed time and evicts the oldest ones when full.

    :param lifetime_s: seconds for which an entry is kept.
    :param capacity: maximum number of entries.
    """

    def __init__(self, lifetime_s, capacity):
        self._lifetime_s = lifetime_s
        self._capacity = capacity
        self._entries = {}

    def __len__(self):
        return len(self._entries)

    def __iter__(self):
        return iter(self._entries)

    def get(self, key, now):
        """Returns the value of an entry, or ``None`` if it is absent or expired.

        :param now: monotonic time in seconds.
        """
        entry = self._entries.get(key)
        if entry is None or entry[0] <= now:
            return None
        return entry[1]

    def put(self, key, value, now):
        """Sets an entry and restarts its lifetime.

        :param now: monotonic time in seconds.
        """
        self._entries.pop(key, None)
        self._entries[key] = (now + self._lifetime_s, value)
        self._trim(now)

    def drop(self, key):
        """Removes an entry.

        :return: whether the entry existed.
        """
        return self._entries.pop(key, None) is not None

    def items(self, now):
        """Returns the entries that have not expired.

        :param now: monotonic time in seconds.
        :return: list of tuples of key, remaining seconds and value.
        """
        return [
            (key, expires_at - now, value)
            for key, (expires_at, value) in self._entries.items()
            if expires_at > now
        ]

    def _trim(self, now):
        while self._entries:
            key = next(iter(self._entries))
            is_full = len(self._entries) > self._capacity
            if not is_full and self._entries[key][0] > now:
                return
            del self._entries[key]

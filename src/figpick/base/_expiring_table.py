"""A bounded table whose entries expire after a fixed time."""


class ExpiringTable:
    """Keeps entries for a fixed time and evicts the oldest ones when full.

    :param lifetime_s: seconds for which an entry is kept.
    :param capacity: most entries.
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
        """Gives an entry, or ``None`` when there is none or it has expired.

        :param now: monotonic seconds.
        """
        entry = self._entries.get(key)
        if entry is None or entry[0] <= now:
            return None
        return entry[1]

    def put(self, key, value, now):
        """Sets an entry, which then lives for the whole time again.

        :param now: monotonic seconds.
        """
        self._entries.pop(key, None)
        self._entries[key] = (now + self._lifetime_s, value)
        self._trim(now)

    def drop(self, key):
        """Removes an entry.

        :return: whether there was one.
        """
        return self._entries.pop(key, None) is not None

    def items(self, now):
        """Lists the keys, the seconds left and the values.

        :param now: monotonic seconds.
        """
        return [
            (key, expires_at - now, value)
            for key, (expires_at, value) in self._entries.items()
            if expires_at > now
        ]

    def _trim(self, now):
        while self._entries:
            key = next(iter(self._entries))
            full = len(self._entries) > self._capacity
            if not full and self._entries[key][0] > now:
                return
            del self._entries[key]

"""Which upstreams have announced their end, as part of the replicated state.

Processes beside upstreams have no disk. If all of them are killed, a late heartbeat of
an upstream that was acknowledged as leaving would make it look ready again.
"""

MAX_HOSTS = 4096
# Heartbeats are seconds late at most, and an upstream takes seconds to start.
MAX_PER_HOST = 8


class Departures:
    """Keys of the incarnations that have left, by host."""

    def __init__(self):
        self._hosts = {}
        self._last_index = 0

    def __repr__(self):
        return f"<Departures of {len(self._hosts)} hosts>"

    def __contains__(self, departure):
        return departure.incarnation in self._hosts.get(departure.host, {})

    @property
    def last_index(self):
        """Log index of the newest departure, 0 without one."""
        return self._last_index

    def add(self, departure, index):
        """Adds a departure.

        :param departure: :class:`~figpick.configuration.Departure`.
        :param index: its log index.
        """
        if departure in self:
            return
        known = self._hosts.pop(departure.host, {})
        known[departure.incarnation] = index
        if len(known) > MAX_PER_HOST:
            del known[next(iter(known))]
        # The host that was changed last is the last to be removed.
        self._hosts[departure.host] = known
        if len(self._hosts) > MAX_HOSTS:
            del self._hosts[next(iter(self._hosts))]
        self._last_index = index

    def of_host(self, host, after=0):
        """Returns the keys of the incarnations that have left a host, oldest first.

        :param host: name of its node.
        :param after: log index; earlier departures are left out.
        """
        known = self._hosts.get(host, {})
        return [key for key, index in known.items() if index > after]

    def encode(self):
        """Returns the state as a JSON value."""
        return {"hosts": self._hosts, "last": self._last_index}

    def restore(self, state):
        """Replaces the state by one that :meth:`encode` returned."""
        self._hosts = state["hosts"]
        self._last_index = state["last"]

"""Member records and the rules that merge them."""

from typing import NamedTuple

COLD = "cold"
READY = "ready"
DRAINING = "draining"
LEFT = "left"
SUSPECT = "suspect"
FAILED = "failed"

TAKES_CALLS = frozenset((COLD, READY, SUSPECT))


class Member(NamedTuple):
    """What is known of one process.

    :param incarnation: start time of the process, milliseconds since the epoch.
    :param version: number of the change within the incarnation.
    :param upstream_address: ``ip:port`` of the upstream beside a node, or empty.
    :param slots: requests that the upstream runs at once.
    """

    name: str
    incarnation: int
    version: int
    state: str
    role: str
    service: str
    peer_address: str
    call_address: str
    upstream_address: str
    data_center: str
    region: str
    slots: int
    connections: int

    @property
    def order(self):
        """Position among the records of the same process; the highest wins."""
        return self.incarnation, self.version


class Members:
    """The view of all processes.

    :param own: record of this process.
    """

    def __init__(self, own):
        self._own_name = own.name
        self._members = {own.name: own}
        self._listeners = []

    def __len__(self):
        return len(self._members)

    def __iter__(self):
        return iter(self._members.values())

    @property
    def own(self):
        """Record of this process."""
        return self._members[self._own_name]

    def get(self, name):
        """Gives the record of a process, or ``None``."""
        return self._members.get(name)

    def listen(self, listener):
        """Calls ``listener(member)`` after each change."""
        self._listeners.append(listener)

    def update_own(self, **changes):
        """Changes the record of this process and raises its version."""
        record = self.own._replace(version=self.own.version + 1, **changes)
        self._store(record)

    def merge(self, record):
        """Takes a record from another process.

        :param record: :class:`Member`.
        :return: whether the view changed.
        """
        if record.name == self._own_name:
            return self._refute(record)
        known = self._members.get(record.name)
        if known is not None and record.order <= known.order:
            return False
        self._store(record)
        return True

    def of_service(self, service):
        """Lists the members whose upstream belongs to a service."""
        return [
            member
            for member in self._members.values()
            if member.service == service and member.upstream_address
        ]

    def _refute(self, record):
        own = self.own
        if record.order <= own.order or record == own:
            return False
        version = max(record.version, own.version) + 1
        self._store(own._replace(version=version))
        return True

    def _store(self, record):
        self._members[record.name] = record
        for listener in self._listeners:
            listener(record)

"""Member records, their merge rules and their retention."""

from sys import intern
from typing import NamedTuple

from ._reply_tracker import ReplyTracker

COLD = "cold"
READY = "ready"
DRAINING = "draining"
LEFT = "left"
SUSPECT = "suspect"
FAILED = "failed"

CALLABLE_STATES = frozenset((COLD, READY, SUSPECT))
INACTIVE_STATES = frozenset((LEFT, FAILED))
UNRESPONSIVE_STATES = frozenset((SUSPECT, FAILED))

FAILED_AFTER_S = 5.0
# A late update must not restore the record of a member that left.
TOMBSTONE_S = 600.0
# A region may be partitioned for hours, after which its members must be found.
FAILED_RETENTION_S = 24 * 3600.0

# Other processes change only the state of a record, so at equal versions the
# state that they assigned takes precedence.
_STATE_RANKS = {SUSPECT: 1, FAILED: 2, LEFT: 3}


class Member(NamedTuple):
    """Record of one process.

    :param incarnation: start time of the process, milliseconds since the epoch.
    :param version: number of the record change within the incarnation.
    :param upstream_address: ``ip:port`` of the upstream on the host of a node,
        or empty.
    :param slots: requests that the upstream runs concurrently.
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
        """Sort key among records of the same process; the highest takes precedence."""
        return self.incarnation, self.version, _STATE_RANKS.get(self.state, 0)


def decode(fields):
    """Decodes a record from a message.

    :param fields: JSON array; additional fields of a later release are ignored.
    :return: :class:`Member`.
    :raises TypeError: when fields are missing.
    """
    record = Member(*fields[: len(Member._fields)])
    # Few distinct strings occur in these fields, so each is stored once.
    return record._replace(
        state=intern(record.state),
        role=intern(record.role),
        service=intern(record.service),
        data_center=intern(record.data_center),
        region=intern(record.region),
    )


class Members:
    """Membership view: the records of all known processes.

    :param own: record of this process.
    """

    def __init__(self, own):
        self._own_name = own.name
        self._members = {own.name: own}
        self._names_by_address = {own.peer_address: own.name}
        self._listeners = []
        self._expiring = {}
        self._others = None
        self._calling_nodes = None
        self.reply_tracker = ReplyTracker()

    def __len__(self):
        return len(self._members)

    def __iter__(self):
        return iter(self._members.values())

    @property
    def own(self):
        """Record of this process."""
        return self._members[self._own_name]

    def get(self, name):
        """Returns the record of a process, or ``None``."""
        return self._members.get(name)

    def find_by_address(self, peer_address):
        """Returns the record of the process at a peer address, or ``None``."""
        return self._members.get(self._names_by_address.get(peer_address))

    def others(self):
        """Returns the other processes that have neither left nor failed.

        The list is cached until the next change and must not be modified.
        """
        if self._others is None:
            self._others = [
                member
                for member in self._members.values()
                if member.state not in INACTIVE_STATES and member.name != self._own_name
            ]
        return self._others

    def calling_nodes(self):
        """Returns the names of all calling nodes, including this one.

        The set is cached until the next change and must not be modified.
        """
        if self._calling_nodes is None:
            self._calling_nodes = {
                member.name
                for member in self._members.values()
                if member.call_address and member.state not in INACTIVE_STATES
            }
        return self._calling_nodes

    def add_listener(self, listener):
        """Registers ``listener(member)``, called after each change of a record."""
        self._listeners.append(listener)

    def update_own(self, **changes):
        """Updates the record of this process and increments its version."""
        record = self.own._replace(version=self.own.version + 1, **changes)
        self._store(record)

    def merge(self, record):
        """Merges a record that another process sent.

        :param record: :class:`Member`.
        :return: whether the view changed.
        """
        if record.name == self._own_name:
            return self._refute(record)
        known = self._members.get(record.name)
        if known is not None and record.order <= known.order:
            return False
        if known is None and record.state == FAILED:
            # Processes forget failed members at different times and must not
            # restore each other's deleted records.
            return False
        self._store(record)
        return True

    def suspect(self, name, now):
        """Marks a member as suspect after it replied neither directly nor to helpers.

        :param now: monotonic seconds.
        :return: whether the member was not suspected before.
        """
        known = self._members.get(name)
        if known is None or name == self._own_name or name in self._expiring:
            return False
        # A draining member keeps its state, because a suspect may receive calls.
        if known.state != DRAINING:
            self._store(known._replace(state=SUSPECT))
        self._expiring[name] = (known.incarnation, known.version, now)
        return True

    def expire(self, now):
        """Marks suspects as failed, and deletes old records of inactive members.

        :param now: monotonic seconds.
        """
        for name, (incarnation, version, since) in list(self._expiring.items()):
            record = self._members[name]
            changed = (record.incarnation, record.version) != (incarnation, version)
            if changed or since is None:
                self._start_expiry(record, now)
            elif record.state == DRAINING and self._has_replied_since(record, since):
                del self._expiring[name]
            elif now - since >= self._retention_s(record):
                self._expire_record(record)

    def is_reachable(self, name):
        """Returns whether calls may be routed to a member.

        A suspect or failed member is excluded only when the last message from this
        process to it failed as well, so processes in a network partition keep the
        members that they can reach.

        :return: ``False`` for an unknown member or one that left.
        """
        member = self._members.get(name)
        if member is None or member.state == LEFT:
            return False
        if member.state not in UNRESPONSIVE_STATES:
            return True
        return self.reply_tracker.get(member.peer_address).consecutive_failures == 0

    def of_service(self, service):
        """Returns the members that have an upstream of a service."""
        return [
            member
            for member in self._members.values()
            if member.service == service and member.upstream_address
        ]

    def _refute(self, record):
        own = self.own
        if record.order <= own.order or record == own:
            return False
        self._store(
            own._replace(incarnation=record.incarnation, version=record.version + 1)
        )
        return True

    def _store(self, record):
        known = self._members.get(record.name)
        if known is not None and known.peer_address != record.peer_address:
            self._names_by_address.pop(known.peer_address, None)
        self._members[record.name] = record
        self._others = None
        self._calling_nodes = None
        self._names_by_address[record.peer_address] = record.name
        if record.state in UNRESPONSIVE_STATES or record.state == LEFT:
            if record.name != self._own_name:
                self._start_expiry(record, None)
        else:
            self._expiring.pop(record.name, None)
        for listener in self._listeners:
            listener(record)

    def _start_expiry(self, record, now):
        self._expiring[record.name] = (record.incarnation, record.version, now)

    def _has_replied_since(self, record, since):
        last_reply_at = self.reply_tracker.get(record.peer_address).last_reply_at
        return last_reply_at is not None and last_reply_at > since

    def _retention_s(self, record):
        if record.state == LEFT:
            return TOMBSTONE_S
        return FAILED_RETENTION_S if record.state == FAILED else FAILED_AFTER_S

    def _expire_record(self, record):
        if record.state in INACTIVE_STATES:
            self._forget(record)
        else:
            self._store(record._replace(state=FAILED))

    def _forget(self, record):
        del self._members[record.name]
        self._others = None
        self._calling_nodes = None
        del self._expiring[record.name]
        if self._names_by_address.get(record.peer_address) == record.name:
            del self._names_by_address[record.peer_address]
        self.reply_tracker.forget(record.peer_address)

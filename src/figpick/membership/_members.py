"""Member records, the rules that merge them and the time they are kept."""

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
# A late update of a member that left must not restore its record.
TOMBSTONE_S = 600.0
# A region may be cut off for hours, and its members must be found again.
FAILED_RETENTION_S = 24 * 3600.0

# Others change only the state of a record, so at equal versions the verdict wins.
_RANKS = {SUSPECT: 1, FAILED: 2, LEFT: 3}


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
        return self.incarnation, self.version, _RANKS.get(self.state, 0)


def decode(fields):
    """Reads a record from a message.

    :param fields: JSON array; fields of a later release at its end are ignored.
    :return: :class:`Member`.
    :raises TypeError: when fields are missing.
    """
    record = Member(*fields[: len(Member._fields)])
    # Few different texts occur in these fields, so each is kept once.
    return record._replace(
        state=intern(record.state),
        role=intern(record.role),
        service=intern(record.service),
        data_center=intern(record.data_center),
        region=intern(record.region),
    )


class Members:
    """The view of all processes.

    :param own: record of this process.
    """

    def __init__(self, own):
        self._own_name = own.name
        self._members = {own.name: own}
        self._names = {own.peer_address: own.name}
        self._listeners = []
        self._waiting = {}
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
        """Gives the record of a process, or ``None``."""
        return self._members.get(name)

    def at(self, peer_address):
        """Gives the record of the process at a peer address, or ``None``."""
        return self._members.get(self._names.get(peer_address))

    def others(self):
        """Lists the other processes that have neither left nor failed.

        The list is shared until the next change and must not be changed.
        """
        if self._others is None:
            self._others = [
                member
                for member in self._members.values()
                if member.state not in INACTIVE_STATES and member.name != self._own_name
            ]
        return self._others

    def calling_nodes(self):
        """Gives the names of the nodes that may call, this one included.

        The set is shared until the next change and must not be changed.
        """
        if self._calling_nodes is None:
            self._calling_nodes = {
                member.name
                for member in self._members.values()
                if member.call_address and member.state not in INACTIVE_STATES
            }
        return self._calling_nodes

    def add_listener(self, listener):
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
        if known is None and record.state == FAILED:
            # Processes forget failed members at different times and must not
            # restore the record at each other.
            return False
        self._store(record)
        return True

    def suspect(self, name, now):
        """Notes that a member answers neither this process nor others.

        :param now: monotonic seconds.
        :return: whether the suspicion is new.
        """
        known = self._members.get(name)
        if known is None or name == self._own_name or name in self._waiting:
            return False
        # The state of a draining member is kept, since a suspect takes calls.
        if known.state != DRAINING:
            self._store(known._replace(state=SUSPECT))
        self._waiting[name] = (known.incarnation, known.version, now)
        return True

    def expire(self, now):
        """Declares suspects as failed and forgets records that ended long ago.

        :param now: monotonic seconds.
        """
        for name, (incarnation, version, since) in list(self._waiting.items()):
            record = self._members[name]
            changed = (record.incarnation, record.version) != (incarnation, version)
            if changed or since is None:
                self._wait(record, now)
            elif record.state == DRAINING and self._answered_after(record, since):
                del self._waiting[name]
            elif now - since >= self._limit_s(record):
                self._end(record)

    def is_reachable(self, name):
        """Tells whether calls may be routed to a member.

        A suspect or failed member is dropped only when the last message of this
        process to it failed as well, so a part of the network that is cut off
        keeps what it can reach.

        :return: ``False`` for an unknown member and one that left.
        """
        member = self._members.get(name)
        if member is None or member.state == LEFT:
            return False
        if member.state not in UNRESPONSIVE_STATES:
            return True
        return self.reply_tracker.get(member.peer_address).consecutive_failures == 0

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
        self._store(
            own._replace(incarnation=record.incarnation, version=record.version + 1)
        )
        return True

    def _store(self, record):
        known = self._members.get(record.name)
        if known is not None and known.peer_address != record.peer_address:
            self._names.pop(known.peer_address, None)
        self._members[record.name] = record
        self._others = None
        self._calling_nodes = None
        self._names[record.peer_address] = record.name
        if record.state in UNRESPONSIVE_STATES or record.state == LEFT:
            if record.name != self._own_name:
                self._wait(record, None)
        else:
            self._waiting.pop(record.name, None)
        for listener in self._listeners:
            listener(record)

    def _wait(self, record, now):
        self._waiting[record.name] = (record.incarnation, record.version, now)

    def _answered_after(self, record, since):
        last_reply_at = self.reply_tracker.get(record.peer_address).last_reply_at
        return last_reply_at is not None and last_reply_at > since

    def _limit_s(self, record):
        if record.state == LEFT:
            return TOMBSTONE_S
        return FAILED_RETENTION_S if record.state == FAILED else FAILED_AFTER_S

    def _end(self, record):
        if record.state in INACTIVE_STATES:
            self._forget(record)
        else:
            self._store(record._replace(state=FAILED))

    def _forget(self, record):
        del self._members[record.name]
        self._others = None
        self._calling_nodes = None
        del self._waiting[record.name]
        if self._names.get(record.peer_address) == record.name:
            del self._names[record.peer_address]
        self.reply_tracker.forget(record.peer_address)

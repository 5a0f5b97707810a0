"""The log of one member in memory, with the membership that it implies."""

from ._consensus_messages import MEMBERS, NO_MEMBERS, Membership


class Log:
    """Entries after a snapshot.

    :param snapshot: :class:`~figpick.consensus._consensus_messages.Snapshot`.
    :param entries: the entries that follow it.
    """

    def __init__(self, snapshot, entries):
        self._reset(snapshot, entries)

    def __len__(self):
        return len(self._entries)

    @property
    def snapshot(self):
        """Snapshot that covers the prefix that is no longer kept."""
        return self._snapshot

    @property
    def base_index(self):
        """Last index that the snapshot covers."""
        return self._snapshot.index

    @property
    def last_index(self):
        """Index of the last entry."""
        return self._snapshot.index + len(self._entries)

    @property
    def last_term(self):
        """Term of the last entry."""
        return self._entries[-1].term if self._entries else self._snapshot.term

    @property
    def members(self):
        """Membership in force: the latest in the log, committed or not."""
        return self._memberships[-1][1]

    @property
    def members_index(self):
        """Index of the entry that set the membership in force."""
        return self._memberships[-1][0]

    def members_at(self, index):
        """Gives the membership in force at an index."""
        known = [members for at, members in self._memberships if at <= index]
        return known[-1] if known else NO_MEMBERS

    def term_at(self, index):
        """Gives the term of an entry, ``None`` when it is not kept."""
        if index == 0:
            return 0
        if index == self._snapshot.index:
            return self._snapshot.term
        if self._snapshot.index < index <= self.last_index:
            return self._entries[index - self._snapshot.index - 1].term
        return None

    def slice(self, first, last):
        """Gives the entries from ``first`` to ``last``, both included."""
        base = self._snapshot.index + 1
        return self._entries[first - base : last - base + 1]

    def first_of_term(self, index):
        """Gives the first kept index that has the term of the entry at ``index``."""
        term = self.term_at(index)
        while index > self._snapshot.index + 1 and self.term_at(index - 1) == term:
            index -= 1
        return index

    def append(self, entry):
        """Adds an entry; entries from its index on are removed first."""
        self._truncate(entry.index)
        self._entries.append(entry)
        if entry.kind == MEMBERS:
            self._memberships.append((entry.index, Membership(**entry.data)))

    def compact(self, snapshot):
        """Replaces the prefix that a snapshot covers.

        Entries after it are kept only if the log contains its last entry.
        """
        keeps_rest = self.term_at(snapshot.index) == snapshot.term
        rest = self.slice(snapshot.index + 1, self.last_index) if keeps_rest else []
        self._reset(snapshot, rest)

    def _reset(self, snapshot, entries):
        self._snapshot = snapshot
        self._entries = []
        self._memberships = [(snapshot.index, snapshot.members)]
        for entry in entries:
            self.append(entry)

    def _truncate(self, index):
        del self._entries[index - self._snapshot.index - 1 :]
        while self._memberships[-1][0] >= index:
            self._memberships.pop()

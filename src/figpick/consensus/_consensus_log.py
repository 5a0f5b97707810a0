"""In-memory log of one member, and the membership that results from it."""

from ._consensus_messages import MEMBERS, NO_MEMBERS, Membership


class Log:
    """Entries that follow a snapshot.

    :param snapshot: :class:`~figpick.consensus._consensus_messages.Snapshot`.
    :param entries: the entries that follow it.
    """

    def __init__(self, snapshot, entries):
        self._reset(snapshot, entries)

    def __len__(self):
        return len(self._entries)

    @property
    def snapshot(self):
        """Snapshot that replaces the dropped prefix of the log."""
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
        """Active membership: the latest one in the log, committed or not."""
        return self._memberships[-1][1]

    @property
    def members_index(self):
        """Index of the entry that set the active membership."""
        return self._memberships[-1][0]

    def members_at(self, index):
        """Returns the membership that was active at an index."""
        members_so_far = [
            members
            for start_index, members in self._memberships
            if start_index <= index
        ]
        return members_so_far[-1] if members_so_far else NO_MEMBERS

    def term_at(self, index):
        """Returns the term of an entry, or ``None`` if the log does not contain it."""
        if index == 0:
            return 0
        if index == self._snapshot.index:
            return self._snapshot.term
        if self._snapshot.index < index <= self.last_index:
            return self._entries[index - self._snapshot.index - 1].term
        return None

    def slice(self, first, last):
        """Returns the entries from ``first`` to ``last``, both included."""
        base = self._snapshot.index + 1
        return self._entries[first - base : last - base + 1]

    def first_index_of_term(self, index):
        """Returns the first kept index with the same term as the entry at ``index``."""
        term = self.term_at(index)
        while index > self._snapshot.index + 1 and self.term_at(index - 1) == term:
            index -= 1
        return index

    def append(self, entry):
        """Appends an entry, after removing all entries from its index onwards."""
        self._truncate(entry.index)
        self._entries.append(entry)
        if entry.kind == MEMBERS:
            self._memberships.append((entry.index, Membership(**entry.data)))

    def compact(self, snapshot):
        """Replaces the prefix of the log that a snapshot covers.

        Entries after the snapshot are kept only if the log contains the last entry
        that the snapshot covers.
        """
        is_rest_kept = self.term_at(snapshot.index) == snapshot.term
        rest = self.slice(snapshot.index + 1, self.last_index) if is_rest_kept else []
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

"""What a leader knows of the other members, and reads that it must confirm."""

from collections import deque

from ._consensus_messages import PROTOCOL_VERSION


class Progress:
    """Replication to one member.

    ``in_flight`` is the last index that was sent and not answered, 0 if none.

    :param next_index: first index to send.
    :param now: monotonic seconds.
    """

    __slots__ = (
        "match",
        "next_index",
        "in_flight",
        "sent_at",
        "offset",
        "snapshot_index",
        "last_reply_at",
        "round",
        "version",
    )

    def __init__(self, next_index, now):
        self.match = 0
        self.next_index = next_index
        self.in_flight = 0
        self.sent_at = now
        self.offset = 0
        self.snapshot_index = 0
        self.last_reply_at = now
        self.round = 0
        self.version = PROTOCOL_VERSION

    def heard(self, reply, now):
        """Notes a reply of the current term."""
        self.last_reply_at = now
        self.round = max(self.round, reply.round)
        self.version = reply.v

    def advance(self, match):
        """Notes that the member has stored the log up to ``match``."""
        self.match = max(self.match, match)
        self.next_index = max(self.next_index, self.match + 1)
        if self.match >= self.in_flight:
            self.in_flight = 0

    def fall_back(self, hint):
        """Notes that the log of the member differs.

        :param hint: last index that may be equal.
        :return: whether an earlier entry is sent next.
        """
        self.in_flight = 0
        before = self.next_index
        self.next_index = max(self.match + 1, min(hint + 1, before - 1))
        return self.next_index < before


class Leadership:
    """One term as leader.

    :param own_id: identity of the leader.
    :param now: monotonic seconds.
    """

    def __init__(self, own_id, now):
        self._own_id = own_id
        self._progress = {}
        self._started_at = now
        self.heartbeat_at = now
        self.round = 0
        self._waiting_reads = []
        self._open_reads = deque()

    @property
    def progress(self):
        """:class:`Progress` by identity, without the leader itself."""
        return self._progress

    @property
    def has_waiting_reads(self):
        """Whether reads wait for a round."""
        return bool(self._waiting_reads)

    @property
    def has_open_round(self):
        """Whether reads wait for replies."""
        return bool(self._open_reads)

    def update_members(self, members, last_index, now):
        """Adds and removes members after a change of membership."""
        known = self._progress
        self._progress = {
            identity: known.get(identity) or Progress(last_index + 1, now)
            for identity in members.addresses
            if identity != self._own_id
        }

    def stored_by_quorum(self, members, own_index):
        """Gives the highest index that a majority of the voters has stored.

        :param own_index: last index that the leader has synced.
        """
        stored = sorted(
            own_index if identity == self._own_id else self._progress[identity].match
            for identity in members.voters
        )
        return stored[(len(stored) - 1) // 2] if stored else 0

    def hears_quorum(self, members, now, window_s):
        """Tells whether a majority of the voters replied within the window."""
        return members.is_quorum(
            {self._own_id}
            | {
                identity
                for identity, progress in self._progress.items()
                if now - progress.last_reply_at < window_s
            }
        )

    def add_read(self, request):
        """Adds a read that waits for the next round."""
        self._waiting_reads.append(request)

    def start_round(self, readable):
        """Starts a round of heartbeats; waiting reads are tied to it.

        :param readable: whether an entry of the own term is committed.
        """
        self.round += 1
        if readable:
            for request in self._waiting_reads:
                self._open_reads.append((self.round, request))
            self._waiting_reads = []

    def take_confirmed_reads(self, members):
        """Takes the requests whose round a quorum has confirmed."""
        confirmed = []
        while self._open_reads and self._is_confirmed(self._open_reads[0][0], members):
            confirmed.append(self._open_reads.popleft()[1])
        return confirmed

    def _is_confirmed(self, number, members):
        return members.is_quorum(
            {self._own_id}
            | {
                identity
                for identity, progress in self._progress.items()
                if progress.round >= number
            }
        )

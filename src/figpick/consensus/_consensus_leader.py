"""Replication progress of the other members, and reads that need confirmation."""

from collections import deque

from ._consensus_messages import PROTOCOL_VERSION


class Progress:
    """Replication progress of one member.

    ``match`` is the last index known to equal the log of the leader.
    ``in_flight_index`` is the last index that was sent without a reply so far, 0 if
    none. ``last_reply_at`` is the monotonic time of the last reply in seconds,
    initially the time of creation.

    :param next_index: first index to send.
    :param now: monotonic seconds.
    """

    __slots__ = (
        "match",
        "next_index",
        "in_flight_index",
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
        self.in_flight_index = 0
        self.sent_at = now
        self.offset = 0
        self.snapshot_index = 0
        self.last_reply_at = now
        self.round = 0
        self.version = PROTOCOL_VERSION

    def record_reply(self, reply, now):
        """Records a reply of the current term.

        :param reply: :class:`AppendReply` or :class:`InstallReply`.
        :param now: monotonic seconds.
        """
        self.last_reply_at = now
        self.round = max(self.round, reply.round)
        self.version = reply.v

    def advance(self, match):
        """Records that the member has stored the log up to index ``match``."""
        self.match = max(self.match, match)
        self.next_index = max(self.next_index, self.match + 1)
        if self.match >= self.in_flight_index:
            self.in_flight_index = 0

    def decrease_next_index(self, hint):
        """Decreases the next index after the member reported that its log differs.

        :param hint: last index at which the logs may be equal.
        :return: whether the next index decreased.
        """
        self.in_flight_index = 0
        previous_index = self.next_index
        self.next_index = max(self.match + 1, min(hint + 1, previous_index - 1))
        return self.next_index < previous_index


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
        self._unconfirmed_reads = deque()

    @property
    def progress(self):
        """:class:`Progress` by identity, without the leader itself."""
        return self._progress

    @property
    def has_waiting_reads(self):
        """Whether reads wait for the next round."""
        return bool(self._waiting_reads)

    @property
    def has_unconfirmed_reads(self):
        """Whether reads wait for the replies of a started round."""
        return bool(self._unconfirmed_reads)

    def update_members(self, members, last_index, now):
        """Adds and removes members after a change of membership.

        :param members: active :class:`Membership`.
        :param last_index: last index of the log.
        :param now: monotonic seconds.
        """
        previous = self._progress
        self._progress = {
            identity: previous.get(identity) or Progress(last_index + 1, now)
            for identity in members.addresses
            if identity != self._own_id
        }

    def last_index_stored_by_quorum(self, members, own_index):
        """Returns the highest index that a majority of the voters has stored.

        :param members: active :class:`Membership`.
        :param own_index: last index that the leader has synced.
        """
        match_indexes = sorted(
            own_index if identity == self._own_id else self._progress[identity].match
            for identity in members.voters
        )
        return match_indexes[(len(match_indexes) - 1) // 2] if match_indexes else 0

    def has_quorum_contact(self, members, now, window_s):
        """Returns whether the leader is in contact with a majority of the voters.

        :param members: active :class:`Membership`.
        :param now: monotonic seconds.
        :param window_s: maximum age of a reply in seconds.
        """
        return members.is_quorum(
            {self._own_id}
            | {
                identity
                for identity, progress in self._progress.items()
                if now - progress.last_reply_at < window_s
            }
        )

    def add_read(self, request):
        """Adds a read, which waits for the next round of heartbeats.

        :param request: value that :meth:`take_confirmed_reads` returns later.
        """
        self._waiting_reads.append(request)

    def start_round(self, can_confirm_reads):
        """Starts a round of heartbeats, whose replies confirm the waiting reads.

        :param can_confirm_reads: whether an entry of the current term is committed;
            if not, the reads wait for a later round.
        """
        self.round += 1
        if can_confirm_reads:
            for request in self._waiting_reads:
                self._unconfirmed_reads.append((self.round, request))
            self._waiting_reads = []

    def take_confirmed_reads(self, members):
        """Returns and removes the requests whose round a quorum has confirmed."""
        confirmed = []
        while self._unconfirmed_reads and self._is_confirmed(
            self._unconfirmed_reads[0][0], members
        ):
            confirmed.append(self._unconfirmed_reads.popleft()[1])
        return confirmed

    def _is_confirmed(self, round_number, members):
        return members.is_quorum(
            {self._own_id}
            | {
                identity
                for identity, progress in self._progress.items()
                if progress.round >= round_number
            }
        )

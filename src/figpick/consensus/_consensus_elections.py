"""Leader election with pre-vote."""

from ._consensus_core import (
    CANDIDATE,
    LEADER,
    MIN_ELECTION_S,
    PRE_CANDIDATE,
    Core,
)
from ._consensus_leader import Leadership
from ._consensus_messages import NOOP, Transfer, Vote, VoteReply


class Elections(Core):
    """Campaigns for leadership and replies to candidates."""

    def transfer_leadership(self, now):
        """Asks the voter with the longest log to take over, if this process leads.

        :param now: monotonic seconds.
        """
        if not self.is_leader:
            return
        candidates = [
            (progress.match, progress.last_reply_at, identity)
            for identity, progress in self.progress.items()
            if identity in self.members.voters
        ]
        if candidates:
            successor = max(candidates)[2]
            self._messages.append(Transfer(self._id, successor, self._term))

    def _on_transfer(self, message, now):
        is_current = message.term == self._term and message.sender == self._leader
        if is_current and self._id in self.members.voters:
            self._campaign(CANDIDATE, now, is_transfer=True)

    def _campaign(self, role, now, is_transfer=False):
        self._leader = None
        self._role = role
        self._votes = {self._id}
        term = self._term + 1
        if role == CANDIDATE:
            self._reset_election(now)
            self._set_state(term, self._id)
        else:
            self._schedule_pre_vote_retry(now)
        for identity in self.members.voters:
            if identity != self._id:
                self._messages.append(
                    Vote(
                        sender=self._id,
                        to=identity,
                        term=term,
                        last_index=self._log.last_index,
                        last_term=self._log.last_term,
                        pre=role == PRE_CANDIDATE,
                        is_transfer=is_transfer,
                    )
                )
        self._count_votes(now)

    def _count_votes(self, now):
        if not self.members.is_quorum(self._votes):
            return
        if self._role == PRE_CANDIDATE:
            self._campaign(CANDIDATE, now)
        else:
            self._become_leader(now)

    def _become_leader(self, now):
        self._role = LEADER
        self._leader = self._id
        self._leadership = Leadership(self._id, now)
        self._leadership.update_members(self.members, self._log.last_index, now)
        # Entries of earlier terms are committed only together with an entry of the
        # current term.
        self._append_entry(NOOP, None)
        self._broadcast(now)

    def _has_live_leader(self, now):
        if self.is_leader:
            return True
        return (
            self._leader is not None
            and now - self._last_leader_message_at < MIN_ELECTION_S
        )

    def _is_up_to_date(self, message):
        own_position = self._log.last_term, self._log.last_index
        return (message.last_term, message.last_index) >= own_position

    def _on_vote(self, message, now):
        # Members with a live leader do not reply, so that a process that returns
        # from a partition or was removed cannot end a term.
        if self._has_live_leader(now) and not message.is_transfer:
            return
        if message.pre:
            granted = message.term > self._term and self._is_up_to_date(message)
        else:
            if message.term > self._term:
                self._become_follower(message.term, None, now)
            can_vote_for_sender = self._vote in (None, message.sender)
            granted = (
                message.term == self._term
                and can_vote_for_sender
                and self._is_up_to_date(message)
            )
            if granted:
                self._set_state(self._term, message.sender)
                self._reset_election(now)
        term = message.term if granted else self._term
        self._messages.append(
            VoteReply(self._id, message.sender, term, granted, message.pre)
        )

    def _on_vote_reply(self, message, now):
        if not message.granted:
            if message.term > self._term:
                self._become_follower(message.term, None, now)
            return
        role = PRE_CANDIDATE if message.pre else CANDIDATE
        term = self._term + 1 if message.pre else self._term
        if self._role == role and message.term == term:
            self._votes.add(message.sender)
            self._count_votes(now)

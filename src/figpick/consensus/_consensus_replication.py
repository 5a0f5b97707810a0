"""Replication of entries and snapshots to the other members."""

import msgspec

from ..base._errors import FigpickError
from ._consensus_core import FOLLOWER
from ._consensus_elections import Elections
from ._consensus_messages import (
    Append,
    AppendReply,
    Install,
    InstallReply,
    Snapshot,
)

HEARTBEAT_S = 0.15
# Entries and parts of a snapshot without a reply are retried after these times. Parts
# take longer to transfer.
ENTRIES_RETRY_S = 0.3
PART_RETRY_S = 1.0
MAX_BATCH_ENTRIES = 256
# A batch ends with the entry that exceeds this size.
BATCH_LIMIT_BYTES = 1024 * 1024
SNAPSHOT_PART_BYTES = 256 * 1024


class Replication(Elections):
    """Sends the log while leading and stores the received log while following."""

    snapshot_part_bytes = SNAPSHOT_PART_BYTES

    def _on_append(self, message, now):
        if message.term < self._term:
            self._reply_to_append(message, False, 0)
            return
        self._follow_sender(message, now)
        last = message.prev_index + len(message.entries)
        # Entries that the snapshot covers are committed and equal on all members.
        is_covered = message.prev_index < self._log.base_index
        known_term = self._log.term_at(message.prev_index)
        if not is_covered and known_term != message.prev_term:
            self._reply_to_append(message, False, self._match_hint(message.prev_index))
            return
        self._append_received(message.entries)
        self._commit_index = max(self._commit_index, min(message.commit, last))
        self._reply_to_append(message, True, last)

    def _on_append_reply(self, message, now):
        progress = self._progress_of(message, now)
        if progress is None:
            return
        progress.record_reply(message, now)
        if message.ok:
            progress.advance(message.match)
            self._advance_commit(now)
        elif not progress.decrease_next_index(message.match):
            # The member lost or changed entries that it had synced. The next heartbeat
            # retries; an immediate retry would cause an endless exchange of messages.
            return
        self._send_next(message.sender, progress, now)

    def _on_install(self, message, now):
        reply = InstallReply(
            sender=self._id,
            to=message.sender,
            term=max(self._term, message.term),
            index=message.index,
            offset=0,
            round=message.round,
        )
        if message.term >= self._term:
            self._follow_sender(message, now)
            offset, match = self._receive_part(message)
            reply = reply._replace(offset=offset, match=match)
        self._messages.append(reply)

    def _on_install_reply(self, message, now):
        progress = self._progress_of(message, now)
        if progress is None:
            return
        progress.record_reply(message, now)
        if message.match:
            progress.advance(message.match)
            self._advance_commit(now)
        elif message.index == progress.snapshot_index:
            progress.offset = message.offset
            progress.in_flight_index = 0
        self._send_next(message.sender, progress, now)

    def _follow_sender(self, message, now):
        if message.term > self._term or self._role != FOLLOWER:
            self._become_follower(message.term, message.sender, now)
        self._leader = message.sender
        self._last_leader_message_at = now
        self._reset_election(now)

    def _progress_of(self, reply, now):
        if reply.term > self._term:
            self._become_follower(reply.term, None, now)
        if not self.is_leader or reply.term < self._term:
            return None
        return self._leadership.progress.get(reply.sender)

    def _reply_to_append(self, message, ok, match):
        self._messages.append(
            AppendReply(self._id, message.sender, self._term, ok, match, message.round)
        )

    def _match_hint(self, index):
        if index > self._log.last_index:
            return self._log.last_index
        return max(self._commit_index, self._log.first_index_of_term(index) - 1)

    def _append_received(self, entries):
        for entry in entries:
            if entry.index <= self._log.base_index:
                continue
            if self._log.term_at(entry.index) == entry.term:
                continue
            if entry.index <= self._commit_index:
                raise FigpickError(f"entry {entry.index} is committed and differs")
            self._log.append(entry)
            self._new_entries.append(entry)

    def _receive_part(self, message):
        if message.index <= self._commit_index:
            return 0, self._commit_index
        key = message.index, message.last_term
        if (
            message.offset == 0
            or self._incoming_snapshot is None
            or self._incoming_snapshot[0] != key
        ):
            self._incoming_snapshot = (key, bytearray())
        data = self._incoming_snapshot[1]
        if message.offset != len(data):
            return len(data), 0
        data.extend(message.data)
        if not message.done:
            return len(data), 0
        self._incoming_snapshot = None
        self._new_snapshot = Snapshot(
            message.index, message.last_term, message.members, bytes(data)
        )
        self._log.compact(self._new_snapshot)
        self._commit_index = self._delivered_index = message.index
        return len(data), message.index

    def _has_committed_own_term(self):
        return self._log.term_at(self._commit_index) == self._term

    def _advance_commit(self, now):
        index = self._leadership.last_index_stored_by_quorum(
            self.members, self._synced_index
        )
        # Only entries of the current term are counted; they commit all earlier ones.
        if index <= self._commit_index or self._log.term_at(index) != self._term:
            return
        self._commit_index = index
        # Followers receive the new commit index now, not with the next heartbeat.
        self._broadcast(now)
        is_removed = self._id not in self.members.voters
        if is_removed and self._log.members_index <= index:
            self._become_follower(self._term, None, now)

    def _confirm_reads(self, now):
        leadership = self._leadership
        self._confirmed_reads.extend(leadership.take_confirmed_reads(self.members))
        has_waiting = (
            leadership.has_waiting_reads and not leadership.has_unconfirmed_reads
        )
        if has_waiting and self._has_committed_own_term():
            self._broadcast(now)

    def _broadcast(self, now):
        leadership = self._leadership
        leadership.heartbeat_at = now + HEARTBEAT_S
        leadership.start_round(self._has_committed_own_term())
        for identity, progress in leadership.progress.items():
            self._send(identity, progress, now)
        self._confirm_reads(now)

    def _send_entries(self, now):
        for identity, progress in self._leadership.progress.items():
            if not progress.in_flight_index:
                self._send(identity, progress, now)

    def _send_next(self, identity, progress, now):
        if self._leadership is None:
            return
        is_behind = progress.next_index <= self._log.last_index
        if is_behind and not progress.in_flight_index:
            self._send(identity, progress, now)
        self._confirm_reads(now)

    def _send(self, identity, progress, now):
        base = self._log.base_index
        needs_part = progress.next_index <= base
        retry_s = PART_RETRY_S if needs_part else ENTRIES_RETRY_S
        if progress.in_flight_index and now - progress.sent_at < retry_s:
            # The heartbeat refers to an entry that the member is known to have, or to
            # index 0, which every log contains.
            self._send_append(identity, progress.match * (progress.match >= base))
            return
        progress.sent_at = now
        if needs_part:
            self._send_part(identity, progress)
            return
        first = progress.next_index
        last = min(self._log.last_index, first + MAX_BATCH_ENTRIES - 1)
        entries = _limit_batch(self._log.slice(first, last))
        progress.in_flight_index = entries[-1].index if entries else 0
        self._send_append(identity, first - 1, entries)

    def _send_append(self, identity, prev_index, entries=()):
        self._messages.append(
            Append(
                sender=self._id,
                to=identity,
                term=self._term,
                prev_index=prev_index,
                prev_term=self._log.term_at(prev_index),
                entries=entries,
                commit=self._commit_index,
                round=self._leadership.round,
            )
        )

    def _send_part(self, identity, progress):
        snapshot = self._log.snapshot
        if progress.snapshot_index != snapshot.index:
            progress.snapshot_index = snapshot.index
            progress.offset = 0
        end = progress.offset + self.snapshot_part_bytes
        progress.in_flight_index = snapshot.index
        self._messages.append(
            Install(
                sender=self._id,
                to=identity,
                term=self._term,
                index=snapshot.index,
                last_term=snapshot.term,
                members=snapshot.members,
                offset=progress.offset,
                data=snapshot.data[progress.offset : end],
                done=end >= len(snapshot.data),
                round=self._leadership.round,
            )
        )


def _limit_batch(entries):
    size = 0
    for count, entry in enumerate(entries, 1):
        size += len(msgspec.json.encode(entry))
        if size > BATCH_LIMIT_BYTES:
            return tuple(entries[:count])
    return tuple(entries)

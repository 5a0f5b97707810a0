"""Claims on keyed requests: what a holder records and how a quorum decides.

The rules rest on one invariant: of the in-sync holders of a group, at most one
lacks the record of a granted claim. Any two of them can therefore decide.
"""

from typing import NamedTuple

from ._claim_records import (
    CLAIMED,
    FINISHED,
    RELEASED,
    RETENTION_S,
    Record,
    RecordStore,
    pack,
)
from ._rosters import FIRST_EPOCH, GROUP_SIZE, group_holders

# A holder whose roster has not been confirmed for this long may have been replaced.
EPOCH_LEASE_S = 600.0
MAX_CLOCK_SKEW_S = 1.0
# Keys near the end of their retention are refused slightly early, since the
# clocks of holders differ.
EXPIRY_MARGIN_S = 10.0

GRANTED = "granted"
NONE = "none"
RUNNING = "running"
UNKNOWN = "unknown"
UNSYNCED = "unsynced"
STALE = "stale"
BEHIND = "behind"


class Claim(NamedTuple):
    """A claim, or a lookup of one, as sent to a holder.

    :param service: name of the service.
    :param epoch: epoch of the roster that the claimant uses.
    :param position: first position of the group.
    :param key_hash: identifies the keyed request.
    :param created: creation time of a UUIDv7 key as Unix time in seconds, or
        ``None`` for other keys.
    :param claimant: identifies the claimant.
    :param lifetime_s: seconds until the deadline of the request.
    """

    service: str
    epoch: int
    position: int
    key_hash: str
    created: float | None
    claimant: str
    lifetime_s: float


class Reply(NamedTuple):
    """Reply of a holder to a claim or a lookup.

    :param result: ``granted``, ``none``, ``running``, ``finished``, ``unknown``,
        ``unsynced``, ``stale`` or ``behind``.
    :param response: stored response of a finished request, or ``None``.
    """

    result: str
    response: dict | None = None


class _Group:
    """Records of one group.

    :param joined_at: :class:`~figpick.calls._plans.ClockReading` when this node joined
        it.
    :param is_synced: whether the records are complete.
    """

    def __init__(self, joined_at, is_synced):
        self.joined_at = joined_at
        self.is_synced = is_synced
        self.records = {}


class Holder:
    """Records the claims of the groups to which this node belongs.

    :param name: name of the node.
    :param started_at: :class:`~figpick.calls._plans.ClockReading` when the process
        started.
    """

    def __init__(self, name, started_at):
        self._name = name
        self._started_at = started_at
        self._roster = None
        self._confirmed_at = None
        self._groups = {}
        self._store = RecordStore()

    def __len__(self):
        return self._store.count

    @property
    def epoch(self):
        """Epoch of the active roster, 0 without one."""
        return self._roster["epoch"] if self._roster else 0

    def adopt(self, roster, now):
        """Activates a roster with a higher epoch.

        :param roster: :class:`~figpick.claims._rosters.Roster`.
        :param now: :class:`~figpick.calls._plans.ClockReading`.
        """
        old, self._roster = self._roster, roster
        groups = {}
        for position in range(len(roster["positions"])):
            if self._name in group_holders(roster["positions"], position):
                groups[position] = self._keep_or_create_group(position, old, now)
        for position, group in self._groups.items():
            if groups.get(position) is not group:
                self._store.clear_group(group.records)
        self._groups = groups

    def confirm(self, epoch, requested_at):
        """Records that control confirmed the roster as the current one.

        :param epoch: epoch that control confirmed.
        :param requested_at: monotonic seconds when control was queried.
        """
        if epoch == self.epoch:
            self._confirmed_at = max(requested_at, self._confirmed_at or requested_at)

    def is_confirmed(self, now):
        """Returns whether control confirmed the roster within the epoch lease.

        :param now: :class:`~figpick.calls._plans.ClockReading`.
        """
        at = self._confirmed_at
        return at is not None and now.monotonic - at < EPOCH_LEASE_S

    def claim(self, claim, now):
        """Decides on a claim and records it if it is granted.

        :param claim: :class:`Claim`.
        :param now: :class:`~figpick.calls._plans.ClockReading`.
        :return: :class:`Reply`.
        """
        group, reply = self._find_group(claim, now)
        if reply is not None:
            return reply
        record = group.records.get(claim.key_hash)
        if record is not None and record.state == RELEASED:
            if record.claimant == claim.claimant:
                return Reply(RUNNING)
        elif record is not None:
            if record.state == CLAIMED and record.claimant == claim.claimant:
                return Reply(GRANTED)
            return self._reply_from(record, now)
        if self._store.is_full or not self._is_in_sync(group, claim, now):
            return Reply(UNSYNCED)
        deadline = now.monotonic + claim.lifetime_s
        record = Record(CLAIMED, claim.claimant, now.monotonic, deadline)
        self._store.put(group.records, claim.key_hash, record)
        return Reply(GRANTED)

    def lookup(self, claim, now):
        """Returns whether a claim on the same key is recorded.

        :return: :class:`Reply` with the result ``none`` when this holder is in sync
            and has no record of one.
        """
        group, reply = self._find_group(claim, now)
        if reply is not None:
            return reply
        record = group.records.get(claim.key_hash)
        if record is not None and record.state != RELEASED:
            return self._reply_from(record, now)
        return Reply(NONE if self._is_in_sync(group, claim, now) else UNSYNCED)

    def finish(self, claim, response, now):
        """Records the end of a claimed request.

        :param response: dict with ``status``, ``headers`` and ``body``, or ``None``.
        """
        group = self._get_group(claim)
        if group is None:
            return
        record = group.records.get(claim.key_hash)
        if record is None:
            record = Record(FINISHED, claim.claimant, now.monotonic, now.monotonic)
            self._store.put(group.records, claim.key_hash, record)
        record.state = FINISHED
        self._store.store_response(record, response)

    def release(self, claim, now):
        """Withdraws a claim whose request was definitely not sent."""
        group = self._get_group(claim)
        if group is None:
            return
        record = group.records.get(claim.key_hash)
        if record is None:
            # The claim may arrive after its release.
            record = Record(RELEASED, claim.claimant, now.monotonic, now.monotonic)
            self._store.put(group.records, claim.key_hash, record)
        elif record.state == CLAIMED and record.claimant == claim.claimant:
            record.state = RELEASED

    def unsynced_groups(self):
        """Returns the groups whose records have to be copied from other holders.

        :return: list of tuples of position and names of the other holders.
        """
        return [
            (position, self._other_holders(position))
            for position, group in self._groups.items()
            if not group.is_synced and self._other_holders(position)
        ]

    def serve_copy(self, epoch, position, now):
        """Returns a copy of the records of a group for another holder.

        :param epoch: epoch of the other holder.
        :return: dict with ``epoch``, ``age_s`` of the roster confirmation and
            ``records``, or ``None`` unless this holder is in sync at the same epoch.
        """
        group = self._groups.get(position)
        if group is None or epoch != self.epoch or not self.is_confirmed(now):
            return None
        if not self._is_complete(group, now):
            return None
        self._store.expire(group.records, now.monotonic)
        records = [
            pack(key_hash, record, now.monotonic)
            for key_hash, record in group.records.items()
        ]
        age_s = now.monotonic - self._confirmed_at
        return {"epoch": self.epoch, "age_s": age_s, "records": records}

    def install_copies(self, epoch, position, copies, requested_at, now):
        """Merges the copies of a group from all its other holders.

        :param copies: one result of :meth:`serve_copy` for each other holder.
        :param requested_at: monotonic seconds when the copies were requested.
        :return: whether the group is now in sync.
        """
        group = self._groups.get(position)
        if group is None or epoch != self.epoch:
            return False
        if any(copy is None or copy["epoch"] != epoch for copy in copies):
            return False
        for copy in copies:
            for entry in copy["records"]:
                self._store.merge(group.records, entry, now.monotonic)
            self.confirm(epoch, requested_at - copy["age_s"])
        group.is_synced = True
        return True

    def sweep(self, now):
        """Removes records that are past their retention."""
        for group in self._groups.values():
            self._store.expire(group.records, now.monotonic)

    def dump(self, now):
        """Returns the state as a dict.

        :param now: :class:`~figpick.calls._plans.ClockReading`.
        """
        synced = sum(group.is_synced for group in self._groups.values())
        return {
            "epoch": self.epoch,
            "groups": len(self._groups),
            "in_sync": synced,
            "confirmed": self.is_confirmed(now),
            "records": self._store.count,
            "answer_bytes": self._store.response_bytes,
        }

    def _keep_or_create_group(self, position, old, now):
        known = self._groups.get(position)
        if known is not None and self._is_continuous(position, old):
            return known
        roster = self._roster
        starts_synced = (
            old is None
            and self._is_member_since(position, FIRST_EPOCH)
            and self._started_at.wall + MAX_CLOCK_SKEW_S < roster.get("since", 0.0)
        )
        return _Group(now, starts_synced)

    def _is_continuous(self, position, old):
        size = len(group_holders(self._roster["positions"], position))
        if size < len(group_holders(old["positions"], position)):
            return False
        return self._is_member_since(position, old["epoch"])

    def _is_member_since(self, position, epoch):
        """Returns whether this node has never left the group since an epoch."""
        positions = self._roster["positions"]
        epochs = self._roster.get("epochs") or [self.epoch] * len(positions)
        count = len(positions)
        window = [(position + step) % count for step in range(GROUP_SIZE)]
        return any(
            positions[index] == self._name and epochs[index] <= epoch
            for index in window
        )

    def _find_group(self, claim, now):
        """Returns the group of a claim, or the reply that rejects the claim."""
        if claim.epoch < self.epoch:
            return None, Reply(STALE)
        if claim.epoch > self.epoch:
            return None, Reply(BEHIND)
        group = self._groups.get(claim.position)
        if group is None:
            return None, Reply(UNSYNCED)
        self._store.expire(group.records, now.monotonic)
        record = group.records.get(claim.key_hash)
        unknown = record is None or record.state == RELEASED
        if claim.created is not None and unknown:
            oldest = now.wall - RETENTION_S + EXPIRY_MARGIN_S
            if not oldest < claim.created < now.wall + MAX_CLOCK_SKEW_S:
                return None, Reply(UNKNOWN)
        return group, None

    def _get_group(self, claim):
        return self._groups.get(claim.position) if self._roster else None

    def _is_in_sync(self, group, claim, now):
        if not self.is_confirmed(now):
            return False
        if self._is_complete(group, now):
            return True
        if claim.created is None:
            return False
        return claim.created > self._complete_from(group) + MAX_CLOCK_SKEW_S

    def _is_complete(self, group, now):
        """Returns whether the group holds all records of the retention period.

        Marks it as synced once it has been a holder for a whole retention period.
        """
        if now.wall > self._complete_from(group) + RETENTION_S + MAX_CLOCK_SKEW_S:
            group.is_synced = True
        return group.is_synced

    def _complete_from(self, group):
        """Returns the wall time after which no claim was granted without this holder.

        Holders of an older roster may grant claims until their lease ends.
        """
        if self.epoch == FIRST_EPOCH:
            return self._started_at.wall
        changed = self._roster.get("changed", group.joined_at.wall)
        return max(self._started_at.wall, changed + EPOCH_LEASE_S)

    def _other_holders(self, position):
        names = group_holders(self._roster["positions"], position)
        return [name for name in names if name != self._name]

    def _reply_from(self, record, now):
        if record.state == FINISHED:
            return Reply(FINISHED, record.response)
        running = now.monotonic < record.deadline
        return Reply(RUNNING if running else UNKNOWN)


def decide(replies, size):
    """Combines the replies of a group into one decision.

    :param replies: list of :class:`Reply`; holders that did not reply are absent.
    :param size: number of holders in the group.
    :return: :class:`Reply`; ``granted`` or ``none`` only when a quorum replied so.
    """
    quorum = size // 2 + 1
    results = [reply.result for reply in replies]
    finished = [reply for reply in replies if reply.result == FINISHED]
    if finished:
        return next((reply for reply in finished if reply.response), finished[0])
    for result in (GRANTED, NONE):
        if results.count(result) >= quorum:
            return Reply(result)
    for result in (UNKNOWN, RUNNING, STALE, BEHIND):
        if result in results:
            return Reply(result)
    return Reply(UNSYNCED)

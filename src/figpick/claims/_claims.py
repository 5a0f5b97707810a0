"""Claims on keyed requests: what a holder records and how a quorum decides.

The rules rest on one invariant: of the in-sync holders of a group, at most one
does not know a claim that was granted. Any two of them can therefore decide.
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
from ._rosters import FIRST_EPOCH, GROUP_SIZE, group_of

# A holder whose roster was not confirmed for this long may have been replaced.
EPOCH_LEASE_S = 600.0
CLOCK_SKEW_S = 1.0
# Keys near the end of their retention are refused a little early, since the
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
    """What a claimant tells a holder.

    :param service: name of the service.
    :param epoch: epoch of the roster that the claimant uses.
    :param position: first position of the group.
    :param key_hash: identifies the keyed request.
    :param created: creation time of a UUIDv7, or ``None``.
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
    """What a holder answers.

    :param result: ``granted``, ``none``, ``running``, ``finished``, ``unknown``,
        ``unsynced``, ``stale`` or ``behind``.
    :param answer: stored answer of a finished request, or ``None``.
    """

    result: str
    answer: dict | None = None


class _Group:
    def __init__(self, joined, synced):
        self.joined = joined
        self.synced = synced
        self.records = {}


class Holder:
    """Records the claims of the groups to which this node belongs.

    :param name: name of the node.
    :param started: :class:`~figpick.calls._plans.ClockReading` of the start of the process.
    """

    def __init__(self, name, started):
        self._name = name
        self._started = started
        self._roster = None
        self._confirmed_at = None
        self._groups = {}
        self._store = RecordStore()

    def __len__(self):
        return self._store.count

    @property
    def epoch(self):
        """Epoch of the roster in use, 0 without one."""
        return self._roster["epoch"] if self._roster else 0

    def adopt(self, roster, now):
        """Takes a roster with a higher epoch.

        :param roster: :class:`~figpick.claims._rosters.Roster`.
        :param now: :class:`~figpick.calls._plans.ClockReading`.
        """
        old, self._roster = self._roster, roster
        groups = {}
        for position in range(len(roster["positions"])):
            if self._name in group_of(roster["positions"], position):
                groups[position] = self._join(position, old, now)
        for position, group in self._groups.items():
            if groups.get(position) is not group:
                self._store.forget(group.records)
        self._groups = groups

    def confirm(self, epoch, asked_at):
        """Notes that control confirmed the roster as the current one.

        :param epoch: epoch that control confirmed.
        :param asked_at: monotonic seconds when control was asked.
        """
        if epoch == self.epoch:
            self._confirmed_at = max(asked_at, self._confirmed_at or asked_at)

    def confirmed(self, now):
        """Whether control confirmed the roster within the epoch lease.

        :param now: :class:`~figpick.calls._plans.ClockReading`.
        """
        at = self._confirmed_at
        return at is not None and now.monotonic - at < EPOCH_LEASE_S

    def claim(self, claim, now):
        """Decides on a claim and records it when it is granted.

        :param claim: :class:`Claim`.
        :param now: :class:`~figpick.calls._plans.ClockReading`.
        :return: :class:`Reply`.
        """
        group, reply = self._find(claim, now)
        if reply is not None:
            return reply
        record = group.records.get(claim.key_hash)
        if record is not None and record.state == RELEASED:
            if record.claimant == claim.claimant:
                return Reply(RUNNING)
        elif record is not None:
            if record.state == CLAIMED and record.claimant == claim.claimant:
                return Reply(GRANTED)
            return self._describe(record, now)
        if self._store.full or not self._in_sync(group, claim, now):
            return Reply(UNSYNCED)
        until = now.monotonic + claim.lifetime_s
        record = Record(CLAIMED, claim.claimant, now.monotonic, until)
        self._store.put(group.records, claim.key_hash, record)
        return Reply(GRANTED)

    def lookup(self, claim, now):
        """Tells whether a claim on the same key is known.

        :return: :class:`Reply` with the result ``none`` when an in-sync holder
            knows of none.
        """
        group, reply = self._find(claim, now)
        if reply is not None:
            return reply
        record = group.records.get(claim.key_hash)
        if record is not None and record.state != RELEASED:
            return self._describe(record, now)
        return Reply(NONE if self._in_sync(group, claim, now) else UNSYNCED)

    def finish(self, claim, answer, now):
        """Records the end of a claimed request.

        :param answer: dict with ``status``, ``headers`` and ``body``, or ``None``.
        """
        group = self._group(claim)
        if group is None:
            return
        record = group.records.get(claim.key_hash)
        if record is None:
            record = Record(FINISHED, claim.claimant, now.monotonic, now.monotonic)
            self._store.put(group.records, claim.key_hash, record)
        record.state = FINISHED
        self._store.keep_answer(record, answer)

    def release(self, claim, now):
        """Withdraws a claim whose request was certainly not sent."""
        group = self._group(claim)
        if group is None:
            return
        record = group.records.get(claim.key_hash)
        if record is None:
            # The claim itself may arrive later than its release.
            record = Record(RELEASED, claim.claimant, now.monotonic, now.monotonic)
            self._store.put(group.records, claim.key_hash, record)
        elif record.state == CLAIMED and record.claimant == claim.claimant:
            record.state = RELEASED

    def missing(self):
        """Lists the groups whose records have to be copied.

        :return: list of position and names of the other holders.
        """
        return [
            (position, self._others(position))
            for position, group in self._groups.items()
            if not group.synced and self._others(position)
        ]

    def serve_copy(self, epoch, position, now):
        """Gives the records of a group to another holder.

        :param epoch: epoch of the other holder.
        :return: dict with the age of the confirmation and ``records``, or
            ``None`` unless this holder is in sync at the same epoch.
        """
        group = self._groups.get(position)
        if group is None or epoch != self.epoch or not self.confirmed(now):
            return None
        if not self._complete(group, now):
            return None
        self._store.expire(group.records, now.monotonic)
        records = [
            pack(key_hash, record, now.monotonic)
            for key_hash, record in group.records.items()
        ]
        age_s = now.monotonic - self._confirmed_at
        return {"epoch": self.epoch, "age_s": age_s, "records": records}

    def install(self, epoch, position, copies, asked_at, now):
        """Takes the copies of a group from all its other holders.

        :param copies: one result of :meth:`serve_copy` for each other holder.
        :param asked_at: monotonic seconds when the copies were asked for.
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
            self.confirm(epoch, asked_at - copy["age_s"])
        group.synced = True
        return True

    def sweep(self, now):
        """Removes records that are past their retention."""
        for group in self._groups.values():
            self._store.expire(group.records, now.monotonic)

    def dump(self, now):
        """Gives the state as a dict.

        :param now: :class:`~figpick.calls._plans.ClockReading`.
        """
        synced = sum(group.synced for group in self._groups.values())
        return {
            "epoch": self.epoch,
            "groups": len(self._groups),
            "in_sync": synced,
            "confirmed": self.confirmed(now),
            "records": self._store.count,
            "answer_bytes": self._store.answer_bytes,
        }

    def _join(self, position, old, now):
        known = self._groups.get(position)
        if known is not None and self._continues(position, old):
            return known
        roster = self._roster
        fresh = (
            old is None
            and self._held_since(position, FIRST_EPOCH)
            and self._started.wall + CLOCK_SKEW_S < roster.get("since", 0.0)
        )
        return _Group(now, fresh)

    def _continues(self, position, old):
        size = len(group_of(self._roster["positions"], position))
        if size < len(group_of(old["positions"], position)):
            return False
        return self._held_since(position, old["epoch"])

    def _held_since(self, position, epoch):
        """Whether this node has been in the group without a break since."""
        positions = self._roster["positions"]
        epochs = self._roster.get("epochs") or [self.epoch] * len(positions)
        count = len(positions)
        window = [(position + step) % count for step in range(GROUP_SIZE)]
        return any(
            positions[index] == self._name and epochs[index] <= epoch
            for index in window
        )

    def _find(self, claim, now):
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
            if not oldest < claim.created < now.wall + CLOCK_SKEW_S:
                return None, Reply(UNKNOWN)
        return group, None

    def _group(self, claim):
        return self._groups.get(claim.position) if self._roster else None

    def _in_sync(self, group, claim, now):
        if not self.confirmed(now):
            return False
        if self._complete(group, now):
            return True
        if claim.created is None:
            return False
        return claim.created > self._safe_from(group) + CLOCK_SKEW_S

    def _complete(self, group, now):
        """Whether the group holds all records of its retention period."""
        if now.wall > self._safe_from(group) + RETENTION_S + CLOCK_SKEW_S:
            group.synced = True
        return group.synced

    def _safe_from(self, group):
        """Wall time after which no claim was granted without this holder.

        Holders of an older roster may grant claims until their lease ends.
        """
        if self.epoch == FIRST_EPOCH:
            return self._started.wall
        changed = self._roster.get("changed", group.joined.wall)
        return max(self._started.wall, changed + EPOCH_LEASE_S)

    def _others(self, position):
        names = group_of(self._roster["positions"], position)
        return [name for name in names if name != self._name]

    def _describe(self, record, now):
        if record.state == FINISHED:
            return Reply(FINISHED, record.answer)
        running = now.monotonic < record.until
        return Reply(RUNNING if running else UNKNOWN)


def decide(replies, size):
    """Decides from the replies of a group.

    :param replies: list of :class:`Reply`; holders without an answer are absent.
    :param size: number of holders in the group.
    :return: :class:`Reply`; ``granted`` or ``none`` only by a quorum.
    """
    quorum = size // 2 + 1
    results = [reply.result for reply in replies]
    finished = [reply for reply in replies if reply.result == FINISHED]
    if finished:
        return next((reply for reply in finished if reply.answer), finished[0])
    for wanted in (GRANTED, NONE):
        if results.count(wanted) >= quorum:
            return Reply(wanted)
    for wanted in (UNKNOWN, RUNNING, STALE, BEHIND):
        if wanted in results:
            return Reply(wanted)
    return Reply(UNSYNCED)

"""Decides on changes of quorum membership from the hosts that announce themselves.

There is no configured list of control hosts, so the leader adds control processes
that announce themselves. A process whose disk was lost has a new identity at its old
address. The member with the old identity is removed at once, since that identity can
never return.
"""

from ..consensus._consensus_messages import Membership
from ..consensus._formation import name_of

# A voter is not counted on after this silence. Heartbeats are answered every 0.15 s.
ABSENCE_S = 1.5
# A member that sends no reply for this long is removed, unless the remaining voters
# would be too few. A partition of a few seconds must not reduce the number of copies
# of the log.
MAX_SILENCE_S = 20.0
# A majority of all control hosts must be able to commit, so all of them vote up to the
# size of the largest deployments.
MAX_VOTERS = 11
# A learner becomes a voter when it lacks at most this many entries.
MAX_LAG_ENTRIES = 8


def required_voters(tolerated_losses):
    """Returns the number of voters of which a majority survives the stated losses.

    :param tolerated_losses: control hosts that may be lost at the same time.
    """
    return 2 * tolerated_losses + 1


def next_members(members, own_id, candidates, progress, last_index, min_voters, now):
    """Returns the next membership that the leader should propose.

    :param members: active
        :class:`~figpick.consensus._consensus_messages.Membership`.
    :param own_id: identity of the leader.
    :param candidates: dict of identity to address of the control processes that
        announce themselves.
    :param progress: dict of identity to
        :class:`~figpick.consensus._consensus_leader.Progress`.
    :param last_index: last index of the log.
    :param min_voters: number of voters below which no silent voter is removed.
    :param now: monotonic seconds.
    :return: :class:`Membership`, or ``None`` when no change is needed.
    """
    return (
        _without_replaced(members, own_id, candidates)
        or _with_promoted(members, progress, last_index, now)
        or _with_new(members, candidates)
        or _without_silent(members, own_id, progress, min_voters, now)
    )


def _without_replaced(members, own_id, candidates):
    identity_by_address = {
        address: identity for identity, address in candidates.items()
    }
    for identity, address in members.addresses.items():
        if (
            identity != own_id
            and identity_by_address.get(address, identity) != identity
        ):
            return _without_member(members, identity)
    return None


def _with_new(members, candidates):
    for identity, address in sorted(candidates.items()):
        if identity not in members.addresses:
            learners = {**members.learners, identity: address}
            return members._replace(learners=learners)
    return None


def _with_promoted(members, progress, last_index, now):
    if len(members.voters) >= MAX_VOTERS:
        return None
    for identity, address in sorted(members.learners.items()):
        member_progress = progress.get(identity)
        if member_progress is None or now - member_progress.last_reply_at > 1.0:
            continue
        if last_index - member_progress.match <= MAX_LAG_ENTRIES:
            learners = dict(members.learners)
            del learners[identity]
            return Membership({**members.voters, identity: address}, learners)
    return None


def _without_silent(members, own_id, progress, min_voters, now):
    for identity in sorted(members.addresses):
        member_progress = progress.get(identity)
        if (
            identity == own_id
            or member_progress is None
            or now - member_progress.last_reply_at < MAX_SILENCE_S
        ):
            continue
        if identity in members.voters and len(members.voters) <= min_voters:
            continue
        return _without_member(members, identity)
    return None


def _without_member(members, identity):
    voters = {key: value for key, value in members.voters.items() if key != identity}
    learners = {
        key: value for key, value in members.learners.items() if key != identity
    }
    return Membership(voters, learners) if voters else None


def describe_members(members):
    """Returns the process names of voters and learners, for logs and state dumps."""
    return {
        "voters": sorted(name_of(identity) for identity in members.voters),
        "learners": sorted(name_of(identity) for identity in members.learners),
    }

"""Decides how the members of the quorum follow the hosts that are there.

No list of control hosts is given, so the leader takes in those that announce
themselves. A process whose disk was lost has a new identity at its old address and
replaces the old one at once, since that can never return.
"""

from ..consensus._consensus_messages import Membership
from ..consensus._formation import name_of

# A member that is silent for this long is replaced when enough others are there. A
# partition of some seconds must not cost a copy of the log.
SILENT_S = 20.0
MAX_VOTERS = 7
MIN_VOTERS = 3
# A learner votes once it lacks no more entries than these.
MAX_LAG = 8


def next_members(members, own_id, candidates, progress, last_index, now):
    """Gives the next change of membership.

    :param members: :class:`~figpick.consensus._consensus_messages.Membership` in force.
    :param own_id: identity of the leader, which decides.
    :param candidates: dict of identity to address of the control processes that
        announce themselves.
    :param progress: what the leader knows of each member, by identity.
    :param last_index: last index of the log.
    :param now: monotonic seconds.
    :return: :class:`Membership`, or ``None`` when nothing is to change.
    """
    return (
        _without_replaced(members, own_id, candidates)
        or _with_promoted(members, progress, last_index, now)
        or _with_new(members, candidates)
        or _without_silent(members, own_id, progress, now)
    )


def _without_replaced(members, own_id, candidates):
    at = {address: identity for identity, address in candidates.items()}
    for identity, address in members.addresses.items():
        if identity != own_id and at.get(address, identity) != identity:
            return _without(members, identity)
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
        known = progress.get(identity)
        if known is None or now - known.last_reply_at > 1.0:
            continue
        if last_index - known.match <= MAX_LAG:
            learners = dict(members.learners)
            del learners[identity]
            return Membership({**members.voters, identity: address}, learners)
    return None


def _without_silent(members, own_id, progress, now):
    for identity in sorted(members.addresses):
        known = progress.get(identity)
        if identity == own_id or known is None or now - known.last_reply_at < SILENT_S:
            continue
        if identity in members.voters and len(members.voters) <= MIN_VOTERS:
            continue
        return _without(members, identity)
    return None


def _without(members, identity):
    voters = {key: value for key, value in members.voters.items() if key != identity}
    learners = {
        key: value for key, value in members.learners.items() if key != identity
    }
    return Membership(voters, learners) if voters else None


def describe(members):
    """Gives the addresses of voters and learners, for logs."""
    return {
        "voters": sorted(name_of(identity) for identity in members.voters),
        "learners": sorted(name_of(identity) for identity in members.learners),
    }

"""Decides on changes of quorum membership from the hosts that announce themselves.

There is no configured list of control hosts, so the leader adds control processes
that announce themselves. A process whose disk was lost has a new identity at its old
address. The member with the old identity is removed at once, since that identity can
never return.

A host that is gone for good looks like one that is cut off or restarts, so no voter is
removed merely because it is silent. What counts is how many disks may be lost now: the
voters that answer, less a majority of all voters. An absent voter is therefore removed
when that does not lower this number and frees a place: when the number of voters is
even, or when a learner is ready to take the place. It returns as a learner.

The number of voters is kept odd, because a sixth voter raises the majority without
bearing another loss. A single further host stays a learner, ready to replace a voter.
"""

from typing import NamedTuple

from ..consensus._consensus_messages import Membership
from ..consensus._formation import name_of

# A voter is not counted on after this silence. Heartbeats are answered every 0.15 s.
ABSENCE_S = 1.5
# The same for a voter that has announced that it stops. A shorter silence would count
# a host as absent that has started again, while its new record is on the way.
LEFT_ABSENCE_S = 0.4
# A member that sends no reply for this long is removed, unless the remaining voters
# would be too few. A partition of a few seconds must not reduce the number of copies
# of the log.
MAX_SILENCE_S = 20.0
# A majority of all control hosts must be able to commit, so all of them vote up to the
# size of the largest deployments. Odd, see above.
MAX_VOTERS = 11
# A learner becomes a voter when it lacks at most this many entries and has replied
# within this time.
MAX_LAG_ENTRIES = 8
MAX_LEARNER_SILENCE_S = 1.0


class ControlHost(NamedTuple):
    """A host whose control process has announced itself.

    :param identity: identity of the process and its disk.
    :param address: address of the process.
    :param is_connected: whether the leader has an open link to this process.
    :param has_left: whether it has announced that it stops.
    """

    identity: str
    address: str
    is_connected: bool = True
    has_left: bool = False


def required_voters(tolerated_losses):
    """Returns the number of voters of which a majority survives the stated losses.

    :param tolerated_losses: control hosts that may be lost at the same time.
    """
    return 2 * tolerated_losses + 1


def is_absent(silent_s, has_left):
    """Returns whether a member is not counted on for a majority.

    :param silent_s: seconds since its last message, ``None`` without any.
    :param has_left: whether it has announced that it stops.
    """
    limit_s = LEFT_ABSENCE_S if has_left else ABSENCE_S
    return silent_s is None or silent_s >= limit_s


def next_members(members, own_id, hosts, progress, last_index, min_voters, now):
    """Returns the next membership that the leader should propose.

    :param members: active
        :class:`~figpick.consensus._consensus_messages.Membership`.
    :param own_id: identity of the leader.
    :param hosts: list of :class:`ControlHost`.
    :param progress: dict of identity to
        :class:`~figpick.consensus._consensus_leader.Progress`.
    :param last_index: last index of the log.
    :param min_voters: number of voters that bears the stated losses.
    :param now: monotonic seconds.
    :return: :class:`Membership`, or ``None`` when no change is needed.
    """
    silent_s = {
        identity: now - member_progress.last_reply_at
        for identity, member_progress in progress.items()
        if identity != own_id
    }
    left = {host.identity for host in hosts if host.has_left}
    ready = [
        identity
        for identity in sorted(members.learners)
        if identity not in left
        and silent_s.get(identity, MAX_SILENCE_S) <= MAX_LEARNER_SILENCE_S
        and last_index - progress[identity].match <= MAX_LAG_ENTRIES
    ]
    return (
        _without_replaced(members, own_id, hosts)
        or _without_absent(members, silent_s, left, ready, min_voters)
        or _with_promoted(members, own_id, ready, progress, silent_s)
        or _with_new(members, hosts)
        or _without_silent(members, silent_s, min_voters)
    )


def _without_replaced(members, own_id, hosts):
    # The record of a host that is gone may name an address that another host has now.
    identity_by_address = {
        host.address: host.identity for host in hosts if host.is_connected
    }
    for identity, address in members.addresses.items():
        if (
            identity != own_id
            and identity_by_address.get(address, identity) != identity
        ):
            return _without_member(members, identity)
    return None


def _without_absent(members, silent_s, left, ready, min_voters):
    count = len(members.voters)
    absent = [
        identity
        for identity in members.voters
        if identity in silent_s and is_absent(silent_s[identity], identity in left)
    ]
    absent.sort(key=lambda identity: (identity not in left, -silent_s[identity]))
    has_majority = 2 * len(absent) < count
    if not absent or not has_majority:
        return None
    is_even = count % 2 == 0
    if (is_even and count > min_voters) or (not is_even and ready):
        return _without_member(members, absent[0])
    # Two that have left and do not return make the quorum bear one loss less.
    have_left = [
        identity
        for identity in absent
        if identity in left and silent_s[identity] >= ABSENCE_S
    ]
    if not is_even and have_left[1:] and count >= min_voters + 2:
        return _without_member(members, absent[0])
    return None


def _with_promoted(members, own_id, ready, progress, silent_s):
    count = len(members.voters)
    is_even = count % 2 == 0
    if not ready or count >= MAX_VOTERS:
        return None
    # Two learners become voters together, but not if they are the successors of voters
    # that are gone. A new leader has to hear from the voters first.
    are_all_heard = all(
        identity == own_id
        or (progress[identity].match and silent_s[identity] < LEFT_ABSENCE_S)
        for identity in members.voters
    )
    if not is_even and not (ready[1:] and are_all_heard):
        return None
    learners = dict(members.learners)
    address = learners.pop(ready[0])
    return Membership({**members.voters, ready[0]: address}, learners)


def _with_new(members, hosts):
    for host in sorted(hosts):
        is_available = host.is_connected and not host.has_left
        if is_available and host.identity not in members.addresses:
            learners = {**members.learners, host.identity: host.address}
            return members._replace(learners=learners)
    return None


def _without_silent(members, silent_s, min_voters):
    for identity in sorted(members.addresses):
        if silent_s.get(identity, 0.0) < MAX_SILENCE_S:
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

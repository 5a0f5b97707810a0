"""Changes of quorum membership after hosts appear, disappear or lose their disk."""

from types import SimpleNamespace

from figpick.consensus._consensus_messages import Membership
from figpick.control._reconfiguration import (
    MAX_SILENCE_S,
    next_members,
    required_voters,
)

VOTERS = {"a:1#x": "a:1", "b:1#x": "b:1", "c:1#x": "c:1"}


def progress_of(*identities, at=100.0, match=50):
    return {each: SimpleNamespace(last_reply_at=at, match=match) for each in identities}


def step(members, candidates, progress, tolerated_losses=1, now=100.0):
    min_voters = required_voters(tolerated_losses)
    return next_members(members, "a:1#x", candidates, progress, 50, min_voters, now)


def test_nothing_changes_while_all_members_reply():
    members = Membership(VOTERS, {})
    assert step(members, VOTERS, progress_of("b:1#x", "c:1#x")) is None


def test_member_with_a_new_disk_is_replaced():
    """Guards against a lost disk that counts towards the quorum forever."""
    members = Membership(VOTERS, {})
    candidates = {**VOTERS, "c:1#y": "c:1"}
    del candidates["c:1#x"]
    progress = progress_of("b:1#x", "c:1#x")
    members = step(members, candidates, progress)
    assert set(members.voters) == {"a:1#x", "b:1#x"}
    members = step(members, candidates, progress)
    assert set(members.learners) == {"c:1#y"}
    assert step(members, candidates, progress) is None
    progress = progress_of("b:1#x") | progress_of("c:1#y", match=10)
    assert step(members, candidates, progress) is None
    members = step(members, candidates, progress_of("b:1#x", "c:1#y"))
    assert set(members.voters) == {"a:1#x", "b:1#x", "c:1#y"}
    assert not members.learners


def test_one_voter_changes_at_a_time():
    members = Membership(VOTERS, {})
    candidates = {"a:1#x": "a:1", "b:1#y": "b:1", "c:1#y": "c:1"}
    after = step(members, candidates, progress_of("b:1#x", "c:1#x"))
    assert len(set(after.voters) ^ set(members.voters)) == 1


def test_silent_member_stays_while_only_three_vote():
    """Guards against a partition that reduces the number of copies of the log."""
    members = Membership(VOTERS, {})
    progress = progress_of("b:1#x") | progress_of("c:1#x", at=100.0 - 2 * MAX_SILENCE_S)
    assert step(members, VOTERS, progress) is None


def test_silent_member_is_removed_once_its_successor_votes():
    voters = {**VOTERS, "d:1#x": "d:1"}
    members = Membership(voters, {})
    candidates = dict(voters)
    progress = progress_of("b:1#x", "d:1#x") | progress_of(
        "c:1#x", at=100.0 - 2 * MAX_SILENCE_S
    )
    assert set(step(members, candidates, progress).voters) == {
        "a:1#x",
        "b:1#x",
        "d:1#x",
    }


def test_silent_voter_stays_while_the_stated_losses_need_it():
    """Guards against a quorum that loses its majority with two disks.

    Five voters are needed where two disks may be lost; the fifth must not be removed
    because its host is silent.
    """
    voters = {f"{name}:1#x": f"{name}:1" for name in "abcde"}
    progress = progress_of("b:1#x", "c:1#x", "d:1#x") | progress_of(
        "e:1#x", at=100.0 - 2 * MAX_SILENCE_S
    )
    members = Membership(voters, {})
    assert step(members, voters, progress, tolerated_losses=2) is None
    assert len(step(members, voters, progress, tolerated_losses=1).voters) == 4


def test_all_control_hosts_become_voters():
    """Guards against a majority of control hosts that cannot commit."""
    voters = {f"{number}:1#x": f"{number}:1" for number in range(11)}
    members = Membership(dict(list(voters.items())[:3]), {})
    progress = progress_of(*voters)
    while after := next_members(members, "0:1#x", voters, progress, 50, 5, 100.0):
        members = after
    assert set(members.voters) == set(voters)

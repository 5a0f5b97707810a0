"""Changes of quorum membership after hosts appear, disappear or lose their disk."""

from types import SimpleNamespace

import pytest

from figpick.consensus._consensus_messages import Membership
from figpick.control._reconfiguration import (
    ABSENCE_S,
    LEFT_ABSENCE_S,
    MAX_SILENCE_S,
    ControlHost,
    next_members,
    required_voters,
)

VOTERS = {"a:1#x": "a:1", "b:1#x": "b:1", "c:1#x": "c:1"}


def progress_of(*identities, at=100.0, match=50):
    return {each: SimpleNamespace(last_reply_at=at, match=match) for each in identities}


def step(members, candidates, progress, tolerated_losses=1, left=(), gone=()):
    min_voters = required_voters(tolerated_losses)
    hosts = [
        ControlHost(identity, address, identity not in gone, identity in left)
        for identity, address in candidates.items()
    ]
    return next_members(members, "a:1#x", hosts, progress, 50, min_voters, 100.0)


def voters_of(names):
    return {f"{name}:1#x": f"{name}:1" for name in names}


def progress_with_silent(names, silent, silent_s):
    present = set(names) - set(silent)
    return progress_of(*voters_of(present)) | progress_of(
        *voters_of(silent), at=100.0 - silent_s
    )


def changes(names, learners="", silent="", silent_s=ABSENCE_S, left="", losses=2):
    """Applies decisions until none follows, and returns the names of the voters."""
    known = voters_of(names + learners)
    members = Membership(voters_of(names), voters_of(learners))
    progress = progress_with_silent(names + learners, silent, silent_s)
    left, gone = voters_of(left), voters_of(silent)
    while after := step(members, known, progress, losses, left, gone):
        assert len(set(after.voters) ^ set(members.voters)) <= 1
        members = after
    return "".join(sorted(identity[0] for identity in members.voters))


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
    hosts = [ControlHost(*each) for each in voters.items()]
    while after := next_members(members, "0:1#x", hosts, progress, 50, 5, 100.0):
        members = after
    assert set(members.voters) == set(voters)


@pytest.mark.parametrize("silent_s", [ABSENCE_S, 10.0])
@pytest.mark.parametrize("names, losses", [("abc", 1), ("abcde", 1), ("abcde", 2)])
def test_silence_of_some_seconds_does_not_shrink_the_quorum(names, losses, silent_s):
    """Guards against a cut or a rolling restart that costs voters."""
    for silent in ("b", "bc"):
        assert changes(names, "", silent, silent_s, losses=losses) == names


def test_restart_does_not_shrink_the_quorum():
    """Guards against planned restarts that are taken for hosts that leave."""
    for losses in (1, 2):
        assert changes("abcde", silent="b", left="b", losses=losses) == "abcde"
    assert changes("abcde", "", "bc", 1.0, "bc", losses=1) == "abcde"


@pytest.mark.parametrize(
    "silent, left, silent_s",
    [("b", "", ABSENCE_S), ("b", "b", LEFT_ABSENCE_S)],
    ids=["unannounced", "planned"],
)
def test_ready_learner_takes_the_place_of_an_absent_voter(silent, left, silent_s):
    """Guards against a quorum that counts hosts that are gone for good."""
    assert changes("abcde", "f", silent, silent_s, left) == "acdef"
    assert changes("abcdef", "", silent, silent_s, left) == "acdef"
    names = "abcdefghijk"
    assert changes(names, "l", silent, silent_s, left) == "acdefghijkl"


def test_two_learners_take_the_places_of_two_absent_voters():
    """Guards against only one of two replacements that takes effect."""
    assert changes("abcde", "fg", "bc", ABSENCE_S) == "adefg"
    assert changes("abcdefg", "", "bc", ABSENCE_S, "bc") == "adefg"


def test_single_further_host_waits_as_a_learner():
    """Guards against a sixth voter, which raises the majority and bears no more."""
    assert changes("abcde", "f") == "abcde"
    assert changes("abcde", "fg") == "abcdefg"


@pytest.mark.parametrize("state", [{"at": 99.0}, {"match": 0}])
def test_two_successors_do_not_vote_beside_voters_that_are_gone(state):
    """Guards against seven voters of which a new leader has yet to miss two."""
    members = Membership(voters_of("abcde"), voters_of("fg"))
    progress = progress_of(*voters_of("acdefg")) | progress_of("b:1#x", **state)
    assert step(members, voters_of("abcdefg"), progress, 2) is None


def test_learner_that_lags_or_is_silent_does_not_vote():
    """Guards against a majority that needs a host without the log."""
    members = Membership(voters_of("abcde"), voters_of("f"))
    known = voters_of("abcdef")
    progress = progress_with_silent("abcde", "b", ABSENCE_S)
    for learner in (
        progress_of("f:1#x", match=10),
        progress_of("f:1#x", at=98.0),
    ):
        assert step(members, known, progress | learner, 2) is None


def test_voter_that_started_again_is_kept_while_its_old_notice_is_known():
    """Guards against the removal of a host whose new record is still on the way."""
    assert changes("abcdef", silent="b", silent_s=0.2, left="b") == "abcdef"


def test_host_that_is_gone_is_not_added_again():
    """Guards against members that come and go for ever."""
    members = Membership(voters_of("acdef"), {})
    progress = progress_of(*voters_of("acdef"))
    assert step(members, voters_of("abcdef"), progress, 2, gone={"b:1#x"}) is None
    assert step(members, voters_of("abcdef"), progress, 2, left={"b:1#x"}) is None


def test_record_of_a_former_host_at_an_address_replaces_no_member():
    """Guards against a voter that is removed and added for ever."""
    members = Membership(voters_of("abc"), {})
    progress = progress_of(*voters_of("abc"))
    former = {"c:1#w": "c:1"}
    for known in ({**voters_of("abc"), **former}, {**former, **voters_of("abc")}):
        assert step(members, known, progress, gone=former) is None


def test_leader_that_hears_no_majority_removes_no_voter():
    """Guards against a paused leader that takes all others for absent."""
    assert changes("abcdef", silent="bcd", losses=2) == "abcdef"
    assert changes("abcde", "f", silent="bcd", losses=2) == "abcde"


@pytest.mark.parametrize("losses", [1, 2])
@pytest.mark.parametrize("count", range(2, 13))
def test_no_step_lowers_the_number_of_losses_that_are_borne(count, losses):
    """Guards against a step after which fewer disks may be lost than before."""
    for silent_count in range((count + 1) // 2):
        for learner_count in range(3):
            for silent_s, has_left in ((ABSENCE_S, False), (ABSENCE_S, True)):
                check_steps(
                    count, silent_count, learner_count, silent_s, has_left, losses
                )


def check_steps(count, silent_count, learner_count, silent_s, has_left, losses):
    names = "abcdefghijklmnop"[: count + learner_count]
    silent = names[1 : 1 + silent_count]
    known = voters_of(names)
    gone = voters_of(silent)
    members = Membership(voters_of(names[:count]), voters_of(names[count:]))
    progress = progress_with_silent(names, silent, silent_s)
    left = gone if has_left else ()
    borne = borne_losses(members, gone)
    while after := step(members, known, progress, losses, left, gone):
        members = after
        assert borne_losses(members, gone) >= borne
        borne = borne_losses(members, gone)


def borne_losses(members, gone):
    return len(set(members.voters) - set(gone)) - (len(members.voters) // 2 + 1)

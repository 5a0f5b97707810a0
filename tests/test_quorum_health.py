"""What operators see of the voters, before and after a majority is lost."""

import pytest

from figpick.control import _quorum_health
from figpick.control._quorum_health import (
    LEADERLESS_S,
    HealthLog,
    QuorumHealth,
    VoterState,
)


class LogCollector:
    """Collects log lines in place of the logger."""

    def __init__(self):
        self.lines = []

    def notice(self, text, extra):
        self.lines.append((text, extra))

    warning = notice


@pytest.fixture
def lines(monkeypatch):
    collector = LogCollector()
    monkeypatch.setattr(_quorum_health, "log", collector)
    return collector.lines


def health(present, silent=(), left=(), unheard=()):
    return QuorumHealth(
        [VoterState(f"{name}#1", 0.1, False) for name in present]
        + [VoterState(f"{name}#1", 4.0, False) for name in silent]
        + [VoterState(f"{name}#1", 0.5, True) for name in left]
        + [VoterState(f"{name}#1", None, False) for name in unheard]
    )


@pytest.mark.parametrize(
    "present, absent, bears",
    [("abc", "", 1), ("abcde", "", 2), ("abcde", "f", 1), ("abc", "def", -1)],
)
def test_bearable_losses_count_only_voters_that_answer(present, absent, bears):
    """Guards against a count that includes hosts that cannot return."""
    for kind in ("silent", "left", "unheard"):
        state = health(present, **{kind: absent})
        assert state.bearable_losses == bears
        assert state.absent == sorted(absent)


def test_leader_warns_when_fewer_losses_are_borne_than_stated(lines):
    """Guards against a quorum that looks healthy because of its size."""
    health_log = HealthLog(2)
    health_log.check_as_leader(health("abcde"), 1.0)
    health_log.check_as_leader(health("abcde", silent="f"), 2.0)
    health_log.check_as_leader(health("abcde", silent="f"), 2.3)
    assert [text for text, _ in lines] == [
        "The quorum tolerates the stated losses.",
        "The quorum does not tolerate the stated losses.",
    ]
    assert lines[1][1]["bears"] == 1 and lines[1][1]["absent"] == ["f"]


def test_missing_voters_are_named_without_a_majority(lines):
    """Guards against a lost majority of which operators only see "no leader"."""
    health_log = HealthLog(2)
    state = health("abc", unheard="def")
    for now in (1.0, 1.3, 1.0 + LEADERLESS_S, 4.0):
        health_log.check_without_leader(state, now)
    [(text, extra)] = lines
    assert text == "No majority of the voters answers."
    assert extra == {"needed": 4, "answering": 3, "missing": ["d", "e", "f"]}


def test_short_election_is_not_reported(lines):
    """Guards against warnings at each change of the leader."""
    health_log = HealthLog(1)
    state = health("a", unheard="bc")
    health_log.note_leader(1.0)
    health_log.check_without_leader(state, 2.0)
    health_log.note_leader(2.9)
    health_log.check_without_leader(state, 4.0)
    assert not lines


def test_stuck_election_differs_from_a_lost_majority(lines):
    """Guards against a report that blames hosts that answer."""
    health_log = HealthLog(1)
    for now in (0.0, LEADERLESS_S):
        health_log.check_without_leader(health("abc"), now)
    assert lines[0][0] == "No leader, though a majority of the voters answers."

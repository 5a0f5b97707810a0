"""Tests of which reports of an upstream are accepted."""

import pytest

from figpick.directory import UpstreamReport, UpstreamView


def report(instance, sequence, started_ms=None, is_draining=False):
    address = ("127.0.0.1", 8000)
    return UpstreamReport(
        instance, started_ms, sequence, "parts", address, 20, is_draining, 0.0
    )


def test_report_with_an_older_sequence_is_ignored():
    view = UpstreamView()
    assert view.handle_report(report("i-1", 5), 0.0)
    assert not view.handle_report(report("i-1", 4), 0.1)
    assert view.report.sequence == 5


def test_draining_upstream_does_not_become_ready_again():
    """Guards against calls to a leaving upstream after a late report."""
    view = UpstreamView()
    view.handle_report(report("i-1", 5), 0.0)
    view.mark_draining("i-1")
    view.handle_report(report("i-1", 6), 1.0)
    assert view.state == "draining"
    assert view.slots == 0


def test_new_incarnation_replaces_the_old_one():
    view = UpstreamView()
    view.handle_report(report("i-1", 50), 0.0)
    assert view.handle_report(report("i-2", 1), 1.0)
    assert view.instance == "i-2"


def test_late_report_of_a_crashed_incarnation_is_ignored():
    """Guards against calls to an instance that has crashed."""
    view = UpstreamView()
    view.handle_report(report("i-1", 50), 0.0)
    view.handle_report(report("i-2", 1), 5.0)
    assert not view.handle_report(report("i-1", 51), 5.5)
    assert view.instance == "i-2"


def test_late_report_of_an_unknown_incarnation_is_ignored():
    view = UpstreamView()
    view.handle_report(report("i-2", 1), 5.0)
    assert not view.handle_report(report("i-0", 40), 5.5)


def test_same_identity_may_start_again():
    view = UpstreamView()
    view.handle_report(report("i-1", 50, started_ms=1000), 0.0)
    assert view.handle_report(report("i-1", 1, started_ms=2000), 1.0)
    assert not view.handle_report(report("i-1", 51, started_ms=1000), 2.0)


def test_incarnation_whose_clock_was_set_back_is_accepted_eventually():
    """Guards against an upstream that is ignored forever after a clock step."""
    view = UpstreamView()
    view.handle_report(report("i-1", 50, started_ms=9000), 0.0)
    accepted = [
        view.handle_report(report("i-1", n, started_ms=1000), n * 1.5)
        for n in range(1, 8)
    ]
    assert any(accepted)
    assert view.report.started_ms == 1000


def test_refused_connection_marks_upstream_down_until_its_next_report():
    view = UpstreamView()
    view.handle_report(report("i-1", 1), 0.0)
    view.mark_down()
    assert view.slots == 0
    view.handle_report(report("i-1", 2), 1.0)
    assert view.slots == 20


@pytest.mark.parametrize("known", [True, False])
def test_identity_in_a_misdirected_response_restores_a_displaced_incarnation(known):
    view = UpstreamView()
    view.handle_report(report("i-1", 50), 0.0)
    view.handle_report(report("i-2", 1), 1.0)
    view.restore_instance("i-1" if known else "i-9")
    assert view.slots == (20 if known else 0)


@pytest.mark.parametrize("is_reported", [True, False])
def test_leaving_incarnation_that_was_displaced_does_not_return(is_reported):
    """Guards against calls to a leaving upstream after a late report of another."""
    view = UpstreamView()
    view.handle_report(report("i-1", 50), 0.0)
    view.handle_report(report("i-0", 1), 1.0)
    if is_reported:
        view.handle_report(report("i-1", 51, is_draining=True), 1.5)
    else:
        view.mark_draining("i-1")
    view.handle_report(report("i-1", 52), 2.0)
    view.restore_instance("i-1")
    assert view.slots == 0


def test_upstream_that_leaves_before_its_first_report_is_not_used():
    """Guards against a late report of an upstream that a new process knows not of."""
    view = UpstreamView()
    view.mark_draining("i-1")
    view.handle_report(report("i-1", 50), 0.0)
    assert view.slots == 0


def test_later_start_with_the_same_identity_is_used():
    view = UpstreamView()
    view.handle_report(report("i-1", 50, started_ms=1000), 0.0)
    view.mark_draining("i-1")
    view.handle_report(report("i-1", 1, started_ms=2000), 1.0)
    assert view.slots == 20

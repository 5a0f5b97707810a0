"""Pauses of the process, during which signals and messages wait."""

import asyncio
import time

import pytest

from figpick.base._clock import Clock
from figpick.base._pauses import MIN_PAUSE_S, RECORD_PERIOD_S, PauseDetector
from figpick.links import Dialer, Link, listen
from figpick.links._link import SILENCE_TIMEOUT_S

from .fleet import async_test, free_address, wait_until


@pytest.mark.parametrize(
    ("records", "handled_at", "sent_at"),
    [
        ((10.0, 10.5), 10.9, 10.9),
        ((10.0, 10.5), 13.5, 10.5),
        ((10.0, 10.5, 13.5), 13.6, 10.5),
        ((10.0, 10.5, 13.5, 14.0), 14.2, 14.2),
    ],
    ids=["no-pause", "handled-first", "recorded-first", "after-the-pause"],
)
def test_signal_handled_after_a_pause_may_have_been_sent_at_its_start(
    records, handled_at, sent_at
):
    """Guards against a grace time that is counted from the end of a freeze."""
    detector = PauseDetector(records[0])
    for now in records:
        detector.record(now)
    assert detector.earliest_signal_at(handled_at) == sent_at


def test_delays_of_a_busy_host_are_no_pause():
    """Guards against stops that refuse requests early without need."""
    detector = PauseDetector(0.0)
    detector.record(RECORD_PERIOD_S + 0.5)
    assert RECORD_PERIOD_S + 0.5 < MIN_PAUSE_S
    assert detector.earliest_signal_at(1.1) == 1.1


@async_test
async def test_link_is_not_closed_as_silent_after_a_pause_of_its_own_process():
    """Guards against discarding responses that arrived while the process was paused."""
    address = free_address()

    def make_link():
        return Link(lambda link, message: None, lambda link: None, Clock())

    server = await listen(address, make_link)
    dialer = Dialer(address, make_link, lambda link: None, Clock())
    dialer.start()
    await wait_until(lambda: dialer.link is not None)
    link = dialer.link
    await asyncio.sleep(0.6)
    time.sleep(SILENCE_TIMEOUT_S + 0.5)
    await asyncio.sleep(0.2)
    assert link.is_open
    dialer.stop()
    server.close()

"""Configurations that operators send again, and how refusals are logged."""

import logbook
import pytest

from figpick.configuration import (
    ChangeSet,
    ConfigurationRegistry,
    VersionConflictError,
)
from figpick.control._leader_requests import PUT, LeaderRequests
from figpick.control._quorum_member import LogPosition

from .fleet import async_test


def change(version, base, digest=None):
    return ChangeSet(version, base, digest or f"digest-of-{version}", "")


class StandInLeader:
    """A leader whose registry applies the rest of its log while it is confirmed.

    :param applied: change sets that its registry has applied.
    :param pending: change sets in its log that commit during the confirmation.
    """

    is_leader = True

    def __init__(self, applied, pending=()):
        self.registry = ConfigurationRegistry()
        self._log = []
        self._pending = list(pending)
        self._apply(applied)

    def _apply(self, changes):
        for each in changes:
            self._log.append(each)
            self.registry.apply(each._asdict(), len(self._log))

    def position(self):
        count = len(self._log)
        last_index = count + len(self._pending)
        return LogPosition(4, last_index, count, count, self.registry.version)

    async def confirm(self):
        pending, self._pending = self._pending, []
        self._apply(pending)

    async def propose(self, new):
        await self.confirm()
        result = self.registry.apply(new._asdict(), len(self._log) + 1)
        if isinstance(result, VersionConflictError):
            raise result
        return result


async def put(leader, new):
    requests = LeaderRequests(leader, lambda: None)
    return await requests.send(PUT, new._asdict())


@async_test
async def test_refusal_is_logged_with_what_the_leader_knew():
    """Guards against refusals whose cause the logs cannot tell."""
    leader = StandInLeader([change(60, 0)], [change(64, 60)])
    other = change(63, 58, "other-digest-of-63")
    with logbook.TestHandler() as handler, pytest.raises(VersionConflictError):
        await put(leader, other)
    (record,) = handler.records
    assert record.message == "Leader refuses a configuration."
    assert record.extra == {
        "version": 63,
        "base": 58,
        "digest": "other-digest",
        "conflict": "version 63 builds on 58, but 64 is current",
        "known_digest_before": False,
        "known_digest_after": False,
        "on_arrival": LogPosition(4, 2, 1, 1, 60)._asdict(),
        "on_refusal": LogPosition(4, 2, 2, 2, 64)._asdict(),
    }

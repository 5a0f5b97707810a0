"""Tracks which nodes can hold claims and proposes rosters from them."""

from ..membership._members import FAILED, LEFT
from . import _rosters
from ._rosters import Candidate


class RosterProposer:
    """Proposes rosters from the member view of a control process.

    :param members: :class:`~figpick.membership._members.Members`.
    :param get_registry: function that returns the current
        :class:`~figpick.registry._registry.Registry`.
    :param clock: :class:`~figpick.base._clock.Clock`.
    """

    def __init__(self, members, get_registry, clock):
        self._members = members
        self._get_registry = get_registry
        self._clock = clock
        self._first_seen_at = {}
        self._failed_at = {}

    def propose(self, now):
        """Returns proposals for the rosters that should change.

        :param now: monotonic seconds.
        :return: list of :class:`~figpick.claims._rosters.Roster`.
        """
        services = {}
        for member in self._members:
            self._track(member.name, member.state in (FAILED, LEFT), now)
            # The state of the upstream is ignored: a restarted node can hold claims
            # before its upstream announces itself.
            if member.service:
                services.setdefault(member.service, []).append(member)
        proposals = []
        for service, members in services.items():
            current = self._get_registry().roster(service)
            candidates = [
                self._make_candidate(member.name, member.data_center, now)
                for member in members
            ]
            candidates += self._missing_holders(current, candidates, now)
            proposal = _rosters.propose(
                service, current, candidates, self._clock.wall()
            )
            if proposal is not None:
                proposals.append(proposal)
        return proposals

    def _missing_holders(self, current, candidates, now):
        """Returns candidates for the holders that are not in the member view.

        A holder counts as failed only from the time when it was first found missing,
        since it may be missing only because this process has just started.
        """
        if current is None:
            return []
        known = {candidate.name for candidate in candidates}
        names = sorted(set(current["positions"]) - known)
        for name in names:
            self._track(name, True, now)
        return [self._make_candidate(name, "", now) for name in names]

    def _track(self, name, failed, now):
        self._first_seen_at.setdefault(name, now)
        if failed:
            self._failed_at.setdefault(name, now)
        else:
            self._failed_at.pop(name, None)

    def _make_candidate(self, name, data_center, now):
        failed_at = self._failed_at.get(name)
        failed_s = 0.0 if failed_at is None else max(0.001, now - failed_at)
        seen_s = now - self._first_seen_at[name]
        return Candidate(name, data_center, seen_s, failed_s)

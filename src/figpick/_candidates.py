"""Follows which nodes can hold claims and proposes rosters from them."""

from . import _rosters
from ._members import FAILED, LEFT
from ._rosters import Candidate


class RosterProposer:
    """Proposes rosters from the member view of a control process.

    :param members: :class:`~figpick._members.Members`.
    :param registry: function that gives the
        :class:`~figpick._registry.Registry`.
    :param clock: :class:`~figpick._clock.Clock`.
    """

    def __init__(self, members, registry, clock):
        self._members = members
        self._registry = registry
        self._clock = clock
        self._seen_at = {}
        self._failed_at = {}

    def propose(self, now):
        """Proposes the rosters that should change.

        :param now: monotonic seconds.
        :return: list of :class:`~figpick._rosters.Roster`.
        """
        services = {}
        for member in self._members:
            self._follow(member, now)
            if member.service and member.upstream_address:
                services.setdefault(member.service, []).append(member)
        proposals = []
        for service, members in services.items():
            current = self._registry().roster(service)
            candidates = [self._candidate(member, now) for member in members]
            proposal = _rosters.propose(
                service, current, candidates, self._clock.wall()
            )
            if proposal is not None:
                proposals.append(proposal)
        return proposals

    def _follow(self, member, now):
        name = member.name
        self._seen_at.setdefault(name, now)
        if member.state in (FAILED, LEFT):
            self._failed_at.setdefault(name, now)
        else:
            self._failed_at.pop(name, None)

    def _candidate(self, member, now):
        failed_at = self._failed_at.get(member.name)
        failed_s = 0.0 if failed_at is None else max(0.001, now - failed_at)
        return Candidate(
            name=member.name,
            data_center=member.data_center,
            seen_s=now - self._seen_at[member.name],
            failed_s=failed_s,
        )

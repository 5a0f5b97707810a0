"""Proposes rosters to the leader of control from its view of the members."""

from ._members import ENDED
from ._rosters import Candidate, propose

NODE = "node"


class RosterProposals:
    """Remembers since when nodes are seen and failed.

    :param members: :class:`~figpick._members.Members`.
    :param registry: function that gives the :class:`~figpick._registry.Registry`.
    :param clock: :class:`~figpick._clock.Clock`.
    """

    def __init__(self, members, registry, clock):
        self._members = members
        self._registry = registry
        self._clock = clock
        self._seen_at = {}
        self._ended_at = {}

    def __call__(self, now):
        """Lists the rosters that have to change.

        :param now: monotonic seconds.
        :return: list of :class:`~figpick._rosters.Roster`.
        """
        nodes = [item for item in self._members if NODE in item.role.split("+")]
        self._observe(nodes, now)
        registry = self._registry()
        proposals = []
        for service in registry.versions:
            candidates = [
                self._candidate(node, now) for node in nodes if node.service == service
            ]
            current = registry.roster(service)
            roster = propose(service, current, candidates, self._clock.wall())
            if roster is not None:
                proposals.append(roster)
        return proposals

    def _observe(self, nodes, now):
        names = {node.name for node in nodes}
        for times in (self._seen_at, self._ended_at):
            for name in [name for name in times if name not in names]:
                del times[name]
        for node in nodes:
            self._seen_at.setdefault(node.name, now)
            if node.state in ENDED:
                self._ended_at.setdefault(node.name, now)
            else:
                self._ended_at.pop(node.name, None)

    def _candidate(self, node, now):
        ended_at = self._ended_at.get(node.name)
        # A failure noticed in this call already counts as one.
        failed_s = 0.0 if ended_at is None else max(0.001, now - ended_at)
        seen_s = now - self._seen_at[node.name]
        return Candidate(node.name, node.data_center, seen_s, failed_s)

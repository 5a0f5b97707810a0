"""Decides whether an upstream whose node does not answer keeps its calls.

Others may hold a member for failed because they are cut off from it, or because
only the node beside an upstream has ended. It is dropped only when the messages
of this process to it fail and no call to its upstream succeeds either.
"""

from ..base._logs import logger
from ..membership._members import FAILED, LEFT, UNRESPONSIVE_STATES

# Calls that succeeded within this time show that an upstream is there.
CALLS_S = 5.0

log = logger("reach")


class Reach:
    """Follows the calls to upstreams whose nodes do not answer.

    :param members: :class:`~figpick.membership._members.Members`.
    """

    def __init__(self, members):
        self._members = members
        self._samples = {}

    def routed(self, member, upstreams, now):
        """Gives the record by which calls are routed.

        :param member: changed or known :class:`~figpick.membership._members.Member`.
        :param upstreams: its service's
            :class:`~figpick.routing._upstreams.UpstreamSet`.
        :param now: monotonic seconds.
        :return: the record itself, the record that the upstream had before, or
            the record as failed.
        """
        upstream = upstreams.get(member.name)
        if member.state not in UNRESPONSIVE_STATES or upstream is None:
            self._samples.pop(member.name, None)
            return member
        if self._members.is_reachable(member.name) or self._called(upstream, now):
            return upstream.member
        self._samples.pop(member.name, None)
        return member._replace(state=FAILED)

    def review(self, upstream_sets, now):
        """Drops the upstreams that neither answer nor have a node that does.

        :param upstream_sets: :class:`~figpick.routing._upstreams.UpstreamSet` s.
        :param now: monotonic seconds.
        """
        for upstreams in upstream_sets:
            for upstream in list(upstreams):
                record = self._lost(upstreams, upstream, now)
                if record is not None:
                    log.info("Upstream {} does not answer.", upstream.name)
                    upstreams.update(record, now)

    def _lost(self, upstreams, upstream, now):
        member = self._members.get(upstream.name)
        if member is None:
            return upstream.member._replace(state=LEFT)
        record = self.routed(member, upstreams, now)
        return record if record.state == FAILED else None

    def _called(self, upstream, now):
        health = upstream.health
        if health.failures_in_row:
            return False
        samples, since = self._samples.get(upstream.name, (None, now))
        if samples != health.samples:
            since = now
        self._samples[upstream.name] = health.samples, since
        return now - since < CALLS_S

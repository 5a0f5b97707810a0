"""Decides whether an upstream still gets calls while its node does not reply.

Other processes may mark a member as failed because they are cut off from it, or
because only the node on the host of the upstream has stopped. An upstream is dropped
only when this process can't reach the node and no call to the upstream succeeds.
"""

from ..base._logs import logger
from ..membership._members import FAILED, LEFT, UNRESPONSIVE_STATES

# An upstream is reachable if a call to it succeeded within this time.
RECENT_SUCCESS_S = 5.0

log = logger("reach")


class UpstreamReachability:
    """Tracks successful calls to upstreams whose nodes do not reply.

    :param members: :class:`~figpick.membership._members.Members`.
    """

    def __init__(self, members):
        self._members = members
        self._sample_counts = {}

    def routing_record(self, member, upstreams, now):
        """Returns the member record to use for routing.

        :param member: current :class:`~figpick.membership._members.Member` record.
        :param upstreams: :class:`~figpick.routing._upstream_set.UpstreamSet` of its
            service.
        :param now: monotonic seconds.
        :return: ``member`` itself, the record that the upstream already has, or
            ``member`` with the state ``FAILED``.
        """
        upstream = upstreams.get(member.name)
        if member.state not in UNRESPONSIVE_STATES or upstream is None:
            self._sample_counts.pop(member.name, None)
            return member
        if self._members.is_reachable(member.name) or self._has_recent_success(
            upstream, now
        ):
            return upstream.member
        self._sample_counts.pop(member.name, None)
        return member._replace(state=FAILED)

    def drop_unreachable(self, upstream_sets, now):
        """Drops the upstreams that neither respond nor have a node that replies.

        :param upstream_sets: iterable of
            :class:`~figpick.routing._upstream_set.UpstreamSet`.
        :param now: monotonic seconds.
        """
        for upstreams in upstream_sets:
            for upstream in list(upstreams):
                record = self._unreachable_record(upstreams, upstream, now)
                if record is not None:
                    log.info(
                        "Upstream {} does not respond and is dropped.", upstream.name
                    )
                    upstreams.update(record, now)

    def _unreachable_record(self, upstreams, upstream, now):
        member = self._members.get(upstream.name)
        if member is None:
            return upstream.member._replace(state=LEFT)
        record = self.routing_record(member, upstreams, now)
        return record if record.state == FAILED else None

    def _has_recent_success(self, upstream, now):
        health = upstream.health
        if health.consecutive_failures:
            return False
        samples, unchanged_since = self._sample_counts.get(upstream.name, (None, now))
        if samples != health.samples:
            unchanged_since = now
        self._sample_counts[upstream.name] = health.samples, unchanged_since
        return now - unchanged_since < RECENT_SUCCESS_S

"""Keeps the members of the quorum: applies the decisions and reports on the voters."""

from ..base._logs import logger
from ..directory import CONTROL, LEFT
from ._quorum_health import HealthLog, QuorumHealth, VoterState
from ._quorum_member import format_address
from ._reconfiguration import (
    ControlHost,
    describe_members,
    next_members,
    required_voters,
)

log = logger("control")


class MembershipKeeper:
    """Changes the members while this process leads, and watches the voters.

    :param member: :class:`~figpick.control._quorum_member.QuorumMember`.
    :param directory: :class:`~figpick.directory.Directory`.
    :param link_to: function that returns the open link to the process at an address
        as ``ip:port``, or ``None``.
    :param tolerated_losses: number of disks whose loss must be borne at once.
    """

    def __init__(self, member, directory, link_to, tolerated_losses):
        self._member = member
        self._directory = directory
        self._link_to = link_to
        self._min_voters = required_voters(tolerated_losses)
        self._health_log = HealthLog(tolerated_losses)

    def __repr__(self):
        return f"<MembershipKeeper of {self._min_voters}>"

    def update(self, now):
        """Logs changes of the health, and proposes the next change if leading.

        :param now: monotonic seconds.
        """
        if self._member.is_leader:
            self._health_log.check_as_leader(self.quorum_health(now), now)
            self._reconfigure(now)
        elif self._member.leader_address is not None:
            self._health_log.note_leader(now)
        else:
            self._health_log.check_without_leader(self.quorum_health(now), now)

    def quorum_health(self, now):
        """Returns the :class:`QuorumHealth` as this process sees it.

        :param now: monotonic seconds.
        """
        left = {host.identity for host in self._control_hosts() if host.has_left}
        return QuorumHealth(
            [
                VoterState(identity, silent_s, identity in left)
                for identity, silent_s in self._member.voter_silences(now).items()
            ]
        )

    def describe(self, now):
        """Returns the health for operators, ``None`` where it is not known.

        Followers hear only from the leader and cannot tell who else answers.

        :param now: monotonic seconds.
        """
        if not self._member.is_leader and self._member.leader_address is not None:
            return None
        return self.quorum_health(now).describe()

    def _control_hosts(self):
        return [
            ControlHost(
                record.identity,
                format_address(record.address),
                self._is_connected(record),
                record.state == LEFT,
            )
            for record in self._directory
            if record.role == CONTROL and record.identity
        ]

    def _is_connected(self, record):
        link = self._link_to(format_address(record.address))
        return link is not None and link.peer == record.name

    def _reconfigure(self, now):
        raft = self._member.replica.raft
        members = next_members(
            raft.members,
            self._member.identity,
            self._control_hosts(),
            raft.progress,
            raft.log.last_index,
            self._min_voters,
            now,
        )
        if members is not None:
            log.notice("Members change.", extra=describe_members(members))
            self._member.change_members(members)

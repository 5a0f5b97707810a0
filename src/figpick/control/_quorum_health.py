"""Which voters of the quorum answer, and how many disks may be lost now."""

from typing import NamedTuple

from ..base._logs import logger
from ..consensus._formation import name_of
from ._reconfiguration import is_absent, required_voters

# A leader is usually elected within this time after the last one was lost.
LEADERLESS_S = 2.0

log = logger("control")


class VoterState(NamedTuple):
    """What this process knows about one voter.

    :param identity: identity of the voter.
    :param silent_s: seconds since its last message, ``None`` without any.
    :param has_left: whether the voter has announced that it stops.
    """

    identity: str
    silent_s: float | None
    has_left: bool

    @property
    def is_present(self):
        """Whether the voter can be counted on now."""
        return not is_absent(self.silent_s, self.has_left)


class QuorumHealth(NamedTuple):
    """Voters of the quorum, as one process sees them.

    :param voters: list of :class:`VoterState`.
    """

    voters: list

    @property
    def majority(self):
        """Number of voters that must answer."""
        return len(self.voters) // 2 + 1

    @property
    def absent(self):
        """Names of the voters that do not answer or have left, sorted."""
        return sorted(
            name_of(voter.identity) for voter in self.voters if not voter.is_present
        )

    @property
    def bearable_losses(self):
        """Number of disks that may be lost now; negative without a majority."""
        return len(self.voters) - len(self.absent) - self.majority

    def describe(self):
        """Returns the health as a JSON value for operators."""
        return {
            "bears": self.bearable_losses,
            "majority": self.majority,
            "absent": self.absent,
            "voters": [
                {
                    "name": name_of(voter.identity),
                    "silent_s": voter.silent_s and round(voter.silent_s, 3),
                    "has_left": voter.has_left,
                }
                for voter in self.voters
            ],
        }


class HealthLog:
    """Logs the health of the quorum whenever it changes.

    :param tolerated_losses: number of disks whose loss must be borne at once.
    """

    def __init__(self, tolerated_losses):
        self._tolerated_losses = tolerated_losses
        self._logged = None
        self._leader_known_at = None
        self._min_voters = required_voters(tolerated_losses)

    def __repr__(self):
        return f"<HealthLog of {self._min_voters}>"

    def check_as_leader(self, health, now):
        """Checks whether the quorum tolerates the stated losses.

        :param health: :class:`QuorumHealth`.
        :param now: monotonic seconds.
        """
        self._leader_known_at = now
        has_enough = health.bearable_losses >= self._tolerated_losses
        if self._logged == (has_enough, health.absent):
            return
        self._logged = has_enough, health.absent
        extra = {
            "voters": len(health.voters),
            "required": self._min_voters,
            "tolerated_losses": self._tolerated_losses,
            "bears": health.bearable_losses,
            "absent": health.absent,
        }
        if has_enough:
            log.notice("The quorum tolerates the stated losses.", extra=extra)
        else:
            log.warning("The quorum does not tolerate the stated losses.", extra=extra)

    def note_leader(self, now):
        """Records that another process leads.

        :param now: monotonic seconds.
        """
        self._leader_known_at = now
        self._logged = None

    def check_without_leader(self, health, now):
        """Checks whether a majority of the voters answers while no leader is known.

        :param health: :class:`QuorumHealth`.
        :param now: monotonic seconds.
        """
        if self._leader_known_at is None or not health.voters:
            self.note_leader(now)
        if now - self._leader_known_at < LEADERLESS_S or self._logged == health.absent:
            return
        self._logged = health.absent
        extra = {
            "needed": health.majority,
            "answering": len(health.voters) - len(health.absent),
            "missing": health.absent,
        }
        if health.bearable_losses < 0:
            log.warning("No majority of the voters answers.", extra=extra)
        else:
            log.warning(
                "No leader, though a majority of the voters answers.", extra=extra
            )

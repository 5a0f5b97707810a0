"""Checks that the quorum has enough voters for the losses to be borne."""

from ..base._logs import logger
from ._reconfiguration import required_voters

log = logger("control")


class VoterCheck:
    """Logs whether the quorum tolerates the stated losses, when that changes.

    :param tolerated_losses: number of disks whose loss must be borne at once.
    """

    def __init__(self, tolerated_losses):
        self._tolerated_losses = tolerated_losses
        self._has_enough = None
        self.required = required_voters(tolerated_losses)

    def __repr__(self):
        return f"<VoterCheck of {self.required}>"

    def check(self, members):
        """Checks the members of the quorum.

        :param members: members with their voters.
        """
        has_enough = len(members.voters) >= self.required
        if has_enough == self._has_enough:
            return
        self._has_enough = has_enough
        extra = {
            "voters": len(members.voters),
            "required": self.required,
            "tolerated_losses": self._tolerated_losses,
        }
        if has_enough:
            log.notice("The quorum tolerates the stated losses.", extra=extra)
        else:
            log.warning(
                "The quorum does not tolerate the stated losses: too few voters.",
                extra=extra,
            )

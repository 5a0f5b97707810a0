"""Choice of the host that serves a call."""

from ._failures import FailureShare, slow_share
from ._split import SplitCounter
from ._targets import Load, Target, choose

__all__ = ["FailureShare", "Load", "SplitCounter", "Target", "choose", "slow_share"]

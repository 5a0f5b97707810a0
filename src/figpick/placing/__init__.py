"""Selection of the host that serves a call."""

from ._failures import FailureShare, slow_call_share
from ._round_robin import WeightedRoundRobin
from ._targets import Load, Target, choose

__all__ = [
    "FailureShare",
    "Load",
    "Target",
    "WeightedRoundRobin",
    "choose",
    "slow_call_share",
]

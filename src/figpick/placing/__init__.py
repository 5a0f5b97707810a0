"""Choice of the host that serves a call."""

from ._split import SplitCounter
from ._targets import Load, Target, choose

__all__ = ["Load", "SplitCounter", "Target", "choose"]

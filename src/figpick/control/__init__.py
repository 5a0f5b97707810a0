"""The control process: the replicated configuration and the directory of hosts."""

from ._process import ControlProcess
from ._settings import ControlSettings

__all__ = ["ControlProcess", "ControlSettings"]

"""The control process: replicated configuration and directory of hosts."""

from ._process import ControlProcess
from ._settings import ControlSettings

__all__ = ["ControlProcess", "ControlSettings"]

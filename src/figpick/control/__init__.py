"""The control process: the replicated configuration and the directory of hosts."""

from ._messages import CONFIGURATION, CRASH, FETCH, HELLO, RECORD, REVISION, TABLE
from ._process import ControlProcess
from ._settings import ControlSettings

__all__ = [
    "CONFIGURATION",
    "CRASH",
    "FETCH",
    "HELLO",
    "RECORD",
    "REVISION",
    "TABLE",
    "ControlProcess",
    "ControlSettings",
]

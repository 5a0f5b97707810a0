"""The node: forwards the calls of its host and runs calls of other nodes."""

from ._process import NodeProcess
from ._settings import NodeSettings

__all__ = ["NodeProcess", "NodeSettings"]

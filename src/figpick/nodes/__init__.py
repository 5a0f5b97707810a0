"""The node: takes calls of its host, forwards them and runs those of others."""

from ._process import NodeProcess
from ._settings import NodeSettings

__all__ = ["NodeProcess", "NodeSettings"]

"""The node: forwards the calls of its host and runs calls of other nodes."""

from ._process import NodeProcess
from ._settings import DEFAULT_DESCRIPTORS, DEFAULT_MEMORY_BYTES, NodeSettings

__all__ = [
    "DEFAULT_DESCRIPTORS",
    "DEFAULT_MEMORY_BYTES",
    "NodeProcess",
    "NodeSettings",
]

"""Public entry of the command line."""

from ._cli import main

__all__ = ["main"]

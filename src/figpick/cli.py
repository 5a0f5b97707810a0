"""Public entry point of the command line."""

from .operators._cli import main

__all__ = ["main"]

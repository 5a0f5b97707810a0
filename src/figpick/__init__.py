"""figpick: an overload control layer for service call graphs."""

from .api import check, get, history, put, run, state

__all__ = ["check", "get", "history", "put", "run", "state"]

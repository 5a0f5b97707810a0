"""Public access to service documents."""

from .registry._documents import (
    LimitsDocument,
    RouteDocument,
    ServiceDocument,
    check,
    load,
)

__all__ = ["LimitsDocument", "RouteDocument", "ServiceDocument", "check", "load"]

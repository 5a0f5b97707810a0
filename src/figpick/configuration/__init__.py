"""Configurations of routes, services and limits, and their replicated history."""

from ._model import Configuration, Limits, Route, ServiceSettings, check
from ._registry import (
    ACCEPTED,
    CONFLICT,
    NEW,
    ChangeSet,
    ConfigurationRegistry,
    VersionConflictError,
)
from ._routes import RoutingTable

__all__ = [
    "ACCEPTED",
    "CONFLICT",
    "NEW",
    "ChangeSet",
    "Configuration",
    "ConfigurationRegistry",
    "Limits",
    "Route",
    "RoutingTable",
    "ServiceSettings",
    "VersionConflictError",
    "check",
]

"""Configurations: how services may be called, and their replicated history."""

from ._model import Configuration, Limits, Route, ServiceTerms, check
from ._registry import ChangeSet, ConfigurationRegistry, VersionConflictError
from ._routes import RoutingTable

__all__ = [
    "ChangeSet",
    "Configuration",
    "ConfigurationRegistry",
    "Limits",
    "Route",
    "RoutingTable",
    "ServiceTerms",
    "VersionConflictError",
    "check",
]

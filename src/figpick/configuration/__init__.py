"""Configurations of routes, services and limits, and their replicated history."""

from ._commands import ChangeSet, Departure, Refusal, check_size, encode_command
from ._model import Configuration, Limits, Route, ServiceSettings, check
from ._registry import (
    ACCEPTED,
    CONFLICT,
    NEW,
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
    "Departure",
    "Limits",
    "Refusal",
    "Route",
    "RoutingTable",
    "ServiceSettings",
    "VersionConflictError",
    "check",
    "check_size",
    "encode_command",
]

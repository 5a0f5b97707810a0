"""Public access to process settings."""

from .base._settings import ControlMember, MetricsSettings, Settings, load

__all__ = ["ControlMember", "MetricsSettings", "Settings", "load"]

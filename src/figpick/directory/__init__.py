"""The known hosts, what runs on them and where their processes listen."""

from ._announcer import Announcer
from ._incarnations import Identity, Incarnation, is_key, parse_incarnation
from ._records import (
    CONTROL,
    DRAINING,
    LEFT,
    NO_UPSTREAM,
    NODE,
    HostRecord,
    decode_record,
)
from ._reports import UpstreamReport, UpstreamView
from ._table import Directory

__all__ = [
    "CONTROL",
    "DRAINING",
    "LEFT",
    "NO_UPSTREAM",
    "NODE",
    "Announcer",
    "Directory",
    "HostRecord",
    "Identity",
    "Incarnation",
    "UpstreamReport",
    "UpstreamView",
    "decode_record",
    "is_key",
    "parse_incarnation",
]

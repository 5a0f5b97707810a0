"""Admission control: which calls run, wait or are refused, and what may be retried."""

from ._offered_load import ENTRY_SHARE
from ._quarantine import CrashQuarantine
from ._queue import REASON_RATE_LIMITED, AdmissionQueue
from ._retry_budget import RetryBudget
from ._throttle import (
    FREE_CAPACITY_LEVEL,
    NO_CAPACITY_LEVEL,
    AdmissionLevel,
    EntryThrottle,
)
from ._tickets import Refusal, Ticket

__all__ = [
    "ENTRY_SHARE",
    "FREE_CAPACITY_LEVEL",
    "NO_CAPACITY_LEVEL",
    "REASON_RATE_LIMITED",
    "AdmissionLevel",
    "AdmissionQueue",
    "CrashQuarantine",
    "EntryThrottle",
    "Refusal",
    "RetryBudget",
    "Ticket",
]

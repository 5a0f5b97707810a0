"""Decisions on load: which calls run, wait or are refused, and what may be retried."""

from ._budget import RetryBudget
from ._quarantine import CrashJudge
from ._queue import ENTRY_SHARE, AdmissionQueue, Refusal, Ticket
from ._throttle import AdmissionLevel, EntryThrottle

__all__ = [
    "ENTRY_SHARE",
    "AdmissionLevel",
    "AdmissionQueue",
    "CrashJudge",
    "EntryThrottle",
    "Refusal",
    "RetryBudget",
    "Ticket",
]

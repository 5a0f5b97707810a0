"""Decisions on load: which calls run, wait or are refused, and what may be retried."""

from ._budget import RetryBudget
from ._quarantine import CrashJudge
from ._queue import AdmissionQueue, Refusal, Ticket
from ._throttle import EntryThrottle

__all__ = [
    "AdmissionQueue",
    "CrashJudge",
    "EntryThrottle",
    "Refusal",
    "RetryBudget",
    "Ticket",
]

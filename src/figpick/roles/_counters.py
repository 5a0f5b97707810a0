"""Counters of a node, kept as plain integers because the hot path updates them."""

from collections import Counter


class Counters:
    """Counts the calls of a node since its start, by how they were handled."""

    def __init__(self):
        self.calls = 0
        self.cancelled = 0
        self.truncated = 0
        self.retries = 0
        self.backup_attempts = 0
        self.refused = Counter()

    def record_refusal(self, reason):
        """Counts a call that the node refused without a response from an upstream.

        :param reason: reason for the refusal, as in ``Figpick-Reason``.
        """
        self.refused[reason] += 1

    def dump(self):
        """Returns all counters as a dict."""
        return {
            "calls": self.calls,
            "cancelled": self.cancelled,
            "cut": self.truncated,
            "retries": self.retries,
            "rescues": self.backup_attempts,
            "refused": dict(self.refused),
        }

"""Counters of a node, kept as plain integers for the hot path."""

from collections import Counter


class Counters:
    """Counts what a node did since its start."""

    def __init__(self):
        self.calls = 0
        self.cancelled = 0
        self.cut = 0
        self.retries = 0
        self.rescues = 0
        self.refused = Counter()

    def record_refusal(self, reason):
        """Counts a call that the node answered itself.

        :param reason: reason of the refusal.
        """
        self.refused[reason] += 1

    def dump(self):
        """Gives all counters as a dict."""
        return {
            "calls": self.calls,
            "cancelled": self.cancelled,
            "cut": self.cut,
            "retries": self.retries,
            "rescues": self.rescues,
            "refused": dict(self.refused),
        }

"""Decides which requests crash the upstreams that run them.

Every request that ran at an upstream when it crashed is a suspect. A request counts as
the cause once it was running in two crashes, at least one of them with few suspects,
or in more than two; all nodes then refuse it.
"""

# Crashes after which a request may be quarantined.
MIN_CRASHES = 2
# A crash with more requests in flight is weaker evidence against each of them.
MAX_CONCLUSIVE_SUSPECTS = 4
CRASH_TTL_S = 120.0
MAX_SUSPECTS = 4096


class CrashQuarantine:
    """Suspects by fingerprint, with the crashes during which they ran."""

    def __init__(self):
        self._crashes = {}

    def __repr__(self):
        return f"<CrashQuarantine {len(self._crashes)}>"

    def record_crash(self, crash_id, fingerprints, now):
        """Records the requests that ran when an upstream crashed.

        :param crash_id: identifier of the incarnation that crashed; a crash that is
            reported again counts once.
        :param fingerprints: fingerprints of the requests.
        :param now: monotonic seconds.
        """
        for fingerprint in fingerprints:
            crashes = self._crashes.setdefault(fingerprint, {})
            crashes[crash_id] = (now, len(fingerprints) <= MAX_CONCLUSIVE_SUSPECTS)
        if len(self._crashes) > MAX_SUSPECTS:
            self._expire(now)

    def is_quarantined(self, fingerprint, now):
        """Returns whether a request must not run again.

        :param now: monotonic seconds.
        """
        crashes = self._crashes.get(fingerprint)
        if crashes is None or len(crashes) < MIN_CRASHES:
            return False
        recent = [
            is_conclusive
            for at, is_conclusive in crashes.values()
            if now - at < CRASH_TTL_S
        ]
        return len(recent) > MIN_CRASHES or (len(recent) == MIN_CRASHES and any(recent))

    def _expire(self, now):
        self._crashes = {
            fingerprint: crashes
            for fingerprint, crashes in self._crashes.items()
            if any(now - at < CRASH_TTL_S for at, _ in crashes.values())
        }
        while len(self._crashes) > MAX_SUSPECTS:
            del self._crashes[next(iter(self._crashes))]

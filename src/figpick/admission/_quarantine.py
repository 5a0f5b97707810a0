"""Decides which requests crash the upstreams that run them.

Every request that ran at an upstream when it crashed is a suspect. A request is
judged to be the cause once it was running in two crashes, of which one had few
suspects; all nodes then refuse it.
"""

CRASHES = 2
# A crash with more requests in flight accuses each of them less clearly.
CLEAR_SUSPECTS = 4
KEEP_S = 120.0
MAX_SUSPECTS = 4096


class CrashQuarantine:
    """Suspects by fingerprint."""

    def __init__(self):
        self._crashes = {}

    def __repr__(self):
        return f"<CrashQuarantine {len(self._crashes)}>"

    def record_crash(self, crash_id, fingerprints, now):
        """Notes the requests that ran when an upstream crashed.

        :param crash_id: start that crashed; a repeated report counts once.
        :param fingerprints: fingerprints of the requests.
        :param now: monotonic seconds.
        """
        for fingerprint in fingerprints:
            crashes = self._crashes.setdefault(fingerprint, {})
            crashes[crash_id] = (now, len(fingerprints) <= CLEAR_SUSPECTS)
        if len(self._crashes) > MAX_SUSPECTS:
            self._expire(now)

    def is_quarantined(self, fingerprint, now):
        """Tells whether a request must not run again.

        :param now: monotonic seconds.
        """
        crashes = self._crashes.get(fingerprint)
        if crashes is None or len(crashes) < CRASHES:
            return False
        recent = [clear for at, clear in crashes.values() if now - at < KEEP_S]
        return len(recent) > CRASHES or (len(recent) == CRASHES and any(recent))

    def _expire(self, now):
        self._crashes = {
            fingerprint: crashes
            for fingerprint, crashes in self._crashes.items()
            if any(now - at < KEEP_S for at, _ in crashes.values())
        }
        while len(self._crashes) > MAX_SUSPECTS:
            del self._crashes[next(iter(self._crashes))]

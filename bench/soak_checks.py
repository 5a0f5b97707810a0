"""The promises that a soak checks, from what callers and upstreams see."""

from collections import Counter

NOT_RUN = (408, 421, 429, 503)
MAX_SHOWN = 5


class Checks:
    """What was seen in one run."""

    def __init__(self):
        self._once_runs = Counter()
        self._answers = {}
        self._statuses = Counter()
        self._faults = []
        self._acknowledged = 0
        self._changes = 0
        self._recovery_s = None

    def ran(self, request_id, is_once):
        """Notes that an upstream began to run a request."""
        if is_once:
            self._once_runs[request_id] += 1

    def answered(self, request_id, is_once, status, is_own):
        """Notes the answer that a caller got.

        :param status: HTTP status, 0 when the connection ended without an answer.
        :param is_own: whether a success has the caller's own whole body.
        """
        self._statuses[status] += 1
        if status == 200 and not is_own:
            self._faults.append(f"{request_id} got a body that is not its own")
        if is_once:
            self._answers[request_id] = status

    def ended(self, name, code):
        """Notes a process that ended by itself.

        :param code: its exit code.
        """
        self._faults.append(f"{name} ended by itself with {code}")

    def never_started(self, after_s):
        """Notes that no configuration was taken after the start of all processes."""
        self._faults.append(
            f"no configuration was taken {after_s:.0f} s after the start"
        )

    def acknowledged(self, version):
        """Notes that a configuration was acknowledged."""
        self._acknowledged = max(self._acknowledged, version)
        self._changes += 1

    def refused_change(self, status, version):
        """Notes the refusal of a valid configuration that builds on the newest one."""
        if 400 <= status < 500 and status not in (408, 429):
            self._faults.append(f"valid change {version} was refused with {status}")

    def read_back(self, version):
        """Notes the version that a control process gives at the end."""
        if version < self._acknowledged:
            self._faults.append(
                f"read {version} after {self._acknowledged} was accepted"
            )

    def recovered(self, is_normal, after_s):
        """Notes whether service was normal after the last fault."""
        self._recovery_s = round(after_s, 2)
        if not is_normal:
            self._faults.append(f"service was not normal {after_s:.0f} s after")

    def broken(self):
        """Lists the broken promises."""
        faults = list(self._faults)
        twice = [name for name, count in self._once_runs.items() if count > 1]
        faults.extend(f"{name} ran {self._once_runs[name]} times" for name in twice)
        false = [
            name
            for name, status in self._answers.items()
            if status in NOT_RUN and self._once_runs[name]
        ]
        faults.extend(f"{name} was said not to have run, but ran" for name in false)
        return faults[:MAX_SHOWN] + ([f"{len(faults)} in all"] if faults else [])

    def summary(self):
        """Figures of the run."""
        return {
            "answers": dict(sorted(self._statuses.items())),
            "once": len(self._answers),
            "changes": self._changes,
            "recovery_s": self._recovery_s,
        }

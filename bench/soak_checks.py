"""Checks of the guarantees in a soak test, from what callers and upstreams observe."""

from collections import Counter

NOT_RUN_STATUSES = (408, 421, 429, 503)
MAX_LISTED_VIOLATIONS = 5


class SoakChecker:
    """Records the observations of one run and lists the violated guarantees."""

    def __init__(self):
        self._non_idempotent_runs = Counter()
        self._non_idempotent_statuses = {}
        self._statuses = Counter()
        self._violations = []
        self._acknowledged_version = 0
        self._change_count = 0
        self._recovery_s = None

    def record_execution(self, request_id, is_non_idempotent):
        """Records that an upstream started to execute a request."""
        if is_non_idempotent:
            self._non_idempotent_runs[request_id] += 1

    def record_response(self, request_id, is_non_idempotent, status, is_body_correct):
        """Records the response that a caller received.

        :param status: HTTP status, 0 when the connection ended without a response.
        :param is_body_correct: whether a successful response has the complete body of
            this request.
        """
        self._statuses[status] += 1
        if status == 200 and not is_body_correct:
            self._violations.append(f"{request_id} got a body that is not its own")
        if is_non_idempotent:
            self._non_idempotent_statuses[request_id] = status

    def record_unexpected_exit(self, name, code):
        """Records that a process exited without being stopped or killed.

        :param code: exit code.
        """
        self._violations.append(f"{name} ended by itself with {code}")

    def record_failed_start(self, after_s):
        """Records that no configuration was accepted after all processes started."""
        self._violations.append(
            f"no configuration was taken {after_s:.0f} s after the start"
        )

    def record_acknowledged_version(self, version):
        """Records that a configuration was acknowledged."""
        self._acknowledged_version = max(self._acknowledged_version, version)
        self._change_count += 1

    def record_rejected_change(self, status, version):
        """Records the rejection of a valid configuration based on the newest one."""
        if 400 <= status < 500 and status not in (408, 429):
            self._violations.append(f"valid change {version} was refused with {status}")

    def record_read_version(self, version):
        """Records the version that a control process returns at the end."""
        if version < self._acknowledged_version:
            self._violations.append(
                f"read {version} after {self._acknowledged_version} was accepted"
            )

    def record_recovery(self, has_recovered, after_s):
        """Records whether service became normal after the last fault."""
        self._recovery_s = round(after_s, 2)
        if not has_recovered:
            self._violations.append(f"service was not normal {after_s:.0f} s after")

    def list_violations(self):
        """Returns descriptions of the violated guarantees."""
        violations = list(self._violations)
        run_twice = [
            name for name, count in self._non_idempotent_runs.items() if count > 1
        ]
        violations.extend(
            f"{name} ran {self._non_idempotent_runs[name]} times" for name in run_twice
        )
        falsely_refused = [
            name
            for name, status in self._non_idempotent_statuses.items()
            if status in NOT_RUN_STATUSES and self._non_idempotent_runs[name]
        ]
        violations.extend(
            f"{name} was said not to have run, but ran" for name in falsely_refused
        )
        return violations[:MAX_LISTED_VIOLATIONS] + (
            [f"{len(violations)} in all"] if violations else []
        )

    def summary(self):
        """Returns the figures of the run."""
        return {
            "answers": dict(sorted(self._statuses.items())),
            "once": len(self._non_idempotent_statuses),
            "changes": self._change_count,
            "recovery_s": self._recovery_s,
        }

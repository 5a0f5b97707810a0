"""Checks of responses around planned stops, from what clients and upstreams observe."""

from collections import Counter, defaultdict
from typing import NamedTuple

from bench.soak_checks import NOT_RUN_STATUSES
from bench.soak_clients import DEADLINE_MS
from bench.soak_cluster import GRACE_S

# Faults count as a cause of failures for this time after their end.
STABLE_S = 3.0
# A request that waited longer than this for its response counts as read by the node.
LOSS_SLACK_S = 0.2
ROUTE_TIMEOUT_S = 3.0
# Clients see the end of a connection a little after the process has ended.
EXIT_SLACK_S = 0.3
# Responses that are given up for a time limit arrive at the client about that late.
TIME_SLACK_S = 0.1
# Requests sent no later than this after SIGTERM, which an upstream still runs in the
# last sixth of the grace time, may be ended by the node.
LATE_WORK_SENT_S = 3.0
APPLY_S = 2.0
MAX_CUT_WITHOUT_STOP = 3


class Run(NamedTuple):
    """Execution of a request by an upstream; times are in Unix seconds.

    :param node: number of the node next to the upstream.
    :param ended_at: time of the response.
    :param was_cut: whether the connection of the node had closed before.
    """

    node: int
    service: str
    started_at: float
    ended_at: float
    was_cut: bool


class Window(NamedTuple):
    """Time of a planned stop, of a reload or of a fault, in Unix seconds.

    :param node: number of the process.
    :param kind: signal or fault.
    """

    node: int
    kind: str
    started_at: float
    ended_at: float


class AnswerChecker:
    """Records requests, their executions, and signals, and lists violations.

    :param hosts: function that returns the numbers of the nodes of a service.
    """

    def __init__(self, hosts):
        self._hosts = hosts
        self._requests = {}
        self._runs = defaultdict(list)
        self._starts = defaultdict(list)
        self._plans = []
        self._faults = []
        self._restarts = []
        self._outages = []
        self._violations = []

    def record_request(self, record):
        """Records a request that is being sent."""
        self._requests[record.request_id] = record

    def record_run_start(self, request_id, node, at):
        """Records that an upstream began to execute a request."""
        self._starts[request_id].append((node, at))

    def record_run(self, request_id, run):
        """Records a complete execution."""
        self._runs[request_id].append(run)

    def record_plan(self, node, kind, started_at, ended_at):
        """Records a planned stop or reload of a node."""
        self._plans.append(Window(node, kind, started_at, ended_at))

    def record_fault(self, node, kind, started_at, ended_at):
        """Records an unplanned fault at the host of a node."""
        self._faults.append(Window(node, kind, started_at, ended_at))

    def record_restart(self, node, ended_at, started_at):
        """Records that a process was started again after its planned end."""
        self._restarts.append(Window(node, "start", ended_at, started_at))

    def record_outage(self, started_at, ended_at):
        """Records that most control processes were down or slowed."""
        self._outages.append(Window(None, "outage", started_at, ended_at))

    def record_outlived_grace(self, name, at, after_s):
        """Records that a process did not exit within its grace time."""
        fields = {"process": name, "signalled": at, "after_s": round(after_s, 2)}
        self._add("GRACE", "process outlived its grace time", fields)

    def record_unasked_response(self, address, status_line):
        """Records a response on a connection without an outstanding request."""
        fields = {"address": address, "status_line": status_line}
        self._add("MIXED", "response without a request", fields)

    def record_malformed_response(self, records, error):
        """Records bytes that are no response."""
        ids = [item.request_id for item in records]
        self._add("MIXED", "malformed response", {"ids": ids, "error": error})

    def list_violations(self):
        """Returns a dict of fields for each violation."""
        violations = list(self._violations)
        cut_without_stop = []
        for record in self._requests.values():
            violations += self._check_response(record)
            violations += self._check_runs(record)
            found, is_planned = self._check_loss(record)
            if found and is_planned:
                violations.append(found)
            elif found:
                cut_without_stop.append(found)
        if len(cut_without_stop) > MAX_CUT_WITHOUT_STOP:
            violations += cut_without_stop
        return violations

    def summary(self):
        """Returns the figures of the run."""
        records = self._requests.values()
        outcomes = Counter(
            str(record.status) if record.outcome == "answered" else record.outcome
            for record in records
        )
        return {
            "outcomes": dict(sorted(outcomes.items())),
            "stops": sum(plan.kind == "SIGTERM" for plan in self._plans),
            "reloads": sum(plan.kind == "SIGHUP" for plan in self._plans),
            "faults": len(self._faults),
        }

    def _add(self, rule, text, fields):
        self._violations.append({"rule": rule, "text": text, **fields})

    def _check_response(self, record):
        if record.outcome != "answered":
            return []
        is_own_refusal = 300 <= record.status < 500 and not record.has_stamp
        if is_own_refusal and record.status not in NOT_RUN_STATUSES:
            if record.path.startswith(("/front/", "/deep/")):
                return [self._describe("DENIED", record, "refused, but allowed")]
        if record.answered_id not in (None, record.request_id):
            return [self._describe("MIXED", record, "another request's response")]
        if record.status == 200 and not (record.has_stamp and record.is_body_correct):
            return [self._describe("MIXED", record, "not the body of the upstream")]
        return []

    def _check_runs(self, record):
        if not record.is_non_idempotent:
            return []
        count = len(self._starts[record.request_id])
        found = []
        if count > 1:
            found.append(self._describe("TWICE", record, f"ran {count} times"))
        if count and record.outcome == "answered":
            if record.status in NOT_RUN_STATUSES:
                found.append(self._describe("REFUSED", record, "refused, but ran"))
        return found

    def _check_loss(self, record):
        """Returns the violation of a request without its response, and if planned."""
        starts = self._starts[record.request_id]
        if record.outcome == "answered":
            if record.status < 500 or record.has_stamp or not starts:
                return None, False
            text = f"{record.status} in place of the response of an upstream"
        elif record.outcome == "cut":
            age_s = record.ended_at - record.sent_at
            if not starts and (record.is_behind or age_s <= LOSS_SLACK_S):
                return None, False
            text = "connection ended without a whole response"
        else:
            return None, False
        plan = self._plan(record)
        if self._has_time_expired(record) or self._has_late_work(record, plan):
            return None, False
        if self._is_disturbed(record):
            return None, False
        if plan is None and (record.outcome == "answered" or not starts):
            return None, False
        return self._describe("LOST", record, text, plan), plan is not None

    def _plan(self, record):
        """Returns the stop or reload around which a request ended, if any."""
        # A stop is the likelier cause than a reload.
        for plan in sorted(self._plans, key=lambda plan: plan.kind, reverse=True):
            if plan.node != record.node:
                continue
            if plan.kind == "SIGHUP" and record.sent_at > plan.ended_at:
                continue
            slack_s = EXIT_SLACK_S if plan.kind == "SIGTERM" else GRACE_S
            if plan.started_at <= record.ended_at <= plan.ended_at + slack_s:
                return plan
        return None

    def _has_time_expired(self, record):
        limit_s = min(DEADLINE_MS / 1000, ROUTE_TIMEOUT_S) - TIME_SLACK_S
        return record.ended_at - record.sent_at >= limit_s

    def _has_late_work(self, record, plan):
        if plan is None or plan.kind != "SIGTERM":
            return False
        if record.sent_at > plan.started_at + LATE_WORK_SENT_S:
            return False
        late_at = plan.started_at + GRACE_S * 5 / 6
        runs = self._runs[record.request_id]
        is_running = len(runs) < len(self._starts[record.request_id])
        return record.ended_at >= late_at and (
            is_running or any(run.ended_at >= late_at for run in runs)
        )

    def _is_disturbed(self, record):
        starts = self._starts[record.request_id]
        nodes = {record.node, *(node for node, _ in starts)}
        if not starts:
            nodes |= set(self._hosts(record.path.split("/")[1]))
        return self.has_fault(nodes, record.sent_at - STABLE_S, record.ended_at)

    def has_fault(self, nodes, since, until):
        """Returns whether a fault at any of these hosts overlaps a time."""
        return any(
            fault.node in nodes
            and fault.started_at <= until
            and fault.ended_at >= since
            for fault in self._faults
        )

    def is_disturbed(self, node, since, until):
        """Returns whether a stop, start, reload or fault of a node overlaps a time.

        Without a quorum, nodes count as disturbed, too.
        """
        return any(
            window.node in (node, None)
            and window.started_at <= until
            and window.ended_at >= since
            for window in (
                *self._faults,
                *self._plans,
                *self._restarts,
                *self._outages,
            )
        )

    def service_of(self, request_id):
        """Returns the service that completed a request, empty if none."""
        runs = self._runs[request_id]
        return runs[-1].service if runs else ""

    def _describe(self, rule, record, text, plan=None):
        fields = {
            "rule": rule,
            "text": text,
            "id": record.request_id,
            "node": record.node,
            "style": record.style,
            "request": f"{record.method} {record.path}",
            "sent": round(record.sent_at, 3),
            "ended": round(record.ended_at, 3),
            "outcome": record.outcome,
            "status": record.status,
            "received": record.received_bytes,
            "behind": record.is_behind,
            "starts": [
                (node, round(at, 3)) for node, at in self._starts[record.request_id]
            ],
            "runs": self._runs[record.request_id],
        }
        if plan is not None:
            fields |= {
                "signal": plan.kind,
                "signalled": round(plan.started_at, 3),
                "sent_after_s": round(record.sent_at - plan.started_at, 3),
                "ended_after_s": round(record.ended_at - plan.started_at, 3),
                "exit_after_s": round(plan.ended_at - plan.started_at, 3),
            }
        return fields

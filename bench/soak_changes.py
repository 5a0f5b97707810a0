"""Checks of configuration changes, from what operators and clients observe."""

import json
from typing import NamedTuple

from bench.soak_documents import SLOW_TIMEOUT_S
from bench.soak_responses import APPLY_S, STABLE_S

CLEAR_REFUSALS = (400, 409, 412, 413, 422)


class Change(NamedTuple):
    """Configuration that an operator sent.

    :param number: unique number of the change; its added route is named after it.
    :param version: version number, which another change may have too.
    :param parent: number of the change that it builds on, ``None`` for the first.
    :param added: numbers of the changes whose added routes it has.
    :param moved_to: service of the route that changes move.
    :param slow_timeout_s: timeout of the slow routes, in seconds.
    """

    number: int
    version: int
    base: int
    parent: int | None
    added: tuple
    moved_to: str
    body: bytes
    is_valid: bool
    created_at: float
    slow_timeout_s: float = SLOW_TIMEOUT_S


class Order(NamedTuple):
    """One sending of a change and its response; times are in Unix seconds.

    :param process: number of the control process.
    :param status: HTTP status, 0 when the response was lost.
    """

    change: Change
    process: int
    sent_at: float
    ended_at: float
    status: int
    text: str


class ChangeChecker:
    """Records orders, reads and probes, and lists violations.

    :param is_disturbed: function of a node and two times that returns whether the node
        was disturbed between them.
    :param service_of: function of a request ID that returns the service that ran it.
    """

    def __init__(self, is_disturbed, service_of):
        self._is_disturbed = is_disturbed
        self._service_of = service_of
        self._changes = {}
        self._orders = []
        self._reads = []
        self._probes = []
        self._unreadable_s = None

    def record_change(self, change):
        """Records a change before it is sent first."""
        self._changes[change.number] = change

    def record_order(self, order):
        """Records the end of one sending."""
        self._orders.append(order)

    def record_read(self, process, sent_at, ended_at, body, is_final=False):
        """Records a successful read of the configuration."""
        self._reads.append((sent_at, ended_at, process, json.loads(body), is_final))

    def record_unreadable(self, waited_s):
        """Records that no process returned the configuration at the end."""
        self._unreadable_s = waited_s

    def record_probe(self, change_number, request):
        """Records a request that shows which configuration is in force at a node.

        :param change_number: number of the change that added the route, ``None`` for
            the route that changes move.
        """
        self._probes.append((change_number, request))

    def slow_timeout_s(self, since, until):
        """Returns the shortest timeout of slow routes that may be in force in a time.

        :param since: start of the time in Unix seconds; changes that were replaced
            before are in force nowhere.
        """
        acknowledged = [
            order.change.version
            for order in self._orders
            if order.status == 200 and order.ended_at < since
        ]
        oldest = max(acknowledged, default=0)
        return min(
            change.slow_timeout_s
            for change in self._changes.values()
            if change.version >= oldest and change.created_at <= until
        )

    def summary(self):
        """Returns the figures of the run."""
        statuses = [order.status for order in self._orders]
        orders = {str(each): statuses.count(each) for each in sorted(set(statuses))}
        return {
            "changes": len(self._changes),
            "orders": orders,
            "reads": len(self._reads),
            "probes": len(self._probes),
        }

    def list_violations(self):
        """Returns a dict of fields for each violation."""
        accepted_at = {}
        refusals = {}
        for order in sorted(self._orders, key=lambda order: order.ended_at):
            if order.status == 200:
                accepted_at.setdefault(order.change.number, order.ended_at)
            elif order.status in CLEAR_REFUSALS:
                refusals.setdefault(order.change.number, order)
        return [
            *self._check_refusals(accepted_at),
            *self._check_acceptances(accepted_at),
            *self._check_reads(accepted_at, refusals),
            *self._check_probes(accepted_at, refusals),
            *self._check_readable(),
        ]

    def _check_readable(self):
        if self._unreadable_s is not None:
            waited_s = round(self._unreadable_s, 1)
            yield _violation("no configuration can be read back", waited_s=waited_s)

    def _check_refusals(self, accepted_at):
        for order in self._orders:
            number = order.change.number
            if order.status not in CLEAR_REFUSALS or number not in accepted_at:
                continue
            has_later = any(
                self._changes[other].version > order.change.version
                and at < order.ended_at
                for other, at in accepted_at.items()
            )
            text = "acknowledged change refused when sent again"
            yield _violation(
                text + ", after other changes" if has_later else text,
                order.change,
                process=order.process,
                sent=round(order.sent_at, 3),
                ended=round(order.ended_at, 3),
                acknowledged=round(accepted_at[number], 3),
                status=order.status,
                response=order.text,
            )

    def _check_acceptances(self, accepted_at):
        by_base = {}
        for number in accepted_at:
            change = self._changes[number]
            if not change.is_valid:
                yield _violation("invalid change acknowledged", change)
            if change.base in by_base:
                text = "two changes on one base acknowledged"
                yield _violation(text, change, other=by_base[change.base])
            by_base[change.base] = number

    def _check_reads(self, accepted_at, refusals):
        by_body = {
            _canonical(json.loads(change.body)): change
            for change in self._changes.values()
        }
        read_at = {}
        for sent_at, ended_at, process, document, is_final in sorted(
            self._reads, key=lambda read: read[:3]
        ):
            fields = {
                "process": process,
                "sent": round(sent_at, 3),
                "ended": round(ended_at, 3),
                "read": document.get("version"),
            }
            change = by_body.get(_canonical(document))
            if change is None:
                yield _violation("read a configuration that nobody sent", **fields)
                continue
            if not change.is_valid:
                yield _violation("read an invalid change", change, **fields)
            if refusal := refusals.get(change.number):
                fields["refused"] = round(refusal.ended_at, 3)
                fields["refused_by"] = refusal.process
                yield _violation("read a refused change", change, **fields)
            until = sent_at if is_final else sent_at - APPLY_S
            known = self._newest(accepted_at, until), self._newest(read_at, until)
            newest = max(filter(None, known), default=change, key=lambda c: c.version)
            if newest.number not in self._ancestry(change.number):
                fields["newest"] = newest.number
                yield _violation("read an older or another version", change, **fields)
            read_at.setdefault(change.number, ended_at)

    def _newest(self, times, until):
        """Returns the newest of the changes that were known at a time, or ``None``."""
        known = [self._changes[number] for number, at in times.items() if at <= until]
        return max(known, key=lambda change: change.version, default=None)

    def _check_probes(self, accepted_at, refusals):
        for number, request in self._probes:
            if request.outcome != "answered" or request.status not in (200, 404):
                continue
            allowed = self._possible_changes(request, accepted_at, refusals)
            has_run = request.status == 200
            service = self._service_of(request.request_id)
            if number is None:
                is_right = has_run and any(c.moved_to == service for c in allowed)
            else:
                is_right = any((number in c.added) == has_run for c in allowed)
            if is_right:
                continue
            yield _violation(
                "handled as only another version allows",
                self._changes.get(number),
                id=request.request_id,
                node=request.node,
                request=request.path,
                sent=round(request.sent_at, 3),
                ended=round(request.ended_at, 3),
                status=request.status,
                service=service,
                acknowledged=accepted_at.get(number),
                refused=refusals[number].ended_at if number in refusals else None,
                allowed=[(c.number, c.version) for c in allowed][:8],
            )

    def _possible_changes(self, request, accepted_at, refusals):
        """Returns the changes that may be in force when a node handles a request.

        A node that was disturbed may still use an older one.
        """
        candidates = [
            change
            for change in self._changes.values()
            if change.is_valid
            and change.created_at < request.ended_at
            and change.number not in refusals
        ]
        since = request.sent_at - STABLE_S
        settled = self._newest(accepted_at, request.sent_at - APPLY_S)
        if settled is None or self._is_disturbed(request.node, since, request.ended_at):
            return candidates
        return [c for c in candidates if settled.number in self._ancestry(c.number)]

    def _ancestry(self, number):
        numbers = set()
        while number is not None:
            numbers.add(number)
            number = self._changes[number].parent
        return numbers


def _canonical(document):
    return json.dumps(document, sort_keys=True)


def _violation(text, change=None, **fields):
    described = {"rule": "CONFIG", "text": text}
    if change is not None:
        described |= {
            "change": change.number,
            "version": change.version,
            "base": change.base,
        }
    return described | fields

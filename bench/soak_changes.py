"""Checks of configuration changes, from what operators and clients observe."""

import json
from typing import NamedTuple

APPLY_S = 2.0
STABLE_S = 3.0
CLEAR_REFUSALS = (400, 409, 412, 413, 422)


class Change(NamedTuple):
    """Configuration that an operator sent.

    :param number: unique number of the change; its added route is named after it.
    :param version: version number, which another change may have too.
    :param parent: number of the change that it builds on, ``None`` for the first.
    :param added: numbers of the changes whose added routes it has.
    :param moved_to: service of the route that changes move.
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


class Order(NamedTuple):
    """One sending of a change and its response; times are in Unix seconds.

    :param process: number of the control process.
    :param status: HTTP status, 0 when the response was lost or unclear.
    """

    change: Change
    process: int
    sent_at: float
    ended_at: float
    status: int
    text: str


class Probe(NamedTuple):
    """Request that shows which configuration is in force at a node.

    :param change: number of the change that added the route, ``None`` for the route
        that changes move.
    :param service: service that ran the request, empty if none.
    """

    request_id: str
    node: int
    change: int | None
    sent_at: float
    ended_at: float
    status: int
    service: str


class ChangeChecker:
    """Records orders, reads and probes, and lists violations.

    :param is_disturbed: function of a node and two times that returns whether the node
        was disturbed between them.
    """

    def __init__(self, is_disturbed):
        self._is_disturbed = is_disturbed
        self._changes = {}
        self._orders = []
        self._reads = []
        self._probes = []
        self._final_reads = []

    def record_change(self, change):
        """Records a change before it is sent first."""
        self._changes[change.number] = change

    def record_order(self, order):
        """Records the end of one sending."""
        self._orders.append(order)

    def record_read(self, process, sent_at, ended_at, body, is_final=False):
        """Records a successful read of the configuration."""
        reads = self._final_reads if is_final else self._reads
        reads.append((process, sent_at, ended_at, json.loads(body)))

    def record_probe(self, probe):
        """Records a request to an added or moved route."""
        self._probes.append(probe)

    def summary(self):
        """Returns the figures of the run."""
        statuses = [order.status for order in self._orders]
        return {
            "changes": len(self._changes),
            "orders": {
                str(status): statuses.count(status) for status in sorted(set(statuses))
            },
            "reads": len(self._reads) + len(self._final_reads),
            "probes": len(self._probes),
        }

    def list_violations(self):
        """Returns a dict of fields for each violation."""
        accepted_at = self._accepted_times()
        refusals = self._refusals()
        return [
            *self._check_refusals(accepted_at, refusals),
            *self._check_races(accepted_at),
            *self._check_reads(accepted_at, refusals),
            *self._check_probes(accepted_at, refusals),
        ]

    def _accepted_times(self):
        """Returns the time of the first acknowledgement of each change."""
        times = {}
        for order in self._orders:
            if order.status == 200:
                number = order.change.number
                times[number] = min(times.get(number, order.ended_at), order.ended_at)
        return times

    def _refusals(self):
        refusals = {}
        for order in self._orders:
            if order.status in CLEAR_REFUSALS:
                refusals.setdefault(order.change.number, order)
        return refusals

    def _check_refusals(self, accepted_at, refusals):
        found = []
        for order in self._orders:
            number = order.change.number
            if order.status in CLEAR_REFUSALS and number in accepted_at:
                later = [
                    other
                    for other in self._changes.values()
                    if other.number != number
                    and other.version >= order.change.version
                    and other.number not in refusals
                    and other.created_at < order.ended_at
                ]
                text = "acknowledged change refused when sent again"
                if later:
                    text += ", after other changes"
                found.append(self._describe_order(text, order, accepted_at))
        for number in accepted_at:
            if not self._changes[number].is_valid:
                found.append(self._describe("invalid change acknowledged", number))
        return found

    def _check_races(self, accepted_at):
        found = []
        by_base = {}
        for number in accepted_at:
            base = self._changes[number].base
            if base in by_base:
                text = f"two changes on base {base} acknowledged, also {by_base[base]}"
                found.append(self._describe(text, number))
            by_base[base] = number
        return found

    def _check_reads(self, accepted_at, refusals):
        found = []
        by_body = {
            json.dumps(json.loads(change.body), sort_keys=True): change
            for change in self._changes.values()
            if change.is_valid
        }
        read_at = {}
        for read in sorted(self._reads + self._final_reads, key=lambda item: item[1]):
            process, sent_at, ended_at, document = read
            fields = {
                "process": process,
                "sent": round(sent_at, 3),
                "ended": round(ended_at, 3),
                "read": document.get("version"),
            }
            change = by_body.get(json.dumps(document, sort_keys=True))
            if change is None:
                found.append(_violation("read a configuration nobody sent", fields))
                continue
            fields["change"] = change.number
            if change.number in refusals:
                refusal = refusals[change.number]
                fields["refused"] = round(refusal.ended_at, 3)
                fields["refused_by"] = refusal.process
                found.append(_violation("read a refused change", fields))
            apply_s = 0.0 if read in self._final_reads else APPLY_S
            newest = self._newest(accepted_at, sent_at - apply_s)
            newest_read = self._newest(read_at, sent_at - apply_s)
            expected = max(newest, newest_read, key=lambda item: item[0])
            if change.version < expected[0]:
                fields["expected"], fields["acknowledged"] = expected
                found.append(_violation("read an older version", fields))
            read_at.setdefault(change.number, ended_at)
        return found

    def _newest(self, times, until):
        """Returns the newest version known at a time, and since when."""
        known = [
            (self._changes[number].version, at)
            for number, at in times.items()
            if at <= until
        ]
        return max(known, default=(0, 0.0))

    def _check_probes(self, accepted_at, refusals):
        found = []
        for probe in self._probes:
            allowed = self._possible_changes(probe, accepted_at, refusals)
            if not allowed or probe.status not in (200, 404):
                continue
            if probe.change is None:
                is_right = probe.status == 200 and any(
                    change.moved_to == probe.service for change in allowed
                )
            else:
                is_right = any(
                    (probe.change in change.added) == (probe.status == 200)
                    for change in allowed
                )
            if not is_right:
                fields = probe._asdict()
                fields["allowed"] = [
                    (change.number, change.version) for change in allowed
                ][:8]
                fields["acknowledged"] = accepted_at.get(probe.change)
                if refusal := refusals.get(probe.change):
                    fields["refused"] = refusal.ended_at
                text = "handled as only another version allows"
                found.append(_violation(text, fields))
        return found

    def _possible_changes(self, probe, accepted_at, refusals):
        """Returns the changes that may be in force at a node when a probe is handled.

        A node that was disturbed may still use an older one.
        """
        candidates = [
            change
            for change in self._changes.values()
            if change.is_valid
            and change.created_at < probe.ended_at
            and change.number not in refusals
        ]
        if self._is_disturbed(probe.node, probe.sent_at - STABLE_S, probe.ended_at):
            return candidates
        version, _ = self._newest(accepted_at, probe.sent_at - APPLY_S)
        settled = [
            number for number in accepted_at if self._changes[number].version == version
        ]
        if not settled:
            return candidates
        return [
            change
            for change in candidates
            if settled[0] in self._ancestry(change.number)
        ]

    def _ancestry(self, number):
        numbers = set()
        while number is not None:
            numbers.add(number)
            number = self._changes[number].parent
        return numbers

    def _describe_order(self, text, order, accepted_at):
        fields = self._describe(text, order.change.number)
        return fields | {
            "process": order.process,
            "sent": round(order.sent_at, 3),
            "ended": round(order.ended_at, 3),
            "status": order.status,
            "acknowledged": round(accepted_at[order.change.number], 3),
            "response": order.text,
        }

    def _describe(self, text, number):
        change = self._changes[number]
        fields = {
            "change": number,
            "version": change.version,
            "base": change.base,
            "parent": change.parent,
        }
        return _violation(text, fields)


def _violation(text, fields):
    return {"rule": "CONFIG", "text": text, **fields}

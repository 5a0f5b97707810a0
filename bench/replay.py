"""Replays a trace against real processes and checks the outcomes that it states.

Run as ``python -m bench.replay FILE``; the exit code is 1 when an outcome is not met.
"""

import asyncio
import sys
import time
from collections import Counter
from pathlib import Path
from typing import NamedTuple

import msgspec

from bench import deployments, traces
from bench.cluster import Cluster
from bench.rows import Row

WINDOW_S = 0.5
NORMAL_SHARE = 0.95
# Aggressive clients retry after this pause, whatever the response says.
RETRY_PAUSE_S = 0.05


class Completion(NamedTuple):
    """Result of one root request.

    :param tree: name of its tree in the head of the trace.
    :param at_s: time of the first attempt, in seconds from the start.
    :param ended_s: end of the last attempt, in seconds from the start.
    :param status: HTTP status of the last response, 0 without a complete one.
    :param is_correct: whether the response belongs to the request and is complete.
    :param not_run: whether the last response had the outcome ``not-run``.
    """

    request_id: str
    tree: str
    importance: int
    at_s: float
    ended_s: float
    status: int
    is_correct: bool
    not_run: bool

    @property
    def succeeded(self):
        """Whether the request completed end to end."""
        return self.status == 200 and self.is_correct


class Replay:
    """Run of a trace against a deployment.

    :param trace: :class:`~bench.traces.Trace`.
    """

    def __init__(self, trace):
        self._trace = trace
        self._deployment = getattr(deployments, trace.head["deployment"])()
        self._cluster = None
        self._started_at = 0.0
        self.completions = []
        self.executions_by_id = Counter()
        self.executions_by_request = Counter()
        self.response_counts = Counter()

    async def run(self):
        """Starts the deployment and sends the requests of the trace to it."""
        async with Cluster(self._deployment.services) as self._cluster:
            self._started_at = time.monotonic()
            tasks = [
                asyncio.ensure_future(self._inject_fault(fault))
                for fault in self._trace.head["faults"]
            ]
            for number, request in enumerate(self._trace.requests):
                await self._sleep_until(request["at_s"])
                tasks.append(asyncio.ensure_future(self._send(number, request)))
            await asyncio.gather(*tasks)
            for host in self._cluster.hosts:
                stats = await self._cluster.send_command(host, "stats")
                self.executions_by_id.update(stats["executions"])
                self.executions_by_request.update(stats["runs"])

    def rows(self):
        """Compares the run with the outcomes that the trace states.

        :return: list of :class:`~bench.rows.Row`.
        """
        bounds = self._trace.head["outcomes"]
        measured = {
            "goodput": (self._share(self.completions), False),
            "top_goodput": (
                self._share([c for c in self.completions if c.importance == 9]),
                False,
            ),
            "recovery_s": (self.recovery_s(), True),
        }
        rows = [
            self._row(name, measured[name][0], bounds[name], measured[name][1])
            for name in bounds
        ]
        rows.append(self._row("wrong_answers", self._count_wrong_responses(), 0, True))
        rows.append(self._row("executed_twice", self._count_executed_twice(), 0, True))
        rows.append(self._row("false_not_run", self._count_false_not_run(), 0, True))
        return rows

    def recovery_s(self):
        """Returns the seconds from the end of the disturbance to normal goodput."""
        until_s = self._trace.head["disturbed_until_s"]
        duration_s = self._trace.head["duration_s"]
        begin_s = until_s
        while begin_s + WINDOW_S <= duration_s:
            window = [
                c for c in self.completions if begin_s <= c.at_s < begin_s + WINDOW_S
            ]
            if self._share(window) >= NORMAL_SHARE:
                return round(begin_s - until_s, 3)
            begin_s += WINDOW_S / 10
        return round(duration_s - until_s, 3)

    def _row(self, name, value, bound, at_most):
        head = self._trace.head
        case = f"{head['trace']} {name}"
        unit = "s" if name.endswith("_s") else "share"
        if bound == 0:
            unit = "requests"
        return Row("replay", case, head["seed"], None, value, bound, unit, at_most)

    def _share(self, completions):
        if not completions:
            return 1.0
        return round(sum(c.succeeded for c in completions) / len(completions), 4)

    def _count_wrong_responses(self):
        return sum(c.status == 200 and not c.is_correct for c in self.completions)

    def _count_executed_twice(self):
        return sum(
            count > 1
            for request, count in self.executions_by_request.items()
            if request.split()[1] == "POST"
        )

    def _count_false_not_run(self):
        return sum(
            c.not_run and self.executions_by_id[c.request_id] > 0
            for c in self.completions
        )

    async def _inject_fault(self, fault):
        hosts = [h for h in self._cluster.hosts if h.service == fault["service"]]
        await self._sleep_until(fault["at_s"])
        for host in hosts:
            await self._cluster.send_command(
                host, "slow", str(fault["factor"]).encode()
            )
        await self._sleep_until(fault["at_s"] + fault["for_s"])
        for host in hosts:
            await self._cluster.send_command(host, "slow", b"1")

    async def _sleep_until(self, at_s):
        pause_s = self._started_at + at_s - time.monotonic()
        if pause_s > 0:
            await asyncio.sleep(pause_s)

    async def _send(self, number, request):
        tree = self._trace.head["trees"][request["tree"]]
        call = tree["call"]
        delay_s = self._deployment.client_delay_ms / 1000
        addresses = self._cluster.call_addresses(call["service"])
        for attempt in range(1 + self._trace.head["resends"]):
            # Attempts without an idempotency key cannot be recognized as the same
            # request, so each has an ID of its own.
            suffix = f".{attempt}" if tree["idempotent"] else ""
            request_id = f"r{number}{suffix}"
            await asyncio.sleep(delay_s)
            address = addresses[(number + attempt) % len(addresses)]
            response = await self._cluster.client.request(
                address, call["method"], call["path"], _headers(request_id, tree)
            )
            await asyncio.sleep(delay_s)
            self.response_counts[_describe_response(request, response)] += 1
            if response.status == 200:
                break
            await asyncio.sleep(RETRY_PAUSE_S)
        is_own_response = response.body.startswith(f"{request_id} ".encode())
        self.completions.append(
            Completion(
                request_id=request_id,
                tree=request["tree"],
                importance=tree["importance"],
                at_s=request["at_s"],
                ended_s=time.monotonic() - self._started_at,
                status=response.status,
                is_correct=is_own_response and len(response.body) >= call["size"],
                not_run=response.outcome == "not-run",
            )
        )


def _describe_response(request, response):
    reason = response.headers.get("Figpick-Reason", "upstream")
    return f"{request['tree']} {response.status} {reason} {response.outcome}".strip()


def _headers(request_id, tree):
    call = tree["call"]
    headers = {
        "Host": call["service"],
        "X-Request": request_id,
        "X-Plan": msgspec.json.encode(_plan(call, request_id)).decode(),
    }
    if not tree["idempotent"]:
        headers["Idempotency-Key"] = request_id
    return headers


def _plan(call, request_id):
    return {
        "prefix": "/",
        "service_ms": call["service_ms"],
        "size": call["size"],
        "calls": [
            _nested_call(nested, request_id, n)
            for n, nested in enumerate(call["calls"])
        ],
    }


def _nested_call(call, request_id, number):
    headers = {}
    if call["method"] != "GET":
        headers["Idempotency-Key"] = f"{request_id}.{number}"
    return {
        "service": call["service"],
        "method": call["method"],
        "path": call["path"],
        "headers": headers,
        "plan": _plan(call, f"{request_id}.{number}"),
    }


def replay(path):
    """Replays one trace file.

    :return: list of :class:`~bench.rows.Row`.
    """
    run = Replay(traces.load(path))
    asyncio.run(run.run())
    return run.rows()


def run(seeds):
    """Replays every trace of the repository as an experiment.

    :return: iterable of :class:`~bench.rows.Row`.
    """
    for path in sorted(Path(traces.FOLDER).glob("*.jsonl")):
        yield from replay(path)


def main(path):
    """Replays a trace file and prints its rows.

    :return: exit code.
    """
    replay_run = Replay(traces.load(path))
    asyncio.run(replay_run.run())
    rows = replay_run.rows()
    for description, count in sorted(replay_run.response_counts.items()):
        print(f"{count:6} {description}", file=sys.stderr)
    for row in rows:
        print(msgspec.json.encode({**row._asdict(), "holds": row.holds}).decode())
    return 0 if all(row.holds for row in rows) else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))

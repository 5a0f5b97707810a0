"""Runs seeded scenarios in parallel processes and checks the responses to calls."""

import asyncio
import random
from collections import Counter
from concurrent.futures import ProcessPoolExecutor

from bench.local import LocalGraph
from bench.rows import Row
from figpick.roles._compose import configure_garbage_collection


class Checker:
    """Makes calls and counts outcomes and violations of the invariants.

    :param client: :class:`bench.client.HttpClient`.
    :param executions: function that returns the number of executions of a request,
        given the value of its ``X-Request`` header.
    """

    def __init__(self, client, executions):
        self._client = client
        self._executions = executions
        self.calls = 0
        self.outcomes = Counter()
        self.violations = Counter()
        self._non_idempotent = []
        self._not_run = []

    async def call(self, address, method, path, expected, body=b"", timeout_s=20):
        """Makes a call and checks the body of its response.

        :param expected: expected body, or ``None`` to accept any.
        :return: :class:`bench.client.Response`.
        """
        self.calls += 1
        request_id = f"{method}-{self.calls}"
        headers = {"Host": "parts", "X-Request": request_id}
        response = await self._client.request(
            address, method, path, headers, body, timeout_s
        )
        outcome = response.outcome or str(response.status)
        self.outcomes[outcome] += 1
        if response.status == 200 and expected not in (None, response.body):
            self.violations["wrong body"] += 1
        if method == "POST":
            self._non_idempotent.append(request_id)
        if outcome == "not-run":
            self._not_run.append(request_id)
        return response

    def finish(self):
        """Checks the numbers of executions; all calls must have ended."""
        executed = self._executions
        twice = sum(executed(request_id) > 1 for request_id in self._non_idempotent)
        ran = sum(executed(request_id) > 0 for request_id in self._not_run)
        self.violations["run twice"] += twice
        self.violations["not-run but run"] += ran

    def summary(self):
        """Returns the counts of the run as a dict."""
        return {
            "calls": self.calls,
            "outcomes": dict(self.outcomes),
            "violations": dict(self.violations),
        }


async def run_calls(make_call, call_count, calls_per_s, rng):
    """Starts calls at random times and waits until they end.

    Raises the first exception of a call after all calls have ended.

    :param make_call: coroutine function without arguments.
    :param call_count: number of calls.
    :param calls_per_s: mean number of calls per second.
    :param rng: random number generator.
    """
    loop = asyncio.get_running_loop()
    start_at = loop.time()
    tasks = set()
    errors = []

    def on_done(task):
        tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            errors.append(task.exception())

    for _ in range(call_count):
        start_at += rng.expovariate(calls_per_s)
        if start_at > loop.time():
            await asyncio.sleep(start_at - loop.time())
        task = asyncio.ensure_future(make_call())
        tasks.add(task)
        task.add_done_callback(on_done)
    while tasks:
        await asyncio.wait(tasks)
    if errors:
        raise errors[0]


def run_seeds(experiment, scenario, seeds):
    """Runs ``scenario(seed)`` for each seed in a separate process.

    :param scenario: function that returns a dict with ``calls``, ``outcomes`` and
        ``violations``.
    :return: iterable of :class:`Row`.
    """
    with ProcessPoolExecutor(len(seeds)) as pool:
        for seed, result in zip(seeds, pool.map(scenario, seeds), strict=True):
            yield from _rows(experiment, seed, result)


def _rows(experiment, seed, result):
    calls = result["calls"]
    success_share = result["outcomes"].get("200", 0) / calls
    violation_count = sum(result["violations"].values())
    names = ", ".join(name for name, count in result["violations"].items() if count)
    label = f"violations ({names})" if names else "violations"
    yield Row(experiment, label, seed, None, violation_count, 0, f"of {calls}")
    yield Row(
        experiment, "answered", seed, None, round(success_share, 4), None, "share"
    )


def run_graph(nodes, documents, scenario, seed):
    """Runs ``scenario(graph, rng)`` with nodes in a new event loop."""

    async def main():
        configure_garbage_collection()
        async with LocalGraph(nodes, documents) as graph:
            return await scenario(graph, random.Random(seed))

    return asyncio.run(main())

"""Runs seeded scenarios in parallel processes and checks the answers of calls."""

import asyncio
import random
from collections import Counter
from concurrent.futures import ProcessPoolExecutor

from bench.local import LocalGraph
from bench.rows import Row
from figpick.roles._compose import prepare_process


class Checker:
    """Counts calls, outcomes and violations of the invariants.

    :param client: :class:`bench.client.HttpClient`.
    :param executions: function from the identity of a request to its executions.
    """

    def __init__(self, client, executions):
        self._client = client
        self._executions = executions
        self.calls = 0
        self.outcomes = Counter()
        self.violations = Counter()
        self._once = []
        self._not_run = []

    async def call(self, address, method, path, expected, body=b"", timeout_s=20):
        """Makes a call and compares its answer.

        :param expected: body of the whole answer, ``None`` to accept any.
        :return: :class:`bench.client.Response`.
        """
        self.calls += 1
        identity = f"{method}-{self.calls}"
        headers = {"Host": "parts", "X-Request": identity}
        answer = await self._client.request(
            address, method, path, headers, body, timeout_s
        )
        outcome = answer.outcome or str(answer.status)
        self.outcomes[outcome] += 1
        if answer.status == 200 and expected not in (None, answer.body):
            self.violations["wrong body"] += 1
        if method == "POST":
            self._once.append(identity)
        if outcome == "not-run":
            self._not_run.append(identity)
        return answer

    def finish(self):
        """Checks the executions, when all calls have ended."""
        executed = self._executions
        twice = sum(executed(identity) > 1 for identity in self._once)
        ran = sum(executed(identity) > 0 for identity in self._not_run)
        self.violations["run twice"] += twice
        self.violations["not-run but run"] += ran

    def summary(self):
        """Gives the counts of the run as a dict."""
        return {
            "calls": self.calls,
            "outcomes": dict(self.outcomes),
            "violations": dict(self.violations),
        }


async def run_calls(make_call, total, rate, source):
    """Starts calls at random times and waits for their end.

    :param make_call: coroutine function without arguments.
    :param rate: calls per second.
    """
    loop = asyncio.get_running_loop()
    at = loop.time()
    tasks = set()
    errors = []

    def end(task):
        tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            errors.append(task.exception())

    for _ in range(total):
        at += source.expovariate(rate)
        if at > loop.time():
            await asyncio.sleep(at - loop.time())
        task = asyncio.ensure_future(make_call())
        tasks.add(task)
        task.add_done_callback(end)
    while tasks:
        await asyncio.wait(tasks)
    if errors:
        raise errors[0]


def run_seeds(experiment, scenario, seeds):
    """Runs ``scenario(seed)`` for each seed in a process of its own.

    :param scenario: function from a seed to a dict with ``calls``, ``outcomes`` and
        ``violations``.
    :return: iterable of :class:`Row`.
    """
    with ProcessPoolExecutor(len(seeds)) as pool:
        for seed, result in zip(seeds, pool.map(scenario, seeds), strict=True):
            yield from _rows(experiment, seed, result)


def _rows(experiment, seed, result):
    calls = result["calls"]
    answered = result["outcomes"].get("200", 0) / calls
    found = sum(result["violations"].values())
    names = ", ".join(name for name, count in result["violations"].items() if count)
    label = f"violations ({names})" if names else "violations"
    yield Row(experiment, label, seed, None, found, 0, f"of {calls}")
    yield Row(experiment, "answered", seed, None, round(answered, 4), None, "share")


def run_graph(nodes, documents, scenario, seed):
    """Runs ``scenario(graph, source)`` with nodes in a new event loop."""

    async def main():
        prepare_process()
        async with LocalGraph(nodes, documents) as graph:
            return await scenario(graph, random.Random(seed))

    return asyncio.run(main())

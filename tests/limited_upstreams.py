"""Upstreams that name limits or say that they leave, and load from several nodes."""

import asyncio
import time
from bisect import bisect_left

from .fleet import Client, make_configuration, make_routes

# Values of the platform's rules, in seconds and requests.
STABLE_WINDOW_S = 3.0
WINDOW_S = 4.0
EXCESS_FACTOR = 1.5
EXCESS_REQUESTS = 5
DRAIN_S = 2.0


class StatingUpstream:
    """Adds notices to the responses of a fake upstream and records its requests.

    :param upstream: :class:`~.fleet.FakeUpstream` whose handler is replaced.
    """

    def __init__(self, upstream):
        self._upstream = upstream
        self.limit = None
        self.is_leaving = False
        self.work_s = 0.01
        self.body = b"ok"
        self.status = b"200 OK"
        self.extra = b""
        # Monotonic seconds and ids of the requests.
        self.arrivals = []
        self.ids = []
        self.first_stated_at = None
        upstream.handler = self._respond

    def headers(self):
        """Returns the header lines of the next response."""
        lines = self.extra
        if self.limit is not None:
            lines += b"figpick-rate-limit: %b\r\n" % self.limit
        if self.is_leaving:
            lines += b"figpick-leaving: 1\r\n"
        return lines

    async def _respond(self, connection, request):
        self.arrivals.append(time.monotonic())
        self.ids.append(request.header(b"figpick-request-id"))
        self._upstream.record_run(request)
        await asyncio.sleep(self.work_s)
        headers = self.headers()
        if headers and self.first_stated_at is None:
            self.first_stated_at = time.monotonic()
        data = self._upstream.render(request, self.body, self.status, headers)
        connection.transport.write(data)

    def worst_window(self, since=None):
        """Returns the most requests in four seconds from the time the rule counts."""
        since = self.first_stated_at + STABLE_WINDOW_S if since is None else since
        return worst_window([at for at in self.arrivals if at >= since])

    def served_rate(self, since, until):
        """Returns the requests per second between two times."""
        return sum(since <= at < until for at in self.arrivals) / (until - since)


def worst_window(times):
    """Returns the most requests in four seconds.

    :param times: seconds at which they arrived, in order.
    """
    return max(
        (
            bisect_left(times, start + WINDOW_S) - number
            for number, start in enumerate(times)
        ),
        default=0,
    )


def allowed(limit):
    """Returns the requests that an upstream may get in four seconds."""
    return EXCESS_FACTOR * limit * WINDOW_S + EXCESS_REQUESTS


async def use_long_routes(fleet):
    """Lets requests wait for some seconds and be repeated."""
    routes = tuple(
        route._replace(timeout_s=4.0, target_s=3.0, attempts=3)
        for route in make_routes()
    )
    await fleet.put_configuration(make_configuration(2, 1, routes))
    await asyncio.sleep(0.3)


async def send_load(
    hosts, per_s, seconds, target=b"/parts/1", method=b"GET", body=b"", name=b"r"
):
    """Sends requests at a steady rate through several nodes.

    :param hosts: hosts of the nodes, which take turns.
    :return: list of the statuses and the latencies in seconds, ``None`` as the status
        of a request without a response.
    """
    results = []
    started_at = time.monotonic()
    tasks = []
    for number in range(int(per_s * seconds)):
        await asyncio.sleep(max(0.0, started_at + number / per_s - time.monotonic()))
        address = hosts[number % len(hosts)].settings.call_address
        request_id = b"%b-%d" % (name, number)
        tasks.append(
            asyncio.ensure_future(
                _send(address, target, request_id, method, body, results)
            )
        )
    await asyncio.gather(*tasks)
    return results


async def _send(address, target, request_id, method, body, results):
    started_at = time.monotonic()
    status = None
    try:
        async with Client(address) as client:
            status, _, _ = await client.call(
                target, request_id, method=method, body=body
            )
    except (OSError, EOFError, TimeoutError):
        pass
    results.append((status, time.monotonic() - started_at))

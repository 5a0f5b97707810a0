"""Two operators of the soak test that race and send their changes again."""

import asyncio
import json
import random
import re
import time

from bench.soak_changes import CLEAR_REFUSALS, Change, Order
from bench.soak_endpoints import send_request

# Operators try another control process after a second without a response.
RESPONSE_TIMEOUT_S = 1.0
RETRY_INTERVAL_S = (0.02, 0.3)
MAX_ADDED_ROUTES = 6
WORKERS_OF_OPERATOR = 4
MEAN_ORDER_GAP_S = 0.25
LOST_RESPONSE_SHARE = 0.3
INVALID_SHARE = 0.1
RESENT_SHARE = 0.3
RESEND_COUNT = 8
NEW_CHANGE_SHARE = 0.6
RESEND_AFTER_S = 0.5
ROUTE_COLUMNS = [
    "name",
    "host",
    "pathPrefix",
    "routeType",
    "timeoutS",
    "targetLatencyS",
    "priority",
    "trafficSplit",
    "attempts",
    "service",
]
SERVICES = ("deep", "front")


class Operators:
    """Sends changes from two operators, each building on the newest that it knows.

    :param seed: seed of the changes.
    :param addresses: addresses of the control processes.
    :param checker: :class:`~bench.soak_changes.ChangeChecker`.
    """

    def __init__(self, seed, addresses, checker):
        self._rng = random.Random(f"operators {seed}")
        self._addresses = addresses
        self._checker = checker
        self._changes = {}
        self._count = 0
        # Newest change that each operator knows.
        self._known = [None, None]
        self._race = asyncio.Event()
        self._race.set()
        self._active_orders = 0
        self.is_stopped = False

    @property
    def newest(self):
        """Newest change that any operator knows."""
        known = [change for change in self._known if change is not None]
        return max(known, key=lambda change: change.version, default=None)

    @property
    def changes(self):
        """All changes sent, by number."""
        return self._changes

    async def start(self):
        """Sends the first configuration until it is acknowledged."""
        change = self._make_change(None, 1)
        while await self._send(change) != 200:
            await asyncio.sleep(0.1)
        self._known = [change, change]

    async def run(self):
        """Lets both operators send changes until the run is stopped."""
        await asyncio.gather(
            *(
                self._work(operator)
                for operator in range(2)
                for _ in range(WORKERS_OF_OPERATOR)
            ),
            self._read_periodically(),
        )

    async def resend_during(self, disturb):
        """Sends copies of one change during a disturbance while others wait.

        Several changes follow each other closely before. The copies are of the last of
        them, which is acknowledged, or of a new change that builds on it.

        :param disturb: coroutine function, called right after the acknowledgement.
        """
        self._race.clear()
        try:
            while self._active_orders:
                await asyncio.sleep(0.01)
            await self._read(0)
            for _ in range(self._rng.randint(2, 5)):
                change = self._make_change(self.newest, 1)
                if await self._send_until_clear(change, loses_responses=False) != 200:
                    return
                self._known = [change, change]
            disturbance = asyncio.ensure_future(disturb())
            if self._rng.random() < NEW_CHANGE_SHARE:
                change = self._make_change(change, 1)
            copies = [
                asyncio.ensure_future(self._resend(change, disturbance))
                for _ in range(RESEND_COUNT)
            ]
            await asyncio.gather(disturbance, *copies)
            await self._read(0)
        finally:
            self._race.set()

    async def read_final(self):
        """Reads the configuration from every control process that answers."""
        for process in range(len(self._addresses)):
            await self._read(process, is_final=True)

    async def _resend(self, change, disturbance):
        """Sends copies of a change until some time after a disturbance."""
        until = None
        while until is None or time.time() < until:
            await self._send(change)
            if until is None and disturbance.done():
                until = time.time() + RESEND_AFTER_S
            await asyncio.sleep(self._rng.uniform(0.0, 0.05))

    async def _work(self, operator):
        while not self.is_stopped:
            await asyncio.sleep(self._rng.expovariate(1 / MEAN_ORDER_GAP_S))
            await self._race.wait()
            self._active_orders += 1
            try:
                await self._order(operator)
            finally:
                self._active_orders -= 1

    async def _order(self, operator):
        base = self._known[operator]
        is_valid = self._rng.random() >= INVALID_SHARE
        change = self._make_change(base, self._rng.randint(1, 3), is_valid)
        status = await self._send_until_clear(change)
        if status == 200 and is_valid:
            if change.version > self._known[operator].version:
                self._known[operator] = change
            if self._rng.random() < RESENT_SHARE:
                await asyncio.sleep(self._rng.uniform(0.0, 0.3))
                await self._send(change)
        elif status:
            await self._read(operator)

    async def _send_until_clear(self, change, loses_responses=True):
        """Sends a change until its response is clear; returns 0 when it never is."""
        until = time.time() + 6.0
        while time.time() < until and not self.is_stopped:
            is_lost = loses_responses and self._rng.random() < LOST_RESPONSE_SHARE
            timeout_s = self._rng.uniform(0.0, 0.1) if is_lost else RESPONSE_TIMEOUT_S
            status = await self._send(change, timeout_s)
            if status == 200 or status in CLEAR_REFUSALS:
                return status
            await asyncio.sleep(self._rng.uniform(*RETRY_INTERVAL_S))
        return 0

    async def _send(self, change, timeout_s=RESPONSE_TIMEOUT_S):
        process = self._rng.randrange(len(self._addresses))
        sent_at = time.time()
        status, body = await send_request(
            "PUT", self._addresses[process], "/config", change.body, timeout_s
        )
        text = body[:200].decode(errors="replace")
        self._checker.record_order(
            Order(change, process, sent_at, time.time(), status, text)
        )
        return status

    async def _read_periodically(self):
        while not self.is_stopped:
            await asyncio.sleep(0.3)
            await self._read(self._rng.randrange(2))

    async def _read(self, operator, is_final=False):
        process = operator if is_final else self._rng.randrange(len(self._addresses))
        sent_at = time.time()
        status, body = await send_request(
            "GET", self._addresses[process], "/config", None, RESPONSE_TIMEOUT_S
        )
        if status != 200:
            return
        self._checker.record_read(process, sent_at, time.time(), body, is_final)
        match = re.search(r'"/added/(\d+)/"', body.decode().replace(" ", ""))
        if match is None or is_final:
            return
        change = self._changes[
            max(map(int, re.findall(r"/added/(\d+)/", body.decode())))
        ]
        if change.version > self._known[operator].version:
            self._known[operator] = change

    def _make_change(self, base, step, is_valid=True):
        self._count += 1
        number = self._count
        added = (*(base.added if base else ()), number)[-MAX_ADDED_ROUTES:]
        moved_to = self._rng.choice(SERVICES)
        version = (base.version if base else 0) + step
        document = {
            "version": f"r{version}",
            "baseVersion": f"r{base.version}" if base else 0,
            "routes": {"columns": ROUTE_COLUMNS, "rows": _rows(added, moved_to)},
            "services": {
                "columns": ["name", "healthPath"],
                "rows": [[name, "/health"] for name in SERVICES],
            },
            "limits": {},
        }
        if not is_valid:
            self._spoil(document)
        change = Change(
            number,
            version,
            base.version if base else 0,
            base.number if base else None,
            added,
            moved_to,
            json.dumps(document).encode(),
            is_valid,
            time.time(),
        )
        self._changes[number] = change
        self._checker.record_change(change)
        return change

    def _spoil(self, document):
        """Makes a document invalid in one of several ways."""
        rows = document["routes"]["rows"]
        row = rows[-1]
        way = self._rng.randrange(5)
        if way == 0:
            row[-1] = "nobody"
        elif way == 1:
            rows.append(["again", *row[1:]])
        elif way == 2:
            row[ROUTE_COLUMNS.index("attempts")] = 0
        elif way == 3:
            row[1] = ""
        else:
            row[ROUTE_COLUMNS.index("targetLatencyS")] = 100


def _rows(added, moved_to):
    rows = []
    for service in SERVICES:
        for kind, path in (("idempotent", "get"), ("non_idempotent", "once")):
            rows.append(_row(f"/{service}/{path}/", kind, service))
    rows.append(_row("/moved/", "idempotent", moved_to))
    rows += [
        _row(f"/added/{number}/", "idempotent", SERVICES[number % 2])
        for number in added
    ]
    return rows


def _row(prefix, kind, service):
    name = prefix.strip("/").replace("/", "-")
    return [name, "soak", prefix, kind, 3, 1, 1, None, 2, service]

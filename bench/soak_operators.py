"""Two operators of the soak test that race and send their changes again."""

import asyncio
import json
import random
import re
import time

from bench.soak_changes import CLEAR_REFUSALS, Change, Order
from bench.soak_documents import SERVICES, SLOW_TIMEOUT_S, make_document, make_invalid
from bench.soak_endpoints import send_request

# Operators try another control process after a second without a response.
RESPONSE_TIMEOUT_S = 1.0
# The time until a lost response would have come.
LOST_RESPONSE_S = (0.0, 0.1)
RETRY_INTERVAL_S = (0.02, 0.3)
GIVE_UP_S = 6.0
MAX_ADDED_ROUTES = 6
WORKERS_OF_OPERATOR = 4
MEAN_ORDER_GAP_S = 0.25
READ_INTERVAL_S = 0.3
LOST_RESPONSE_SHARE = 0.3
INVALID_SHARE = 0.1
RESENT_SHARE = 0.3
COPIES = 8
# Copies whose responses are lost still wait at their control process, so that many wait
# for the next leader.
LOST_COPY_SHARE = 0.8
COPY_INTERVAL_S = (0.0, 0.05)
COPIES_AFTER_S = 0.5
NEW_CHANGE_SHARE = 0.6


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
        self._known = [None, None]
        self._race = asyncio.Event()
        self._race.set()
        self._active_orders = 0
        # All changes sent, by number.
        self.changes = {}
        self.is_stopped = False
        # Timeout of the slow routes in the next changes, in seconds.
        self.slow_timeout_s = SLOW_TIMEOUT_S

    @property
    def newest(self):
        """Newest change that any operator knows."""
        return max(self._known, key=lambda change: change.version)

    async def start(self):
        """Sends the first configuration until it is acknowledged."""
        change = self._make_change(None, 1)
        while await self._send(change) != 200:
            await asyncio.sleep(READ_INTERVAL_S)
        self._known = [change, change]

    async def run(self):
        """Lets both operators send changes until the run is stopped."""
        numbers = [number for number in range(2) for _ in range(WORKERS_OF_OPERATOR)]
        await asyncio.gather(
            *(self._work(number) for number in numbers), self._read_periodically()
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
                if await self._send_until_clear(change, 0.0) != 200:
                    return
                self._known = [change, change]
            disturbance = asyncio.ensure_future(disturb())
            if self._rng.random() < NEW_CHANGE_SHARE:
                change = self._make_change(change, 1)
            copies = [self._send_copies(change, disturbance) for _ in range(COPIES)]
            await asyncio.gather(disturbance, *copies)
            await self._read(0)
        finally:
            self._race.set()

    async def wait_until_read(self):
        """Waits until a control process returns the configuration again."""
        while not await self._read(0):
            await asyncio.sleep(READ_INTERVAL_S)

    async def read_final(self):
        """Reads the configuration from every control process that answers."""
        for process in range(len(self._addresses)):
            await self._read(None, process)

    async def _send_copies(self, change, disturbance):
        until = None
        while until is None or time.time() < until:
            await self._send(change, self._wait_s(LOST_COPY_SHARE))
            if until is None and disturbance.done():
                until = time.time() + COPIES_AFTER_S
            await asyncio.sleep(self._rng.uniform(*COPY_INTERVAL_S))

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
        is_valid = self._rng.random() >= INVALID_SHARE
        step = self._rng.randint(1, 3)
        change = self._make_change(self._known[operator], step, is_valid)
        status = await self._send_until_clear(change, LOST_RESPONSE_SHARE)
        if status == 200 and is_valid:
            self._learn(operator, change)
            if self._rng.random() < RESENT_SHARE:
                await asyncio.sleep(self._rng.uniform(*RETRY_INTERVAL_S))
                await self._send(change)
        elif status:
            await self._read(operator)

    def _learn(self, operator, change):
        if change.version > self._known[operator].version:
            self._known[operator] = change

    async def _send_until_clear(self, change, lost_share):
        """Sends a change until its response is clear; returns 0 when it never is."""
        until = time.time() + GIVE_UP_S
        while time.time() < until and not self.is_stopped:
            status = await self._send(change, self._wait_s(lost_share))
            if status == 200 or status in CLEAR_REFUSALS:
                return status
            await asyncio.sleep(self._rng.uniform(*RETRY_INTERVAL_S))
        return 0

    def _wait_s(self, lost_share):
        """Returns how long to wait for a response, which may be lost."""
        if self._rng.random() < lost_share:
            return self._rng.uniform(*LOST_RESPONSE_S)
        return RESPONSE_TIMEOUT_S

    async def _send(self, change, timeout_s=RESPONSE_TIMEOUT_S):
        process = self._rng.randrange(len(self._addresses))
        sent_at = time.time()
        status, body = await send_request(
            "PUT", self._addresses[process], "/config", change.body, timeout_s
        )
        text = body[:200].decode(errors="replace")
        order = Order(change, process, sent_at, time.time(), status, text)
        self._checker.record_order(order)
        return status

    async def _read_periodically(self):
        while not self.is_stopped:
            await asyncio.sleep(READ_INTERVAL_S)
            await self._read(self._rng.randrange(2))

    async def _read(self, operator, process=None):
        """Reads the configuration for an operator, or at the end for none.

        :return: whether it was returned.
        """
        if process is None:
            process = self._rng.randrange(len(self._addresses))
        sent_at = time.time()
        status, body = await send_request(
            "GET", self._addresses[process], "/config", None, RESPONSE_TIMEOUT_S
        )
        if status != 200:
            return False
        is_final = operator is None
        self._checker.record_read(process, sent_at, time.time(), body, is_final)
        if not is_final:
            numbers = re.findall(r"/added/(\d+)/", body.decode())
            self._learn(operator, self.changes[max(map(int, numbers))])
        return True

    def _make_change(self, base, step, is_valid=True):
        number = len(self.changes) + 1
        added = (*(base.added if base else ()), number)[-MAX_ADDED_ROUTES:]
        moved_to = self._rng.choice(SERVICES)
        version = (base.version if base else 0) + step
        further = [("/moved/", moved_to)]
        further += [(f"/added/{each}/", SERVICES[each % 2]) for each in added]
        timeout_s = self.slow_timeout_s
        base_version = base.version if base else 0
        document = make_document(version, base_version, further, timeout_s)
        if not is_valid:
            make_invalid(document, self._rng)
        change = Change(
            number,
            version,
            base_version,
            base.number if base else None,
            added,
            moved_to,
            json.dumps(document).encode(),
            is_valid,
            time.time(),
            timeout_s,
        )
        self.changes[number] = change
        self._checker.record_change(change)
        return change

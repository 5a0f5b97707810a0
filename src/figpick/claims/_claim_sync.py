"""Keeps the claim holders of a node in sync and renews their roster confirmations."""

import asyncio
import random

from ..base._errors import PeerError
from ..base._logs import logger
from ..calls._plans import ClockReading
from ._claim_holder import STALE

PERIOD_S = 0.1
# Much shorter than EPOCH_LEASE_S, so that a holder can still decide during a long
# outage of the control processes.
CONFIRM_PERIOD_S = 30.0
CONFIRM_RETRY_S = 0.5
# Limits concurrent copies, since each blocks the event loop for a while.
MAX_CONCURRENT_COPIES = 4
# Delay after a failed copy; doubles while the other holders are not in sync.
FIRST_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 3.2

log = logger("claims")


class ClaimSynchronizer:
    """Copies records from other holders and requests rosters from control.

    :param claims: :class:`~figpick.claims._claim_manager.ClaimManager`.
    :param clock: :class:`~figpick.base._clock.Clock`.
    :param client: :class:`~figpick.messaging._transport.PeerClient`.
    :param control: peer addresses of the control processes.
    """

    def __init__(self, claims, clock, client, control):
        self._claims = claims
        self._clock = clock
        self._client = client
        self._control = list(control)
        self._requested_at = {}
        self._unreachable = set()
        self._retry_schedule = {}

    async def refresh(self, service):
        """Confirms the roster, removes expired records and copies unsynced groups.

        Each step runs only when it is due.

        :param service: name of the service of this node.
        """
        await self._confirm_roster(service)
        self._unreachable.clear()
        for name, holder in list(self._claims.holders.items()):
            holder.sweep(self._now())
            unsynced = self._due_groups(name, holder)
            for index in range(0, len(unsynced), MAX_CONCURRENT_COPIES):
                chunk = unsynced[index : index + MAX_CONCURRENT_COPIES]
                copies = [self._copy_group(name, holder, *entry) for entry in chunk]
                await asyncio.gather(*copies)

    async def receive(self, message):
        """Handles a request of another holder to copy the records of a group.

        :param message: dict with ``service``, ``epoch`` and ``position``.
        :return: dict with ``copy``, which is ``None`` unless this holder is in sync
            at the same epoch, and with ``roster`` when this holder has a newer one
            or ``behind`` when it has an older one.
        """
        holder = self._claims.holders.get(message["service"])
        if holder is None or holder.epoch < message["epoch"]:
            return {"copy": None, "behind": True}
        if holder.epoch > message["epoch"]:
            roster = self._claims.rosters.get(message["service"])
            return {"copy": None, "result": STALE, "roster": roster}
        copy = holder.serve_copy(holder.epoch, message["position"], self._now())
        return {"copy": copy}

    async def _confirm_roster(self, service):
        now = self._clock.monotonic()
        if not service or not self._control:
            return
        holder = self._claims.holders.get(service)
        roster_is_confirmed = holder is not None and holder.is_confirmed(self._now())
        period_s = CONFIRM_PERIOD_S if roster_is_confirmed else CONFIRM_RETRY_S
        if now < self._requested_at.get(service, -period_s) + period_s:
            return
        self._requested_at[service] = now
        address = random.choice(self._control)
        try:
            entry = await self._client.send(address, "get", {"service": service})
        except PeerError as error:
            log.debug("Could not fetch a roster from {}: {}.", address, error)
            return
        roster = entry.get("roster")
        if roster:
            self._claims.adopt(roster, confirmed_at=now)

    def _due_groups(self, service, holder):
        now = self._clock.monotonic()
        unsynced = holder.unsynced_groups()
        if not unsynced:
            self._retry_schedule.clear()
        due = []
        for position, others in unsynced:
            key = (service, holder.epoch, position)
            next_at, delay_s = self._retry_schedule.get(key, (0.0, FIRST_RETRY_DELAY_S))
            if next_at <= now:
                self._retry_schedule[key] = (
                    now + delay_s,
                    min(MAX_RETRY_DELAY_S, 2 * delay_s),
                )
                due.append((position, others))
        return due

    async def _copy_group(self, service, holder, position, others):
        epoch = holder.epoch
        requested_at = self._clock.monotonic()
        message = {"service": service, "epoch": epoch, "position": position}
        copies = []
        if not self._unreachable.isdisjoint(others):
            return
        for name in others:
            try:
                reply = await self._claims.send(name, "copy", message)
            except PeerError as error:
                log.debug("Could not copy claims from {}: {}.", name, error)
                self._unreachable.add(name)
                return
            if reply.get("roster"):
                self._claims.adopt(reply["roster"])
            elif reply.get("behind"):
                await self._claims.push_roster(name, service)
            if reply["copy"] is None:
                return
            copies.append(reply["copy"])
        if holder.install_copies(epoch, position, copies, requested_at, self._now()):
            self._retry_schedule.pop((service, epoch, position), None)

    def _now(self):
        return ClockReading(self._clock.monotonic(), self._clock.wall())

"""Keeps the claim holders of a node in sync and their rosters confirmed."""

import asyncio
import random

from ..base._errors import PeerError
from ..base._logs import logger
from ..calls._plans import ClockReading
from ._claims import STALE

PERIOD_S = 0.1
# Control confirms often enough that a holder survives a long control outage.
CONFIRM_PERIOD_S = 30.0
CONFIRM_RETRY_S = 0.5
# Bounds the copies under way, since each blocks the event loop for a while.
GROUPS_AT_ONCE = 4
# After a failed copy; doubles while the other holders are not in sync.
FIRST_PAUSE_S = 0.1
MAX_PAUSE_S = 3.2

log = logger("claims")


class ClaimCopies:
    """Copies records from other holders and asks control for rosters.

    :param claims: :class:`~figpick.claims._claiming.Claims`.
    :param clock: :class:`~figpick.base._clock.Clock`.
    :param client: :class:`~figpick.messaging._transport.PeerClient`.
    :param control: peer addresses of the control processes.
    """

    def __init__(self, claims, clock, client, control):
        self._claims = claims
        self._clock = clock
        self._client = client
        self._control = list(control)
        self._asked_at = {}
        self._silent = set()
        self._pauses = {}

    async def refresh(self, service):
        """Does what is due.

        :param service: service of this node.
        """
        await self._confirm(service)
        self._silent.clear()
        for name, holder in list(self._claims.holders.items()):
            holder.sweep(self._now())
            missing = self._due(name, holder)
            for index in range(0, len(missing), GROUPS_AT_ONCE):
                chunk = missing[index : index + GROUPS_AT_ONCE]
                copies = [self._copy(name, holder, *entry) for entry in chunk]
                await asyncio.gather(*copies)

    async def receive(self, message):
        """Serves the records of a group.

        :param message: dict with ``service``, ``epoch`` and ``position``.
        """
        holder = self._claims.holders.get(message["service"])
        if holder is None or holder.epoch < message["epoch"]:
            return {"copy": None, "behind": True}
        if holder.epoch > message["epoch"]:
            roster = self._claims.rosters.get(message["service"])
            return {"copy": None, "result": STALE, "roster": roster}
        copy = holder.serve_copy(holder.epoch, message["position"], self._now())
        return {"copy": copy}

    async def _confirm(self, service):
        now = self._clock.monotonic()
        if not service or not self._control:
            return
        holder = self._claims.holders.get(service)
        settled = holder is not None and holder.confirmed(self._now())
        period_s = CONFIRM_PERIOD_S if settled else CONFIRM_RETRY_S
        if now < self._asked_at.get(service, -period_s) + period_s:
            return
        self._asked_at[service] = now
        address = random.choice(self._control)
        try:
            entry = await self._client.send(address, "get", {"service": service})
        except PeerError as error:
            log.debug("No roster from {}: {}.", address, error)
            return
        roster = entry.get("roster")
        if roster:
            self._claims.adopt(roster, confirmed_at=now)

    def _due(self, service, holder):
        now = self._clock.monotonic()
        missing = holder.missing()
        if not missing:
            self._pauses.clear()
        due = []
        for position, others in missing:
            key = (service, holder.epoch, position)
            next_at, pause_s = self._pauses.get(key, (0.0, FIRST_PAUSE_S))
            if next_at <= now:
                self._pauses[key] = (now + pause_s, min(MAX_PAUSE_S, 2 * pause_s))
                due.append((position, others))
        return due

    async def _copy(self, service, holder, position, others):
        epoch = holder.epoch
        asked_at = self._clock.monotonic()
        message = {"service": service, "epoch": epoch, "position": position}
        copies = []
        if not self._silent.isdisjoint(others):
            return
        for name in others:
            try:
                answer = await self._claims.send(name, "copy", message)
            except PeerError as error:
                log.debug("No copy of claims from {}: {}.", name, error)
                self._silent.add(name)
                return
            if answer.get("roster"):
                self._claims.adopt(answer["roster"])
            elif answer.get("behind"):
                await self._claims.push_roster(name, service)
            if answer["copy"] is None:
                return
            copies.append(answer["copy"])
        if holder.install(epoch, position, copies, asked_at, self._now()):
            self._pauses.pop((service, epoch, position), None)

    def _now(self):
        return ClockReading(self._clock.monotonic(), self._clock.wall())

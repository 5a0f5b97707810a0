"""Keeps the claim holders of a node in sync and their rosters confirmed."""

import random

from ._claims import STALE
from ._errors import PeerError
from ._logs import logger
from ._plans import Moment

PERIOD_S = 0.5
# Control confirms often enough that a holder survives a long control outage.
CONFIRM_PERIOD_S = 30.0
CONFIRM_RETRY_S = 1.0
# Copies are spread over several periods, since each blocks the event loop.
GROUPS_PER_PERIOD = 16

log = logger("claims")


class ClaimCopies:
    """Copies records from other holders and asks control for rosters.

    :param claims: :class:`~figpick._claiming.Claims`.
    :param clock: :class:`~figpick._clock.Clock`.
    :param client: :class:`~figpick._transport.PeerClient`.
    :param control: peer addresses of the control processes.
    """

    def __init__(self, claims, clock, client, control):
        self._claims = claims
        self._clock = clock
        self._client = client
        self._control = list(control)
        self._asked_at = {}
        self._silent = set()

    async def refresh(self, service):
        """Does what is due.

        :param service: service of this node.
        """
        await self._confirm(service)
        self._silent.clear()
        for name, holder in list(self._claims.holders.items()):
            holder.sweep(self._now())
            for position, others in holder.missing()[:GROUPS_PER_PERIOD]:
                await self._copy(name, holder, position, others)

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
        if not service or not self._control or now < self._asked_at.get(service, 0.0):
            return
        self._asked_at[service] = now + CONFIRM_RETRY_S
        address = random.choice(self._control)
        try:
            entry = await self._client.send(address, "get", {"service": service})
        except PeerError as error:
            log.debug("No roster from {}: {}.", address, error)
            return
        roster = entry.get("roster")
        if roster:
            self._claims.adopt(roster, confirmed_at=now)
            self._asked_at[service] = now + CONFIRM_PERIOD_S

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
        holder.install(epoch, position, copies, asked_at, self._now())

    def _now(self):
        return Moment(self._clock.monotonic(), self._clock.wall())

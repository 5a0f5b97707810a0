"""Indirect probing of members that did not reply."""

import asyncio

from ..base._errors import PeerError, PeerRefusedError
from ..base._logs import logger
from ._members import INACTIVE_STATES

HELPER_COUNT = 2
HELPER_TIMEOUT_S = 2.0
# When no helper replies, this process may itself be partitioned from the others.
FAILURES_WITHOUT_HELPER = 3

log = logger("members")


class Prober:
    """Marks members as suspect that reply neither to this process nor to two helpers.

    :param members: :class:`~figpick.membership._members.Members`.
    :param client: :class:`~figpick.messaging._transport.PeerClient`.
    :param clock: :class:`~figpick.base._clock.Clock`.
    :param random: source of random choices.
    :param on_suspect: called with the name of each new suspect.
    """

    def __init__(self, members, client, clock, random, on_suspect):
        self._members = members
        self._client = client
        self._clock = clock
        self._random = random
        self._on_suspect = on_suspect
        self._tasks = {}

    def check(self, address):
        """Starts a check of the member at an address unless one is running."""
        member = self._members.find_by_address(address)
        if (
            member is None
            or member.state in INACTIVE_STATES
            or member.name in self._tasks
        ):
            return
        if member.name == self._members.own.name:
            return
        task = asyncio.ensure_future(self._check(member))
        self._tasks[member.name] = task
        task.add_done_callback(lambda done: self._tasks.pop(member.name, None))

    async def handle_probe(self, message):
        """Handles a request to check whether an address replies to this process.

        :param message: dict with ``address``.
        :return: dict with ``answers``, whether the address replied.
        """
        return {"answers": await self._is_responsive(message["address"])}

    def stop(self):
        """Cancels the running checks."""
        for task in list(self._tasks.values()):
            task.cancel()

    async def _check(self, member):
        others = [each for each in self._members.others() if each.name != member.name]
        helpers = self._random.sample(others, min(HELPER_COUNT, len(others)))
        message = {"address": member.peer_address}
        checks = [self._query_helper(helper, message) for helper in helpers]
        results = await asyncio.gather(*checks)
        if True in results:
            return
        failures = self._members.reply_tracker.get(
            member.peer_address
        ).consecutive_failures
        if False not in results and others and failures < FAILURES_WITHOUT_HELPER:
            return
        if failures and self._members.suspect(member.name, self._clock.monotonic()):
            log.info("Member {} does not reply.", member.name)
            self._on_suspect(member.name)

    async def _query_helper(self, helper, message):
        try:
            reply = await self._client.send(
                helper.peer_address, "probe", message, HELPER_TIMEOUT_S
            )
            return reply["answers"]
        except PeerError:
            return None

    async def _is_responsive(self, address):
        try:
            await self._client.send(address, "ping", {})
        except PeerRefusedError:
            return True
        except PeerError:
            return False
        return True

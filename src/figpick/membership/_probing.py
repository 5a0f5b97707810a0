"""Checks members that did not answer, with the help of others."""

import asyncio

from ..base._errors import PeerError, PeerRefusedError
from ..base._logs import logger
from ._members import INACTIVE_STATES

HELPERS = 2
HELPER_TIMEOUT_S = 2.0
# Without an answer of any helper, this process may itself be cut off.
FAILURES_WITHOUT_HELPER = 3

log = logger("members")


class Prober:
    """Suspects members that answer neither this process nor two others.

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
        """Starts to check the member at an address, unless that is under way."""
        member = self._members.at(address)
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
        """Tells another process whether an address answers this one."""
        return {"answers": await self._answers(message["address"])}

    def stop(self):
        """Ends the checks under way."""
        for task in list(self._tasks.values()):
            task.cancel()

    async def _check(self, member):
        others = [each for each in self._members.others() if each.name != member.name]
        helpers = self._random.sample(others, min(HELPERS, len(others)))
        message = {"address": member.peer_address}
        checks = [self._ask(helper, message) for helper in helpers]
        verdicts = await asyncio.gather(*checks)
        if True in verdicts:
            return
        failures = self._members.reply_tracker.get(
            member.peer_address
        ).consecutive_failures
        if False not in verdicts and others and failures < FAILURES_WITHOUT_HELPER:
            return
        if failures and self._members.suspect(member.name, self._clock.monotonic()):
            log.info("Member {} does not answer.", member.name)
            self._on_suspect(member.name)

    async def _ask(self, helper, message):
        try:
            answer = await self._client.send(
                helper.peer_address, "probe", message, HELPER_TIMEOUT_S
            )
            return answer["answers"]
        except PeerError:
            return None

    async def _answers(self, address):
        try:
            await self._client.send(address, "ping", {})
        except PeerRefusedError:
            return True
        except PeerError:
            return False
        return True

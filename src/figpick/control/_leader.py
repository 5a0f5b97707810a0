"""Changes and reads of the configuration at the process that leads the quorum."""

import asyncio

from ..base._errors import ConflictError, FigpickError, NoQuorumError
from ..configuration import ChangeSet, VersionConflictError
from ._messages import Ask, Told, encode

# Operators turn to another process after a second.
ANSWER_TIMEOUT_S = 0.9
LEADER_POLL_S = 0.03
PUT = "put"
READ = "read"


class LeaderCalls:
    """Asks the leader, and answers as the leader.

    :param member: :class:`~figpick.control._member.QuorumMember`.
    :param leader_link: function that gives the open link to the leader, or ``None``.
    """

    def __init__(self, member, leader_link):
        self._member = member
        self._leader_link = leader_link
        self._asked = {}
        self._number = 0

    def __repr__(self):
        return f"<LeaderCalls {len(self._asked)} open>"

    async def ask(self, kind, value):
        """Has the leader do something, wherever it is.

        :param kind: ``put`` or ``read``.
        :param value: fields of a change set, or ``None``.
        :return: the version of the change, or the fields of the newest change set.
        :raises VersionConflictError: when a change does not build on the current one.
        :raises NoQuorumError: when the outcome is not known.
        """
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                return await self._ask_leader(kind, value)
        except TimeoutError as error:
            raise NoQuorumError("no quorum: the leader did not answer") from error

    async def answer(self, link, request):
        """Answers another process.

        :param request: :class:`~figpick.control._messages.Ask`.
        """
        number = request.number
        try:
            if not self._member.is_leader:
                raise NoQuorumError("no quorum: this process does not lead")
            answer = await self._answer_as_leader(request.kind, request.value)
        except ConflictError as error:
            told = Told(number, "conflict", [str(error), error.current])
        except FigpickError as error:
            told = Told(number, "no-quorum", [str(error)])
        else:
            told = Told(number, "", answer)
        link.send(encode(told))

    def take(self, told):
        """Takes an answer of the leader.

        :param told: :class:`~figpick.control._messages.Told`.
        """
        future = self._asked.get(told.number)
        if future is None or future.done():
            return
        if not told.error:
            future.set_result(told.value)
        elif told.error == "conflict":
            future.set_exception(VersionConflictError(*told.value))
        else:
            future.set_exception(NoQuorumError(*told.value))

    async def _ask_leader(self, kind, value):
        while True:
            if self._member.is_leader:
                return await self._answer_as_leader(kind, value)
            link = self._leader_link()
            if link is not None:
                return await self._ask(link, kind, value)
            await asyncio.sleep(LEADER_POLL_S)

    async def _ask(self, link, kind, value):
        self._number += 1
        number = self._number
        future = asyncio.get_running_loop().create_future()
        self._asked[number] = future
        try:
            link.send(encode(Ask(number, kind, value)))
            return await future
        finally:
            del self._asked[number]

    async def _answer_as_leader(self, kind, value):
        registry = self._member.registry
        if kind == READ:
            await self._member.confirm()
            current = registry.current
            return current._asdict() if current else None
        change = ChangeSet(**value)
        if registry.is_accepted(change.digest):
            return change.version
        try:
            registry.check(change)
        except VersionConflictError:
            # A leader that was cut off could show an old conflict.
            await self._member.confirm()
            registry.check(change)
        return await self._member.propose(change)

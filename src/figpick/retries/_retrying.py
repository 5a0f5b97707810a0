"""Asks for retry grants and issues them for the roots that entered here."""

import asyncio
import random

from ..base._errors import (
    DuplicateError,
    PeerError,
    RetryBoundError,
)
from ._retries import (
    LEAST_AFTER_BREAK,
    LEAST_REPETITIONS,
    REFUSAL_S,
    REFUSING_STATUSES,
    FailedCalls,
    Failure,
    RetryBudget,
    RetryLedger,
    call_identity,
    is_failure,
)

GRANT_TIMEOUT_S = 0.2
# Spreads the retries after one fault that broke many calls at once.
MAX_JITTER_S = 0.02


class Retries:
    """Decides on retries at a calling node and at the home of a root request.

    :param address: peer address of this node.
    :param clock: :class:`~figpick.base._clock.Clock`.
    :param client: :class:`~figpick.messaging._transport.PeerClient`.
    """

    def __init__(self, address, clock, client):
        self._address = address
        self._clock = clock
        self._client = client
        self._budgets = {}
        self._ledger = RetryLedger()
        self._failed = FailedCalls()
        self.granted_count = 0
        self.denied_count = 0

    def open(self, plan):
        """Opens the account of a root request.

        :param plan: :class:`~figpick.calls._plans.CallPlan` of a root request.
        :return: the plan; a keyed resend gets the root id of the first attempt.
        """
        grants = max(0, plan.service.limits.retries - (plan.attempt - 1))
        root_id = plan.context.root_id
        if not plan.key:
            self._ledger.open(root_id, grants)
            return plan._replace(is_retry=plan.attempt > 1)
        identity = (plan.service.name, plan.method, plan.target, plan.key)
        now = self._clock.monotonic()
        root_id, known = self._ledger.open_keyed(identity, root_id, grants, now)
        context = plan.context._replace(root_id=root_id)
        return plan._replace(context=context, is_retry=known)

    def repeats(self, plan, body):
        """Whether an earlier attempt of a call may have run.

        :param body: :class:`~figpick.calls._bodies.RequestBody`.
        """
        if plan.is_retry or plan.attempt > 1:
            return True
        failure = self._failure(plan, body, self._clock.monotonic())
        return failure is not None and failure.sent

    async def admit(self, plan, body):
        """Counts a call, and asks for a grant when it repeats an earlier one.

        :param body: :class:`~figpick.calls._bodies.RequestBody`.
        :return: names of upstreams that must not be used.
        :raises DuplicateError: when an identical non-idempotent call of the same
            execution may have run.
        :raises RetryBoundError: when the repetition is over its bounds.
        """
        now = self._clock.monotonic()
        failure = self._failure(plan, body, now)
        if failure is not None and failure.sent and not plan.route.idempotent:
            raise DuplicateError("an identical call of this execution may have run")
        if plan.attempt > 1 + plan.service.limits.retries:
            raise RetryBoundError(f"attempt {plan.attempt} is over the retry bound")
        # Claims already bound a keyed non-idempotent request to one execution.
        keyed_resend = plan.is_retry and plan.route.idempotent
        if failure is None and not keyed_resend:
            self._budget(plan).offer(now)
            return set()
        await self._take(plan, LEAST_REPETITIONS, now)
        if failure is not None and now - failure.at < REFUSAL_S and failure.refusing:
            return {failure.refusing}
        return set()

    async def allow(self, plan, attempts, broken):
        """Asks for a grant to send a call again.

        :param attempts: number of times that the call was sent.
        :param broken: whether its connection broke, rather than fell silent.
        :raises RetryBoundError: when it may not be sent again.
        """
        if attempts >= plan.route.attempts:
            raise RetryBoundError("the route allows no further attempt")
        now = self._clock.monotonic()
        least = LEAST_AFTER_BREAK if broken else LEAST_REPETITIONS
        await self._take(plan, least, now)
        left_s = max(0.0, plan.deadline - now)
        await asyncio.sleep(min(left_s, random.uniform(0, MAX_JITTER_S)))

    def close(self, plan, body, sent, status, upstream):
        """Notes the end of a call.

        :param sent: whether any byte of it may have reached an upstream.
        :param status: HTTP status of the whole answer, 0 without one.
        :param upstream: name of the upstream that was used last, or empty.
        """
        if plan.parent is None:
            self._ledger.close(plan.context.root_id)
        elif is_failure(status):
            identity = call_identity(plan, body.first_bytes, body.is_replayable)
            refusing = upstream if status in REFUSING_STATUSES else ""
            failure = Failure(sent, refusing, self._clock.monotonic())
            self._failed.note(plan.parent.execution_id, identity, failure)

    async def receive(self, message):
        """Issues a retry grant for a root request that entered here.

        :param message: dict with ``root``.
        """
        return {"granted": self._ledger.grant(message["root"], self._clock.monotonic())}

    def dump(self):
        """Gives the state as a dict."""
        return {
            "roots": len(self._ledger),
            "failed_calls": len(self._failed),
            "granted": self.granted_count,
            "denied": self.denied_count,
        }

    def _failure(self, plan, body, now):
        if plan.parent is None:
            return None
        identity = call_identity(plan, body.first_bytes, body.is_replayable)
        return self._failed.find(plan.parent.execution_id, identity, now)

    def _budget(self, plan):
        return self._budgets.setdefault(plan.service.name, RetryBudget())

    async def _take(self, plan, least, now):
        budget = self._budget(plan)
        if not budget.take(plan.service.limits.retry_ratio, least, now):
            self._deny("the retry budget of the service is used up")
        if not await self._grant(plan.context):
            budget.give_back()
            self._deny("the root request has no retry grant left")
        self.granted_count += 1

    async def _grant(self, context):
        message = {"root": context.root_id}
        if context.root_node_address == self._address:
            return (await self.receive(message))["granted"]
        try:
            answer = await self._client.send(
                context.root_node_address, "retry_grant", message, GRANT_TIMEOUT_S
            )
        except PeerError:
            return False
        return answer["granted"]

    def _deny(self, message):
        self.denied_count += 1
        raise RetryBoundError(message, retry_after_s=1)

"""Requests retry grants, and issues them for root requests of this node."""

import asyncio
import random

from ..base._errors import (
    DuplicateError,
    PeerError,
    RetryBoundError,
)
from ._retry_limits import (
    MIN_OTHER_RETRIES,
    MIN_RETRIES_AFTER_BREAK,
    REFUSAL_LIFETIME_S,
    REFUSING_STATUSES,
    FailedCalls,
    Failure,
    RetryBudget,
    RootRetryGrants,
    call_identity,
    is_failure,
)

GRANT_TIMEOUT_S = 0.2
# Random delay that spreads the retries after a fault that broke many calls at once.
MAX_JITTER_S = 0.02


class RetryPolicy:
    """Decides whether calls of this node count as retries and may be sent.

    Issues retry grants for the root requests that entered at this node.

    :param address: peer address of this node.
    :param clock: :class:`~figpick.base._clock.Clock`.
    :param client: :class:`~figpick.messaging._transport.PeerClient`.
    """

    def __init__(self, address, clock, client):
        self._address = address
        self._clock = clock
        self._client = client
        self._budgets = {}
        self._root_grants = RootRetryGrants()
        self._failed_calls = FailedCalls()
        self.granted_count = 0
        self.denied_count = 0

    def register_root(self, plan):
        """Registers a root request for retry grants.

        :param plan: :class:`~figpick.calls._plans.CallPlan` of a root request.
        :return: the plan; a retry of a keyed request gets the root id of the first
            attempt.
        """
        grants = max(0, plan.service.limits.retries - (plan.attempt - 1))
        root_id = plan.context.root_id
        if not plan.key:
            self._root_grants.add_root(root_id, grants)
            return plan._replace(is_retry=plan.attempt > 1)
        identity = (plan.service.name, plan.method, plan.target, plan.key)
        now = self._clock.monotonic()
        root_id, is_known = self._root_grants.add_keyed_root(
            identity, root_id, grants, now
        )
        context = plan.context._replace(root_id=root_id)
        return plan._replace(context=context, is_retry=is_known)

    def may_have_run_before(self, plan, body):
        """Returns whether an earlier attempt of a call may have run.

        :param body: :class:`~figpick.calls._bodies.RequestBody`.
        """
        if plan.is_retry or plan.attempt > 1:
            return True
        failure = self._find_failure(plan, body, self._clock.monotonic())
        return failure is not None and failure.sent

    async def admit(self, plan, body):
        """Counts a call, and requests a grant when it is a retry.

        :param body: :class:`~figpick.calls._bodies.RequestBody`.
        :return: names of upstreams that must not be used.
        :raises DuplicateError: when an identical non-idempotent call of the same
            execution may have run.
        :raises RetryBoundError: when the retry exceeds a limit.
        """
        now = self._clock.monotonic()
        failure = self._find_failure(plan, body, now)
        if failure is not None and failure.sent and not plan.route.idempotent:
            raise DuplicateError("an identical call of this execution may have run")
        if plan.attempt > 1 + plan.service.limits.retries:
            raise RetryBoundError(f"attempt {plan.attempt} is over the retry bound")
        # Claims already limit a keyed non-idempotent request to one execution.
        is_keyed_retry = plan.is_retry and plan.route.idempotent
        if failure is None and not is_keyed_retry:
            self._budget_of(plan).record_call(now)
            return set()
        await self._take_grant(plan, MIN_OTHER_RETRIES, now)
        if (
            failure is not None
            and now - failure.failed_at < REFUSAL_LIFETIME_S
            and failure.refusing_upstream
        ):
            return {failure.refusing_upstream}
        return set()

    async def authorize_retry(self, plan, attempts, connection_lost):
        """Requests a grant to retry a call, and waits for a random delay.

        :param attempts: number of times that the call was sent.
        :param connection_lost: whether its connection broke, rather than became silent.
        :raises RetryBoundError: when the call may not be retried.
        """
        if attempts >= plan.route.attempts:
            raise RetryBoundError("the route allows no further attempt")
        now = self._clock.monotonic()
        min_retries = MIN_RETRIES_AFTER_BREAK if connection_lost else MIN_OTHER_RETRIES
        await self._take_grant(plan, min_retries, now)
        remaining_s = max(0.0, plan.deadline - now)
        await asyncio.sleep(min(remaining_s, random.uniform(0, MAX_JITTER_S)))

    def record_call_end(self, plan, body, sent, status, upstream):
        """Records the end of a call.

        :param sent: whether any byte of it may have reached an upstream.
        :param status: HTTP status of the complete response, 0 without one.
        :param upstream: name of the upstream that was used last, or empty.
        """
        if plan.parent is None:
            self._root_grants.remove_root(plan.context.root_id)
        elif is_failure(status):
            identity = call_identity(plan, body.first_bytes, body.is_replayable)
            refusing_upstream = upstream if status in REFUSING_STATUSES else ""
            failure = Failure(sent, refusing_upstream, self._clock.monotonic())
            self._failed_calls.record(plan.parent.execution_id, identity, failure)

    async def handle_grant_request(self, message):
        """Issues a retry grant for a root request that entered at this node.

        :param message: dict with ``root``.
        :return: dict with ``granted``, whether a grant was issued.
        """
        return {
            "granted": self._root_grants.grant(message["root"], self._clock.monotonic())
        }

    def dump(self):
        """Returns the state as a dict."""
        return {
            "roots": len(self._root_grants),
            "failed_calls": len(self._failed_calls),
            "granted": self.granted_count,
            "denied": self.denied_count,
        }

    def _find_failure(self, plan, body, now):
        if plan.parent is None:
            return None
        identity = call_identity(plan, body.first_bytes, body.is_replayable)
        return self._failed_calls.find(plan.parent.execution_id, identity, now)

    def _budget_of(self, plan):
        return self._budgets.setdefault(plan.service.name, RetryBudget())

    async def _take_grant(self, plan, min_retries, now):
        budget = self._budget_of(plan)
        if not budget.try_take(plan.service.limits.retry_ratio, min_retries, now):
            self._deny("the retry budget of the service is used up")
        if not await self._request_grant(plan.context):
            budget.undo_take()
            self._deny("the root request has no retry grant left")
        self.granted_count += 1

    async def _request_grant(self, context):
        message = {"root": context.root_id}
        if context.root_node_address == self._address:
            return (await self.handle_grant_request(message))["granted"]
        try:
            reply = await self._client.send(
                context.root_node_address, "retry_grant", message, GRANT_TIMEOUT_S
            )
        except PeerError:
            return False
        return reply["granted"]

    def _deny(self, message):
        self.denied_count += 1
        raise RetryBoundError(message, retry_after_s=1)

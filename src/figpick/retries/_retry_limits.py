"""Limits on retries: the budget of a service and the grants of a root request."""

from collections import deque
from hashlib import blake2b
from typing import NamedTuple

from ..base._expiring_table import ExpiringTable

BUDGET_WINDOW_S = 1.0
# A call or retry reaches its upstream up to this long after it was counted, but the
# limit applies to every period of one second at the upstream.
QUEUE_MARGIN_S = 0.1
# Calls leave their queue in bursts, so an upstream can receive more of them in a
# second than were counted in it. The rest of the ratio is a margin for that.
USABLE_RATIO_SHARE = 0.7
# The budget follows a decrease of the load within this time.
RECENT_LOAD_S = 0.3
# After a broken connection a node may retry at any load, so that callers don't see
# the crash of an upstream at low load. Retries by applications and retries of calls
# on silent connections have no minimum: during a slowdown the minimums of many nodes
# together exceeded the ratio.
MIN_RETRIES_AFTER_BREAK = 1
MIN_OTHER_RETRIES = 0
# A later retry of a keyed request counts as a new request.
KEYED_ROOT_LIFETIME_S = 60.0
FAILURE_LIFETIME_S = 60.0
MAX_KEYED_ROOTS = 20_000
MAX_FAILURES = 20_000
# Time during which an upstream that refused a call gets no retry of it.
REFUSAL_LIFETIME_S = 1.0
REFUSING_STATUSES = frozenset((429, 503))
MIN_FAILURE_STATUS = 500


class RetryBudget:
    """Limits the retries of one service at one node in a sliding window of 1 s."""

    def __init__(self):
        self._calls = deque()
        self._retries = deque()

    def record_call(self, now):
        """Records a call that is not a retry.

        :param now: monotonic seconds.
        """
        self._expire(now)
        self._calls.append(now)

    def try_take(self, ratio, min_retries, now):
        """Takes a retry from the budget if it allows one.

        :param ratio: share of recent calls that may be retries.
        :param min_retries: retries per second that are allowed at any load.
        :param now: monotonic seconds.
        :return: whether the retry is within the budget.
        """
        self._expire(now)
        recent = sum(at > now - RECENT_LOAD_S for at in reversed(self._calls))
        calls = min(len(self._calls), recent / RECENT_LOAD_S * BUDGET_WINDOW_S)
        allowed = max(min_retries, int(ratio * USABLE_RATIO_SHARE * calls))
        if len(self._retries) >= allowed:
            return False
        self._retries.append(now)
        return True

    def undo_take(self):
        """Returns the last retry to the budget, because it is not made."""
        if self._retries:
            self._retries.pop()

    def _expire(self, now):
        calls_since = now - BUDGET_WINDOW_S + QUEUE_MARGIN_S
        while self._calls and self._calls[0] <= calls_since:
            self._calls.popleft()
        retries_since = now - BUDGET_WINDOW_S - QUEUE_MARGIN_S
        while self._retries and self._retries[0] <= retries_since:
            self._retries.popleft()


class RootRetryGrants:
    """Issues retry grants for the root requests that entered at this node."""

    def __init__(self):
        self._unkeyed = {}
        self._keyed = ExpiringTable(KEYED_ROOT_LIFETIME_S, MAX_KEYED_ROOTS)

    def __len__(self):
        return len(self._unkeyed) + len(self._keyed)

    def add_root(self, root_id, max_grants):
        """Adds a root request without a key.

        :param max_grants: number of retries that may be granted.
        """
        self._unkeyed[root_id] = max_grants

    def add_keyed_root(self, identity, root_id, max_grants, now):
        """Adds a keyed root request unless it is known.

        :param identity: identifies equal root requests.
        :param max_grants: number of retries that may be granted.
        :param now: monotonic seconds.
        :return: tuple of the root id of the first attempt and whether it was known.
        """
        known = self._keyed.get(identity, now)
        if known is not None:
            return known, True
        self._keyed.put(identity, root_id, now)
        self._keyed.put(root_id, [max_grants], now)
        return root_id, False

    def remove_root(self, root_id):
        """Removes a root request without a key that has ended."""
        self._unkeyed.pop(root_id, None)

    def grant(self, root_id, now):
        """Issues a retry grant.

        :param now: monotonic seconds.
        :return: whether a grant was issued. A root request that has ended gets none.
        """
        keyed = self._keyed.get(root_id, now)
        if keyed is not None:
            if keyed[0] <= 0:
                return False
            keyed[0] -= 1
            return True
        remaining = self._unkeyed.get(root_id, 0)
        if remaining <= 0:
            return False
        self._unkeyed[root_id] = remaining - 1
        return True


class Failure(NamedTuple):
    """An earlier call of an execution that failed.

    :param sent: whether any byte of it may have reached an upstream.
    :param refusing_upstream: name of the upstream that refused it, or empty.
    :param failed_at: monotonic seconds.
    """

    sent: bool
    refusing_upstream: str
    failed_at: float


class FailedCalls:
    """Stores the failed calls of each execution.

    An identical call of the same execution counts as a retry.
    """

    def __init__(self):
        self._failures = ExpiringTable(FAILURE_LIFETIME_S, MAX_FAILURES)

    def __len__(self):
        return len(self._failures)

    def find(self, execution_id, identity, now):
        """Returns the failure of an identical call.

        :param now: monotonic seconds.
        :return: :class:`Failure`, or ``None``.
        """
        return self._failures.get((execution_id, identity), now)

    def record(self, execution_id, identity, failure):
        """Records a failed call.

        :param failure: :class:`Failure`.
        """
        self._failures.put((execution_id, identity), failure, failure.failed_at)


def is_failure(status):
    """Returns whether an application may retry a call with this status.

    :param status: HTTP status, 0 without a complete response.
    """
    return status == 0 or status >= MIN_FAILURE_STATUS or status in REFUSING_STATUSES


def call_identity(plan, body, is_complete):
    """Returns an identifier of equal calls of one execution, regardless of their key.

    :param body: first bytes of the body.
    :param is_complete: whether ``body`` is the whole body. If not, its length depends
        on timing and it is left out of the identifier.
    :return: 16 hex digits.
    """
    digest = blake2b(digest_size=8)
    for part in (plan.service.name, plan.method, plan.target):
        digest.update(part.encode())
        digest.update(b"\0")
    if is_complete:
        digest.update(body)
    return digest.hexdigest()

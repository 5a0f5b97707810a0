"""Bounds on retries: the budget of a service and the ledger of a root request."""

from collections import deque
from hashlib import blake2b
from typing import NamedTuple

from ..base._expiring import ExpiringTable

BUDGET_WINDOW_S = 1.0
# A call or retry reaches its upstream up to this long after it was counted, and
# the bound applies to any second at the upstream.
QUEUE_MARGIN_S = 0.1
# Calls leave their queue in bursts, so a second at the upstream can hold more of
# them than were offered in it; the rest of the ratio is kept for that.
USED_SHARE = 0.7
# The budget follows a falling load within this time.
RECENT_S = 0.3
# After a broken connection a node may retry at any load, so that a crash of an
# upstream stays unseen at low load. Repetitions by applications and retries of
# silent calls get no minimum: in a slow-down that of many nodes together exceeded
# the ratio.
LEAST_AFTER_BREAK = 1
LEAST_REPETITIONS = 0
# A caller that resends later than this counts as a new request.
KEYED_ROOT_S = 60.0
FAILURE_S = 60.0
MAX_KEYED_ROOTS = 20_000
MAX_FAILURES = 20_000
# An upstream that has just refused a call gets no retry of it for this long.
REFUSAL_S = 1.0
REFUSING_STATUSES = frozenset((429, 503))
FIRST_FAILURE_STATUS = 500


class RetryBudget:
    """Retries of one service at one node, over a sliding second."""

    def __init__(self):
        self._calls = deque()
        self._retries = deque()

    def offer(self, now):
        """Counts a call that is not a retry.

        :param now: monotonic seconds.
        """
        self._expire(now)
        self._calls.append(now)

    def take(self, ratio, least, now):
        """Takes a retry from the budget.

        :param ratio: share of recent calls that may be retries.
        :param least: retries in a second that are allowed at any load.
        :param now: monotonic seconds.
        :return: whether the retry is within the budget.
        """
        self._expire(now)
        recent = sum(at > now - RECENT_S for at in reversed(self._calls))
        calls = min(len(self._calls), recent / RECENT_S * BUDGET_WINDOW_S)
        allowed = max(least, int(ratio * USED_SHARE * calls))
        if len(self._retries) >= allowed:
            return False
        self._retries.append(now)
        return True

    def give_back(self):
        """Returns the retry taken last, because it is not made."""
        if self._retries:
            self._retries.pop()

    def _expire(self, now):
        calls_from = now - BUDGET_WINDOW_S + QUEUE_MARGIN_S
        while self._calls and self._calls[0] <= calls_from:
            self._calls.popleft()
        retries_from = now - BUDGET_WINDOW_S - QUEUE_MARGIN_S
        while self._retries and self._retries[0] <= retries_from:
            self._retries.popleft()


class RetryLedger:
    """Retry grants issued for the root requests that entered at this node."""

    def __init__(self):
        self._active = {}
        self._keyed = ExpiringTable(KEYED_ROOT_S, MAX_KEYED_ROOTS)

    def __len__(self):
        return len(self._active) + len(self._keyed)

    def open(self, root_id, grants):
        """Opens the account of a root request without a key.

        :param grants: most retry grants.
        """
        self._active[root_id] = grants

    def open_keyed(self, identity, root_id, grants, now):
        """Opens the account of a keyed root request, or finds it.

        :param identity: identifies equal root requests.
        :param now: monotonic seconds.
        :return: tuple of the root id in use and whether it was known.
        """
        known = self._keyed.get(identity, now)
        if known is not None:
            return known, True
        self._keyed.put(identity, root_id, now)
        self._keyed.put(root_id, [grants], now)
        return root_id, False

    def close(self, root_id):
        """Closes the account of a root request without a key."""
        self._active.pop(root_id, None)

    def grant(self, root_id, now):
        """Issues a retry grant.

        :param now: monotonic seconds.
        :return: whether a grant was left; never for a root that has ended.
        """
        keyed = self._keyed.get(root_id, now)
        if keyed is not None:
            if keyed[0] <= 0:
                return False
            keyed[0] -= 1
            return True
        left = self._active.get(root_id, 0)
        if left <= 0:
            return False
        self._active[root_id] = left - 1
        return True


class Failure(NamedTuple):
    """An earlier call of an execution that did not succeed.

    :param sent: whether any byte of it may have reached an upstream.
    :param refusing: name of the upstream that refused it, or empty.
    :param at: monotonic seconds.
    """

    sent: bool
    refusing: str
    at: float


class FailedCalls:
    """Calls that failed, by the execution that made them.

    An application that repeats such a call is making a retry.
    """

    def __init__(self):
        self._failures = ExpiringTable(FAILURE_S, MAX_FAILURES)

    def __len__(self):
        return len(self._failures)

    def find(self, execution_id, identity, now):
        """Finds the failure of an identical call.

        :param now: monotonic seconds.
        :return: :class:`Failure`, or ``None``.
        """
        return self._failures.get((execution_id, identity), now)

    def note(self, execution_id, identity, failure):
        """Notes a failed call.

        :param failure: :class:`Failure`.
        """
        self._failures.put((execution_id, identity), failure, failure.at)


def is_failure(status):
    """Tells whether an application may repeat a call with this answer.

    :param status: HTTP status, 0 without a whole answer.
    """
    return status == 0 or status >= FIRST_FAILURE_STATUS or status in REFUSING_STATUSES


def call_identity(plan, body, complete):
    """Identifies equal calls of one execution, whatever their key.

    :param body: first bytes of the body.
    :param complete: whether they are the whole body; otherwise they depend on
        timing and do not count.
    :return: 16 hex digits.
    """
    digest = blake2b(digest_size=8)
    for part in (plan.service.name, plan.method, plan.target):
        digest.update(part.encode())
        digest.update(b"\0")
    if complete:
        digest.update(body)
    return digest.hexdigest()

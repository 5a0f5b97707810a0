"""The queue in front of the slots of one upstream.

It handles a service that is offered more load than its slots can carry. The calls with
the lowest rank number run first. A call that cannot finish by its target time behind
the calls ahead of it is refused on arrival, so that it costs nothing and its caller can
try another host at once. The same holds for an upstream that limits its rate: calls
wait for their turn, the most urgent first.

Nested calls of one rank are ordered by the key that their request got at the entry (as
in DAGOR, SoCC 2018): of many requests that each need several calls, some then get all
of them, whereas any other order makes most requests miss one.
"""

from heapq import heappop, heappush

from ._offered_load import ENTRY_SHARE, OfferedLoad
from ._queue_levels import QueueLevels
from ._rate_limit import RateLimit
from ._tickets import DEFAULT_SERVICE_S, Refusal

# Upstreams slow down when nearly full, and new connections or health checks may hold
# a slot.
LIMIT_SHARE = 0.95
SERVICE_TIME_WEIGHT = 0.1
# Share of the time to its target that the expected wait and service time of a call may
# use: service times vary.
PLANNED_SHARE = 0.85
# A running request makes several nested calls in sequence and holds a slot while each
# of them waits; each may wait for this part of its remaining time.
NESTED_WAIT_SHARE = 0.5
MIN_RETRY_AFTER_S = 0.15
MAX_QUEUED = 2000

REASON_FULL = "full"
REASON_RATE_LIMITED = "rate-limited"
REASON_NO_UPSTREAM = "no-upstream"


class AdmissionQueue(QueueLevels):
    """The tickets that wait and run at one upstream."""

    def __init__(self):
        self._limit = 0
        self._running = 0
        self._running_entries = 0
        self._waiting = {}
        self._queued = 0
        self._queued_work_s = {}
        self._queued_entry_work_s = 0.0
        self._entry_share = ENTRY_SHARE
        self._service_times_s = {}
        self._offered = OfferedLoad()
        self._rate_limit = RateLimit()
        self._offered_calls = OfferedLoad()
        self._levels = {}
        self._sequence = 0

    def __repr__(self):
        return f"<AdmissionQueue {self._running}+{self._queued} of {self._limit}>"

    @property
    def limit(self):
        """Number of calls that may run at the same time."""
        return self._limit

    @property
    def running(self):
        """Number of running calls."""
        return self._running

    @property
    def queued(self):
        """Number of waiting calls."""
        return self._queued

    def set_slots(self, slots):
        """Sets the number of slots of the upstream, as announced by it.

        :param slots: 0 without an upstream.
        """
        self._limit = max(1, int(slots * LIMIT_SHARE)) if slots > 0 else 0

    @property
    def rate_limit_per_s(self):
        """Calls that may start per second, ``None`` without a limit."""
        return self._rate_limit.per_s

    def set_rate_limit(self, per_s, now):
        """Sets or removes the limit of calls that start per second.

        :param per_s: ``None`` without a limit.
        :param now: monotonic seconds.
        """
        self._rate_limit.set(per_s, now)

    def rate_limit_wait_s(self, now):
        """Returns the seconds for which the rate limit delays a further call.

        :param now: monotonic seconds.
        """
        return self._rate_limit.wait_s(self._queued, now)

    def next_start_s(self, now):
        """Returns the seconds until the rate limit lets a waiting call start.

        :param now: monotonic seconds.
        :return: ``None`` if no call waits for the rate limit.
        """
        if not self._queued or self._rate_limit.per_s is None:
            return None
        return self._rate_limit.wait_s(0, now) if self._running < self._limit else None

    def has_served(self, route):
        """Returns whether a call on a route has been served."""
        return route in self._service_times_s

    def expected_service_s(self, route):
        """Returns the typical seconds that a call on a route holds a slot."""
        return self._service_times_s.get(route, DEFAULT_SERVICE_S)

    def expected_wait_s(self, ticket, now):
        """Returns the seconds until a new call is expected to start.

        :param ticket: a :class:`Ticket` that is not queued yet.
        :param now: monotonic seconds.
        """
        if self._may_start(now) and not self._queued:
            return 0.0
        if not self._limit:
            return float("inf")
        if self._rate_limit.per_s is None:
            return self._slot_wait_s(ticket, now)
        turn_s = self._rate_limit.wait_s(self._count_ahead(ticket), now)
        if self._running < self._limit:
            return turn_s
        return max(turn_s, self._slot_wait_s(ticket, now))

    def _count_ahead(self, ticket):
        """Returns the number of waiting calls that start before a new one."""
        return sum(
            other.is_queued
            and (rank < ticket.rank or not ticket.is_nested or key <= ticket.key)
            for rank, waiting in self._waiting.items()
            if rank <= ticket.rank
            for key, _, other in waiting
        )

    def _slot_wait_s(self, ticket, now):
        rank = ticket.rank
        ahead_s = sum(
            work_s
            for queued_rank, work_s in self._queued_work_s.items()
            if queued_rank < rank
        )
        if ticket.is_nested:
            ahead_s += sum(
                other.expected_service_s
                for key, _, other in self._waiting.get(rank, ())
                if key <= ticket.key and other.is_queued
            )
            return ahead_s / self._limit
        own_s = self._queued_work_s.get(rank, 0.0) / self._entry_free_share(rank, now)
        return (ahead_s + own_s) / self._limit

    def backlog_waits_s(self, now):
        """Returns the seconds that new calls are expected to wait behind the backlog.

        :param now: monotonic seconds.
        :return: tuple of the seconds for a nested call and for an entry request.
        """
        if not self._limit or not self._queued:
            return 0.0, 0.0
        nested_s = sum(self._queued_work_s.values()) - self._queued_entry_work_s
        entry_s = 0.0
        if self._queued_entry_work_s > 0.0:
            rank = max(self._queued_work_s)
            entry_s = self._queued_entry_work_s / self._entry_free_share(rank, now)
        return nested_s / self._limit, (nested_s + entry_s) / self._limit

    def offer(self, ticket, now):
        """Starts, queues or refuses a call.

        :param now: monotonic seconds.
        :return: ``None`` if it starts now, the ticket if it waits, or a
            :class:`Refusal`.
        """
        if not self._limit:
            return Refusal(REASON_NO_UPSTREAM, MIN_RETRY_AFTER_S)
        ticket.expected_service_s = self.expected_service_s(ticket.route)
        ticket.queued_at = now
        self._offered.add(ticket, ticket.expected_service_s, now)
        if self._rate_limit.per_s is not None:
            self._offered_calls.add(ticket, 1.0, now)
        if self._may_start(now) and not self._queued:
            self._start(ticket, now)
            return None
        wait_s = self.expected_wait_s(ticket, now)
        if self._queued >= MAX_QUEUED:
            return Refusal(REASON_FULL, max(wait_s, MIN_RETRY_AFTER_S))
        remaining_s = min(ticket.target_at, ticket.start_deadline) - now
        if wait_s + ticket.expected_service_s > PLANNED_SHARE * remaining_s:
            has_slot = self._running < self._limit
            reason = REASON_RATE_LIMITED if has_slot else REASON_FULL
            return Refusal(reason, max(wait_s, MIN_RETRY_AFTER_S))
        if ticket.is_nested:
            ticket.start_deadline = min(
                ticket.start_deadline, now + NESTED_WAIT_SHARE * remaining_s
            )
        self._sequence += 1
        key = ticket.key if ticket.is_nested else self._sequence
        waiting = self._waiting.setdefault(ticket.rank, [])
        heappush(waiting, (key, self._sequence, ticket))
        self._queued_work_s[ticket.rank] = (
            self._queued_work_s.get(ticket.rank, 0.0) + ticket.expected_service_s
        )
        if not ticket.is_nested:
            self._queued_entry_work_s += ticket.expected_service_s
        self._queued += 1
        ticket.is_queued = True
        return ticket

    def withdraw(self, ticket):
        """Removes a waiting call that its caller no longer needs."""
        if ticket.is_queued:
            self._remove(ticket)

    def finish(self, ticket, now, served=True):
        """Frees the slot of a call.

        :param now: monotonic seconds.
        :param served: whether its duration counts towards the typical service time.
        """
        if ticket.started_at is None:
            return
        self._running -= 1
        if not ticket.is_nested:
            self._running_entries -= 1
        if served:
            elapsed_s = now - ticket.started_at
            average_s = self._service_times_s.get(ticket.route, elapsed_s)
            self._service_times_s[ticket.route] = average_s + SERVICE_TIME_WEIGHT * (
                elapsed_s - average_s
            )
        ticket.started_at = None

    def start_ready(self, now):
        """Starts the waiting calls for which slots are free.

        :param now: monotonic seconds.
        :return: tuple of a list of the started tickets and a list of the removed
            tickets whose deadline to start has passed.
        """
        started, expired = [], []
        while self._queued and self._may_start(now):
            ticket = self._next_ticket()
            self._remove(ticket)
            if now >= ticket.start_deadline:
                expired.append(ticket)
                continue
            self._start(ticket, now)
            started.append(ticket)
        return started, expired

    def remove_expired(self, now):
        """Removes the waiting calls whose deadline to start has passed.

        They can no longer finish in time.

        :param now: monotonic seconds.
        :return: list of tickets.
        """
        expired = [
            ticket
            for waiting in self._waiting.values()
            for _, _, ticket in waiting
            if ticket.is_queued and now >= ticket.start_deadline
        ]
        for ticket in expired:
            self._remove(ticket)
        return expired

    def remove_all(self):
        """Removes and returns every waiting call, for an upstream that is leaving."""
        queued = [
            ticket
            for waiting in self._waiting.values()
            for _, _, ticket in waiting
            if ticket.is_queued
        ]
        for ticket in queued:
            self._remove(ticket)
        return queued

    def _entry_free_share(self, rank, now):
        """Returns the share of the slots for entry requests of a rank."""
        free = self._offered.free_share(rank, self._limit, now)
        return max(free, self._entry_share)

    def _next_ticket(self):
        most_urgent = None
        for rank in sorted(self._waiting):
            ticket = self._head(self._waiting[rank])
            if ticket is None:
                continue
            if most_urgent is None:
                most_urgent = ticket
            has_reserved_slot = (
                self._rate_limit.per_s is None
                and self._running_entries < self._entry_share * self._limit
            )
            if not ticket.is_nested and (has_reserved_slot or most_urgent is ticket):
                return ticket
        return most_urgent

    def _head(self, waiting):
        while waiting:
            if waiting[0][2].is_queued:
                return waiting[0][2]
            heappop(waiting)
        return None

    def _remove(self, ticket):
        ticket.is_queued = False
        self._queued -= 1
        self._queued_work_s[ticket.rank] -= ticket.expected_service_s
        if not ticket.is_nested:
            self._queued_entry_work_s -= ticket.expected_service_s
        if self._head(self._waiting[ticket.rank]) is None:
            self._queued_work_s[ticket.rank] = 0.0

    def _may_start(self, now):
        return self._running < self._limit and self._rate_limit.has_room(now)

    def _start(self, ticket, now):
        ticket.started_at = now
        self._rate_limit.take(now)
        self._running += 1
        if not ticket.is_nested:
            self._running_entries += 1

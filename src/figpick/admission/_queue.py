"""The queue before the slots of one upstream.

It answers the load of a service that is offered more than its slots can carry. The
calls with the lowest rank number run first; a call that cannot finish within its
target behind those that go before it is refused when it arrives, so that it costs
nothing and its caller can go elsewhere at once.

Calls of running requests with one rank are ordered by the key of the request at the
entry (as in DAGOR, SoCC 2018): of many requests that each need several calls some
then get all of them, where any other order lets most of them miss one.
"""

from heapq import heappop, heappush

from ._offers import ENTRY_SHARE, OfferedWork, entry_share
from ._throttle import AdmissionLevel
from ._tickets import DEFAULT_SERVICE_S, Refusal

# Upstreams slow down when nearly full, and connects or health checks may hold a slot.
LIMIT_SHARE = 0.95
MIN_ROOM = 0.05
# Time in which a backlog is to be worked off. Services above hold their slots for the
# calls that wait here and then send no more, so that the offered work alone hides it.
BACKLOG_S = 0.3
# Part of the difference between the slots that requests that start here should have
# and those that they use, by which what is kept for them changes ten times a second.
ENTRY_USE_WEIGHT = 0.1
SERVICE_WEIGHT = 0.1
# Part of the time to its target that a call may plan to use: service times vary.
PLANNED_SHARE = 0.85
# A running request makes several calls, one after the other, and holds a slot while
# it waits for one; it may wait for each this part of the time that is left.
INNER_WAIT_SHARE = 0.5
MIN_RETRY_AFTER_S = 0.15
MAX_QUEUED = 2000

FULL = "full"
NO_UPSTREAM = "no-upstream"


class AdmissionQueue:
    """Tickets that run and wait at one upstream."""

    def __init__(self):
        self._limit = 0
        self._running = 0
        self._running_entries = 0
        self._waiting = {}
        self._queued = 0
        self._work_s = {}
        self._entry_work_s = 0.0
        self._entry_share = ENTRY_SHARE
        self._service_s = {}
        self._offered = OfferedWork()
        self._levels = {}
        self._number = 0

    def __repr__(self):
        return f"<AdmissionQueue {self._running}+{self._queued} of {self._limit}>"

    @property
    def limit(self):
        """Number of calls that may run at once."""
        return self._limit

    @property
    def running(self):
        """Number of calls that run."""
        return self._running

    @property
    def queued(self):
        """Number of calls that wait."""
        return self._queued

    def set_slots(self, slots):
        """Sets the number of slots that the upstream announced, 0 for none."""
        self._limit = max(1, int(slots * LIMIT_SHARE)) if slots > 0 else 0

    def has_served(self, route):
        """Whether a call on a route has been served."""
        return route in self._service_s

    def expected_service_s(self, route):
        """Usual seconds that a call on a route holds a slot."""
        return self._service_s.get(route, DEFAULT_SERVICE_S)

    def pressure(self, rank, now):
        """Work of a rank that is offered for each slot that it may use.

        Above 1 more calls come, or wait, than can run soon; what more urgent calls
        use, and the share of requests that start here, is not there for them.

        :param rank: rank of calls of running requests.
        :param now: monotonic seconds.
        """
        if not self._limit:
            return 0.0
        return self._pressure(rank, self._offered.use(rank, self._limit, now))

    def expected_wait_s(self, ticket, now):
        """Seconds until a new call is expected to start.

        :param ticket: the :class:`Ticket`, which is not queued yet.
        :param now: monotonic seconds.
        """
        if self._running < self._limit and not self._queued:
            return 0.0
        if not self._limit:
            return float("inf")
        rank = ticket.rank
        ahead_s = sum(work for each, work in self._work_s.items() if each < rank)
        if ticket.is_nested:
            ahead_s += sum(
                other.expected_service_s
                for key, _, other in self._waiting.get(rank, ())
                if key <= ticket.key and other.is_queued
            )
            return ahead_s / self._limit
        own_s = self._work_s.get(rank, 0.0) / self._entry_room(rank, now)
        return (ahead_s + own_s) / self._limit

    def level(self, rank, now):
        """Part of the keys of a rank for which there is room, from 0.05 to 1.

        :param rank: rank of calls of running requests.
        :param now: monotonic seconds.
        """
        level = self._levels.get(rank)
        if level is None:
            level = self._levels[rank] = AdmissionLevel()
        return level.update(lambda: self._measure(rank, now), now)

    def levels(self):
        """Gives the last level of each rank that is below 1."""
        return {
            rank: round(level.value, 2)
            for rank, level in self._levels.items()
            if level.value < 1.0
        }

    def backlog_waits_s(self, now):
        """Seconds in which the waiting calls could be worked off.

        :param now: monotonic seconds.
        :return: tuple for calls of running requests and for requests that start
            here.
        """
        if not self._limit or not self._queued:
            return 0.0, 0.0
        inner_s = sum(self._work_s.values()) - self._entry_work_s
        entry_s = 0.0
        if self._entry_work_s > 0.0:
            rank = max(self._work_s)
            entry_s = self._entry_work_s / self._entry_room(rank, now)
        return inner_s / self._limit, (inner_s + entry_s) / self._limit

    def offer(self, ticket, now):
        """Takes a call.

        :param now: monotonic seconds.
        :return: ``None`` when it starts now, the ticket when it waits, or a
            :class:`Refusal`.
        """
        if not self._limit:
            return Refusal(NO_UPSTREAM, MIN_RETRY_AFTER_S)
        ticket.expected_service_s = self.expected_service_s(ticket.route)
        ticket.queued_at = now
        self._offered.add(ticket, now)
        if self._running < self._limit and not self._queued:
            self._start(ticket, now)
            return None
        wait_s = self.expected_wait_s(ticket, now)
        if self._queued >= MAX_QUEUED:
            return Refusal(FULL, max(wait_s, MIN_RETRY_AFTER_S))
        left_s = min(ticket.target_at, ticket.leave_at) - now
        if wait_s + ticket.expected_service_s > PLANNED_SHARE * left_s:
            return Refusal(FULL, max(wait_s, MIN_RETRY_AFTER_S))
        if ticket.is_nested:
            ticket.leave_at = min(ticket.leave_at, now + INNER_WAIT_SHARE * left_s)
        self._number += 1
        key = ticket.key if ticket.is_nested else self._number
        waiting = self._waiting.setdefault(ticket.rank, [])
        heappush(waiting, (key, self._number, ticket))
        self._work_s[ticket.rank] = (
            self._work_s.get(ticket.rank, 0.0) + ticket.expected_service_s
        )
        if not ticket.is_nested:
            self._entry_work_s += ticket.expected_service_s
        self._queued += 1
        ticket.is_queued = True
        return ticket

    def withdraw(self, ticket):
        """Removes a call that waits; its caller no longer wants it."""
        if ticket.is_queued:
            self._forget(ticket)

    def finish(self, ticket, now, served=True):
        """Frees the slot of a call.

        :param now: monotonic seconds.
        :param served: whether its duration tells the usual service time.
        """
        if ticket.started_at is None:
            return
        self._running -= 1
        if not ticket.is_nested:
            self._running_entries -= 1
        if served:
            spent_s = now - ticket.started_at
            known_s = self._service_s.get(ticket.route, spent_s)
            self._service_s[ticket.route] = known_s + SERVICE_WEIGHT * (
                spent_s - known_s
            )
        ticket.started_at = None

    def start_ready(self, now):
        """Starts the waiting calls for which slots are free.

        :param now: monotonic seconds.
        :return: tuple of a list of started tickets and a list of those whose time
            to start has passed.
        """
        started, late = [], []
        while self._running < self._limit and self._queued:
            ticket = self._next()
            self._forget(ticket)
            if now >= ticket.leave_at:
                late.append(ticket)
                continue
            self._start(ticket, now)
            started.append(ticket)
        return started, late

    def remove_expired(self, now):
        """Removes the waiting calls that could no longer finish in time.

        :param now: monotonic seconds.
        :return: list of tickets.
        """
        late = [
            ticket
            for waiting in self._waiting.values()
            for _, _, ticket in waiting
            if ticket.is_queued and now >= ticket.leave_at
        ]
        for ticket in late:
            self._forget(ticket)
        return late

    def remove_all(self):
        """Removes every waiting call, for an upstream that leaves."""
        queued = [
            ticket
            for waiting in self._waiting.values()
            for _, _, ticket in waiting
            if ticket.is_queued
        ]
        for ticket in queued:
            self._forget(ticket)
        return queued

    def _entry_room(self, rank, now):
        """Part of the slots for requests of a rank that start here."""
        room = self._offered.room_for(rank, self._limit, now)
        return max(room, self._entry_share)

    def _measure(self, rank, now):
        if not self._limit:
            return 0.0
        use = self._offered.use(rank, self._limit, now)
        if use.entries:
            # They also take the slots that fall free between the calls of running
            # requests, and keep them for long: fewer are kept for them then.
            used = self._running_entries / self._limit
            share = self._fair_share(rank, use)
            kept = self._entry_share + ENTRY_USE_WEIGHT * (share - used)
            self._entry_share = min(ENTRY_SHARE, max(MIN_ROOM, kept))
        return self._pressure(rank, use)

    def _pressure(self, rank, use):
        beside = min(self._entry_share, self._fair_share(rank, use))
        kept = min(ENTRY_SHARE, use.below + beside)
        room = use.room
        if use.entries:
            # More urgent calls are held to what this leaves.
            room = max(room, min(ENTRY_SHARE, use.entries))
        own = use.own + self._work_s.get(rank, 0.0) / (BACKLOG_S * self._limit)
        return own / max(room - kept, MIN_ROOM)

    def _fair_share(self, rank, use):
        """Slots for requests that start here with the urgency of a rank."""
        level = self._levels.get(rank)
        # Requests that the entries refuse for this level ask for slots as well.
        asked = use.own / level.value if level else use.own
        return entry_share(use.entries, asked, use.room)

    def _next(self):
        first = None
        for rank in sorted(self._waiting):
            ticket = self._first(self._waiting[rank])
            if ticket is None:
                continue
            if first is None:
                first = ticket
            is_reserved = self._running_entries < self._entry_share * self._limit
            if not ticket.is_nested and (is_reserved or first is ticket):
                return ticket
        return first

    def _first(self, waiting):
        while waiting:
            if waiting[0][2].is_queued:
                return waiting[0][2]
            heappop(waiting)
        return None

    def _forget(self, ticket):
        ticket.is_queued = False
        self._queued -= 1
        self._work_s[ticket.rank] -= ticket.expected_service_s
        if not ticket.is_nested:
            self._entry_work_s -= ticket.expected_service_s
        if self._first(self._waiting[ticket.rank]) is None:
            self._work_s[ticket.rank] = 0.0

    def _start(self, ticket, now):
        ticket.started_at = now
        self._running += 1
        if not ticket.is_nested:
            self._running_entries += 1

"""Hands calls to owners: choice of the host, waiting for one, second attempts."""

import asyncio

from ..admission import ROOM_LEVEL, RetryBudget
from ..placing import choose
from ._calls import Attempt
from ._messages import BODY, CALL, CANCEL, PART_BYTES, CallMessage

# A call waits this long for a host of its service to come up.
HOST_WAIT_S = 0.4
# A call that takes this many times the usual time has probably lost its answer.
HEDGE_FACTOR = 4.0
MIN_HEDGE_S = 0.3
# Until a node that has just started knows the configuration and its hosts.
START_PAUSE_S = 0.8


class Dispatcher:
    """Attempts of the calls that a node took.

    :param settings: :class:`~figpick.nodes.NodeSettings`.
    :param policy: :class:`~figpick.nodes._entry_policy.EntryPolicy`.
    :param calls: the :class:`~figpick.nodes._forwarding.Forwarder`, which is told of
        calls that no host takes and of second attempts.
    """

    def __init__(self, settings, policy, calls):
        self._settings = settings
        self._policy = policy
        self._calls = calls
        self._budgets = {}
        self._waiting = {}
        self._number = 0
        self.peers = None

    def __repr__(self):
        return f"<Dispatcher {self._number} attempts>"

    def place_waiting(self, service):
        """Places the calls that waited for a host of a service."""
        waiting = self._waiting.pop(service, None)
        if waiting:
            for call in waiting:
                if not call.is_done and call.waits:
                    call.waits = False
                    self.place(call)

    def budget(self, service):
        """Gives the :class:`~figpick.admission.RetryBudget` of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            settings = self._settings
            budget = self._budgets[service] = RetryBudget(
                settings.retry_ratio, settings.retry_window_s
            )
        return budget

    def has_other(self, call):
        """Whether a host takes calls to which a call was not handed before."""
        return bool(self._untried(call))

    def place(self, call):
        """Hands a call to a host that it was not handed to before, or lets it wait."""
        now = self._calls.now()
        peers = self._untried(call)
        if peers:
            self._send(call, self._choose(call, peers, now), now)
        else:
            self._wait_or_refuse(call, now)

    def _untried(self, call):
        return [
            peer
            for peer in self.peers.for_service(call.service)
            if peer.accepts_calls and peer.name not in call.tried
        ]

    def _choose(self, call, peers, now):
        targets = [peer.target for peer in peers]
        target = choose(targets, call.route.name, call.is_inner, now)
        return peers[targets.index(target)]

    def _wait_or_refuse(self, call, now):
        usable = any(
            peer.accepts_calls for peer in self.peers.for_service(call.service)
        )
        if usable and call.placements:
            self._calls.on_unplaced(call, "every host of the service is full", 0.0)
            return
        call.waits = True
        call.tried.clear()
        self._waiting.setdefault(call.service, []).append(call)
        loop = asyncio.get_running_loop()
        wait_s = min(HOST_WAIT_S, max(0.0, call.answer_by - now))
        loop.call_later(wait_s, self._stop_waiting, call)

    def _stop_waiting(self, call):
        if call.is_done or not call.waits:
            return
        call.waits = False
        waiting = self._waiting.get(call.service)
        if waiting and call in waiting:
            waiting.remove(call)
        self._calls.on_unplaced(
            call, "no host of the service can be reached", START_PAUSE_S
        )

    def _send(self, call, peer, now):
        call.tried.add(peer.name)
        call.placements += 1
        self._number += 1
        attempt = Attempt(self._number, call, peer, now)
        call.attempts[attempt.number] = attempt
        peer.attempts[attempt.number] = attempt
        peer.target.sent += 1
        body = call.body
        first = body[:PART_BYTES]
        message = CallMessage(
            instance=peer.instance,
            rank=call.rank,
            key=call.key,
            is_inner=call.is_inner,
            is_idempotent=call.route.is_idempotent,
            is_repeat=call.is_repeat or call.sent > 0,
            left_ms=max(0, int((call.answer_by - now) * 1000)),
            target_ms=max(0, int((call.target_at - now) * 1000)),
            route=call.route.name,
            caller=self._settings.service,
            request_id=call.request_id,
            is_head=call.request.method == b"HEAD",
            head=call.head,
            body=first,
            is_complete=len(first) == len(body),
            body_bytes=len(body),
        )
        peer.link.send((CALL, attempt.number, *message))
        for start in range(PART_BYTES, len(body), PART_BYTES):
            part = body[start : start + PART_BYTES]
            is_last = start + PART_BYTES >= len(body)
            peer.link.send((BODY, attempt.number, part, is_last))
        if call.route.is_idempotent and call.sent == 0 and call.route.attempts > 1:
            wait_s = max(
                MIN_HEDGE_S, HEDGE_FACTOR * peer.target.expected_s(call.route.name)
            )
            if now + wait_s < call.answer_by:
                loop = asyncio.get_running_loop()
                call.hedge_timer = loop.call_later(wait_s, self._hedge, call, attempt)

    def _hedge(self, call, attempt):
        call.hedge_timer = None
        target = attempt.peer.target
        if call.is_done or attempt.number not in call.attempts or attempt.is_streaming:
            return
        level = self._policy.level(call.route)
        # A second attempt while services below are short of room only adds to the load.
        if target.load.queued or level < ROOM_LEVEL:
            return
        now = self._calls.now()
        others = self._untried(call)
        if not others or not self.budget(call.service).take(now):
            return
        target.failed(now)
        call.sent += 1
        self._calls.on_hedged(attempt, now)
        self._send(call, self._choose(call, others, now), now)

    def forget(self, attempt):
        """Drops an attempt that has ended."""
        attempt.call.attempts.pop(attempt.number, None)
        attempt.peer.attempts.pop(attempt.number, None)

    def cancel(self, attempt):
        """Tells the owner of an attempt that its answer is no longer wanted."""
        self.forget(attempt)
        link = attempt.peer.link
        if link is not None:
            breaks_off = attempt.call.route.is_idempotent
            link.send((CANCEL, attempt.number, breaks_off))

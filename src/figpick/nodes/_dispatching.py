"""Sends calls to owners: chooses hosts, queues calls without one, hedges slow calls."""

import asyncio

from ..admission import (
    FREE_CAPACITY_LEVEL,
    NO_CAPACITY_LEVEL,
    REASON_RATE_LIMITED,
    RetryBudget,
)
from ..placing import choose
from ._body_sending import BodySender, first_part
from ._calls import Attempt
from ._messages import (
    CALL,
    CANCEL,
    REASON_STOPPED,
    CallMessage,
)

# Longest wait of a call for a host of its service to become available.
MAX_HOST_WAIT_S = 0.4
# A call that takes this many times the typical time has probably lost its response.
HEDGE_FACTOR = 4.0
MIN_HEDGE_S = 0.3
# Hosts above this share of failed calls get no retries.
MAX_RETRY_FAILURE_SHARE = 0.5
# Time in which a node that has just started learns the configuration and the hosts.
STARTUP_WAIT_S = 0.8


class Dispatcher:
    """Makes the attempts of the calls that a node received.

    :param settings: :class:`~figpick.nodes.NodeSettings`.
    :param policy: :class:`~figpick.nodes._entry_policy.EntryPolicy`.
    :param forwarder: the :class:`~figpick.nodes._forwarding.Forwarder`, which is
        notified of calls that no host accepts and of hedged calls.
    """

    def __init__(self, settings, policy, forwarder):
        self._settings = settings
        self._policy = policy
        self._forwarder = forwarder
        self._retry_budgets = {}
        self._waiting_calls = {}
        self._attempt_count = 0
        self.peers = None
        # Service that the calls of this host come from.
        self.caller = settings.service
        # The StopSchedule of the node once it stops.
        self.stop = None

    def __repr__(self):
        return f"<Dispatcher {self._attempt_count} attempts>"

    def place_waiting(self, service):
        """Sends the calls that are waiting for a host of a service."""
        waiting = self._waiting_calls.pop(service, None)
        if waiting:
            for call in waiting:
                if not call.is_done and call.is_waiting_for_host:
                    call.is_waiting_for_host = False
                    self.place(call)

    def retry_budget(self, service):
        """Returns the :class:`~figpick.admission.RetryBudget` of a service."""
        budget = self._retry_budgets.get(service)
        if budget is None:
            settings = self._settings
            budget = self._retry_budgets[service] = RetryBudget(
                settings.retry_ratio, settings.retry_window_s
            )
        return budget

    def has_sound_untried_host(self, call, now):
        """Returns whether a host that mostly succeeds has not been tried yet.

        Where every host fails, the cause is usually a service below, which the retries
        of each layer above would load once more.

        :param now: monotonic seconds.
        """
        return any(
            peer.target.failure_share(now) < MAX_RETRY_FAILURE_SHARE
            for peer in self._with_time(call, self._untried_peers(call), now)
        )

    def place(self, call):
        """Sends a call to a host not tried before, or queues or refuses it."""
        now = self._forwarder.now()
        peers = self._untried_peers(call)
        if not peers:
            self._wait_or_refuse(call, now)
            return
        peers = self._with_time(call, peers, now)
        if peers:
            self._send(call, self._choose(call, peers, now), now)
        else:
            self._forwarder.on_placement_failed(call, REASON_STOPPED, STARTUP_WAIT_S)

    def has_time(self, call, now):
        """Returns whether a host not tried before can run a call before the node ends.

        :param now: monotonic seconds.
        """
        if self.stop is None:
            return True
        return bool(self._with_time(call, self._untried_peers(call), now))

    def work_until(self, call):
        """Returns the deadline of what is sent now for a call, in monotonic seconds."""
        if self.stop is None:
            return call.respond_by
        return min(call.respond_by, self.stop.work_until)

    def _with_time(self, call, peers, now):
        if self.stop is None:
            return peers
        route = call.route.name
        return [
            peer
            for peer in peers
            if self.stop.leaves_time(peer.target.expected_response_s(route), now)
        ]

    def _untried_peers(self, call):
        return [
            peer
            for peer in self.peers.for_service(call.service)
            if peer.accepts_calls and peer.name not in call.tried_hosts
        ]

    def _choose(self, call, peers, now):
        for peer in peers:
            if peer.check_silence(now):
                loop = asyncio.get_running_loop()
                loop.call_soon(self._hedge_silent, peer)
        targets = [peer.target for peer in peers]
        target_s = call.target_at - now
        target = choose(targets, call.route.name, call.is_nested, now, target_s)
        return peers[targets.index(target)]

    def _wait_or_refuse(self, call, now):
        has_available_host = any(
            peer.accepts_calls for peer in self.peers.for_service(call.service)
        )
        if has_available_host and call.placements:
            if call.rate_limit_wait_s is not None:
                reason, wait_s = REASON_RATE_LIMITED, call.rate_limit_wait_s
            else:
                reason, wait_s = "every host of the service is full", 0.0
            self._forwarder.on_placement_failed(call, reason, wait_s)
            return
        call.is_waiting_for_host = True
        call.tried_hosts.clear()
        self._waiting_calls.setdefault(call.service, []).append(call)
        loop = asyncio.get_running_loop()
        wait_s = min(MAX_HOST_WAIT_S, max(0.0, call.respond_by - now))
        loop.call_later(wait_s, self._stop_waiting, call)

    def _stop_waiting(self, call):
        if call.is_done or not call.is_waiting_for_host:
            return
        call.is_waiting_for_host = False
        waiting = self._waiting_calls.get(call.service)
        if waiting and call in waiting:
            waiting.remove(call)
        call.level = NO_CAPACITY_LEVEL
        self._forwarder.on_placement_failed(
            call, "no host of the service can be reached", STARTUP_WAIT_S
        )

    def _send(self, call, peer, now):
        call.tried_hosts.add(peer.name)
        call.placements += 1
        self._attempt_count += 1
        attempt = Attempt(self._attempt_count, call, peer, now)
        call.attempts[attempt.number] = attempt
        peer.attempts[attempt.number] = attempt
        peer.target.sent_since_report += 1
        body = first_part(call.body)
        link = peer.link
        message = CallMessage(
            instance=peer.instance,
            rank=call.rank,
            key=call.key,
            is_nested=call.is_nested,
            is_idempotent=call.route.is_idempotent,
            is_retry=call.is_retry or call.was_at_upstream,
            remaining_ms=max(0, int((self.work_until(call) - now) * 1000)),
            target_ms=max(0, int((call.target_at - now) * 1000)),
            route=call.route.name,
            caller=self.caller,
            request_id=call.request_id,
            is_head=call.request.method == b"HEAD",
            head=call.head,
            body=body,
            is_complete=len(body) == call.body_bytes,
            body_bytes=call.body_bytes,
        )
        link.send((CALL, attempt.number, *message))
        if not message.is_complete:
            attempt.body_sender = BodySender(
                attempt, link, call.body, len(body), call.body_bytes
            )
            attempt.body_sender.send()
        if (
            call.route.is_idempotent
            and call.used_attempts == 0
            and call.route.attempts > 1
        ):
            wait_s = max(
                MIN_HEDGE_S,
                HEDGE_FACTOR * peer.target.expected_service_s(call.route.name),
            )
            if now + wait_s < call.respond_by:
                loop = asyncio.get_running_loop()
                call.hedge_timer = loop.call_later(wait_s, self._hedge, call, attempt)

    def _hedge_silent(self, peer):
        """Sends the calls that wait for a suspected host to other hosts."""
        self._forwarder.on_suspected(peer)
        for attempt in list(peer.attempts.values()):
            call = attempt.call
            if call.hedge_timer is not None:
                call.hedge_timer.cancel()
                self._hedge(call, attempt)

    def _hedge(self, call, attempt):
        call.hedge_timer = None
        target = attempt.peer.target
        if call.is_done or attempt.number not in call.attempts or attempt.is_streaming:
            return
        if call.used_attempts + 1 >= call.route.attempts:
            return
        level = self._policy.level(call.route)
        # While the called services lack free capacity, a second attempt only adds load,
        # unless the first one is probably lost.
        lacks_capacity = target.load.queued or level < FREE_CAPACITY_LEVEL
        if lacks_capacity and not attempt.peer.is_suspected:
            return
        now = self._forwarder.now()
        others = self._with_time(call, self._untried_peers(call), now)
        if not others or not self.retry_budget(call.service).take(now):
            return
        target.record_failure(now)
        call.used_attempts += 1
        call.was_at_upstream = True
        self._forwarder.on_hedged(attempt, now)
        self._send(call, self._choose(call, others, now), now)

    def forget(self, attempt):
        """Removes an attempt that has ended."""
        if attempt.body_sender is not None:
            attempt.body_sender.stop()
        attempt.call.attempts.pop(attempt.number, None)
        attempt.peer.attempts.pop(attempt.number, None)

    def cancel(self, attempt):
        """Removes an attempt and notifies its owner that it is no longer needed.

        The owner aborts a running call only if it may run again.
        """
        self.forget(attempt)
        link = attempt.peer.link
        if link is not None:
            aborts_running = attempt.call.route.is_idempotent
            link.send((CANCEL, attempt.number, aborts_running))

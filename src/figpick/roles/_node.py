"""The node role: accepts calls and owns the permits of its upstream."""

from functools import partial
from math import inf

from ..base._errors import (
    DrainingError,
    UnknownServiceError,
)
from ..base._logs import logger
from ..base._settings import split_address
from ..calls import _announcements, _context, _plans
from ..calls._calls import CallListener, CallServer
from ..calls._cancellations import Cancellations
from ..calls._executions import ExecutionTable
from ..calls._plans import ClockReading
from ..calls._recorder import make_span
from ..claims._claim_manager import ClaimManager
from ..membership._members import CALLABLE_STATES, DRAINING, LEFT, READY
from ..messaging._connections import CHUNK_BYTES, MAX_BODY_BYTES, MAX_BUFFER_BYTES
from ..permits._exchange import PermitExchange
from ..registry._documents import Service
from ..retries._quarantine_coordinator import QuarantineCoordinator
from ..retries._retry_policy import RetryPolicy
from ..routing._reachability import UpstreamReachability
from ..routing._silent_connections import SilenceDetector
from ..routing._upstream_set import UpstreamSet
from ._counters import Counters

# Higher than the limit for a call, because a head that exceeds that limit must be read
# before it can be refused with 431.
MAX_HEADER_BYTES = 128 * 1024

log = logger("node")


class Node:
    """Accepts calls and sends them to upstreams.

    :param settings: :class:`~figpick.base._settings.Settings`.
    :param clock: :class:`~figpick.base._clock.Clock`.
    :param key: shared key, bytes.
    :param members: :class:`~figpick.membership._members.Members`.
    :param client: :class:`~figpick.messaging._transport.PeerClient`.
    """

    def __init__(self, settings, clock, key, members, client):
        self._settings = settings
        self.clock = clock
        self.key = key
        self.members = members
        self.counters = Counters()
        self._services = {}
        self._upstream_sets = {}
        self._executions = ExecutionTable()
        self.cancellations = Cancellations(
            self._executions, client, clock, settings["name"]
        )
        self.silence_detector = SilenceDetector(clock)
        self.exchange = PermitExchange(members, client, clock)
        self.claims = ClaimManager(clock, members, client)
        self.retries = RetryPolicy(settings["peer_address"], clock, client)
        self.quarantine_coordinator = QuarantineCoordinator(clock, members, client)
        self._announcement_expires_at = 0.0
        self._is_draining = False
        self._is_refusing = False
        self._drain_end_at = inf
        self._in_flight = 0
        self._server = None
        self._call_server = CallServer(self)
        self.fetcher = None
        self.recorder = None
        self._reachability = UpstreamReachability(members)
        members.add_listener(self._member_changed)

    @property
    def versions(self):
        """Versions of the active documents, by service."""
        return {name: service.version for name, service in self._services.items()}

    @property
    def documents(self):
        """Active documents, by service."""
        return self._services

    @property
    def is_draining(self):
        """Whether the node is shutting down."""
        return self._is_draining

    @property
    def has_calling_nodes(self):
        """Whether another node may send calls to the local upstream."""
        own = self.members.own
        return any(
            member.name != own.name and member.call_address and member.state != LEFT
            for member in self.members
        )

    @property
    def is_idle(self):
        """Whether no call is in flight, received or answered at this node or upstream.

        A call is received from its headers on, and answered until its caller has the
        response and its claim holders know of its end.
        """
        has_work = self.has_calls or self.claims.has_deliveries
        return not has_work and self.exchange.pool.committed == 0

    @property
    def has_calls(self):
        """Whether a call is received, in flight or answered at this node."""
        return self._in_flight > 0 or not self._call_server.is_idle

    def start(self):
        """Starts accepting calls."""
        ip, port = split_address(self._settings["call_address"])
        self._server = CallListener(
            self._call_server,
            chunk_size=CHUNK_BYTES,
            max_buffer_size=MAX_BUFFER_BYTES,
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=MAX_BODY_BYTES,
        )
        self._server.listen(port, ip)

    def begin_draining(self, end_at):
        """Marks the upstream as draining and starts to refuse root requests.

        :param end_at: monotonic seconds at which calls in flight are ended. Nested
            calls get no later deadline.
        """
        self._is_draining = True
        self._drain_end_at = end_at
        self._stop_new_work()

    def stop_accepting(self):
        """Refuses all further calls, also nested ones, and accepts no connections."""
        self._is_refusing = True
        if self._server is not None:
            self._server.stop()

    def end_calls(self):
        """Ends all calls; callers without a response get one with the true outcome."""
        self._call_server.end_calls()

    async def return_permits(self):
        """Returns all permits to the owners of the upstreams before the node stops."""
        await self.exchange.return_all()

    def _stop_new_work(self):
        own = self.members.own
        self.members.update_own(state=DRAINING)
        self.exchange.owner.set_capacity(0, own.connections)

    async def stop(self):
        """Stops accepting calls and closes the connections of callers."""
        self.cancellations.close()
        if self._server is not None:
            self._server.stop()
            await self._server.close_all_connections()
        if self.recorder is not None:
            try:
                await self.recorder.flush()
            except OSError as error:
                log.error("The last spans could not be recorded: {}.", error)

    def adopt_document(self, document, version):
        """Activates a service document unless the active one is as new or newer.

        :param document: valid service document.
        :param version: index of its log entry.
        :return: whether the document was activated.
        """
        name = document["service"]
        known = self._services.get(name)
        if known is not None and version <= known.version:
            return False
        service = self._services[name] = Service(document, version)
        upstreams = self._upstream_sets.get(name)
        if upstreams is None:
            now = self.clock.monotonic()
            upstreams = self._upstream_sets[name] = UpstreamSet(
                service,
                self.members.own,
                now,
                self.exchange.request_permits,
                self.exchange.return_unused,
            )
            for member in self.members.of_service(name):
                upstreams.update(member, now)
        upstreams.service = service
        if name == self.members.own.service:
            self.exchange.owner.set_limits(service.limits)
        log.info("Version {} of {} is active.", version, name)
        return True

    def plan(self, start_line, headers):
        """Plans a call from the head of its request.

        :param start_line: request line.
        :param headers: request headers.
        :return: :class:`~figpick.calls._plans.CallPlan`.
        :raises CallError: when the call cannot be planned.
        """
        self.counters.calls += 1
        header = headers.get(_context.CONTEXT_HEADER)
        parent = _context.decode(header, self.key) if header else None
        if self._is_refusing or (self._is_draining and parent is None):
            # Requests in flight need their nested calls to complete.
            raise DrainingError("the node is shutting down", retry_after_s=1)
        start_line, host = _plans.split_target(start_line, headers)
        service = self._find_service(host, parent is not None)
        now = ClockReading(self.clock.monotonic(), self.clock.wall())
        root_node_address = self._settings["peer_address"]
        plan = _plans.make_plan(
            service,
            start_line,
            headers,
            parent,
            root_node_address,
            now,
            self._drain_end_at,
        )
        return plan if parent is not None else self.retries.register_root(plan)

    def admit(self, plan, body, now):
        """Checks whether a call may wait for a permit.

        :param plan: :class:`~figpick.calls._plans.CallPlan`.
        :param body: :class:`~figpick.calls._bodies.RequestBody`.
        :param now: monotonic seconds.
        :raises CallError: when the call is refused.
        """
        self.quarantine_coordinator.reject_quarantined(plan, body, now)
        if plan.parent is not None:
            parent = plan.parent
            called = (plan.service.name, plan.route.route_id)
            routes = self.exchange.owner.routes
            routes.record_call(parent.route_id, parent.execution_id, called)
        self._upstream_sets[plan.service.name].admit(plan, now)

    async def claim(self, plan):
        """Claims a non-idempotent call, if it has a key, before it is sent.

        :return: stored response of an earlier execution, or ``None``.
        :raises CallError: when the call may have run before.
        """
        return await self.claims.claim(plan) if plan.key else None

    async def find_claimed_outcome(self, plan):
        """Returns the outcome to report for a refused call with an idempotency key."""
        return await self.claims.find_outcome(plan)

    def finish_claim(self, plan, has_sent, response):
        """Records the end of a claimed call.

        :param has_sent: whether any byte may have reached an upstream.
        :param response: complete short response, or ``None``.
        """
        self.claims.finish(plan, has_sent, response)

    def adopt_roster(self, service, epoch, positions, **times):
        """Activates a roster unless the active one is as new or newer.

        :param times: other fields of :class:`~figpick.claims._rosters.Roster`.
        :return: whether the roster was activated.
        """
        fields = {"service": service, "epoch": epoch, "positions": positions}
        return self.claims.adopt({**fields, **times})

    async def authorize_retry(self, plan, attempts, connection_lost):
        """Requests a retry grant from the node that accepted the root request.

        :param attempts: number of times that the call was sent.
        :param connection_lost: whether the connection was lost; otherwise it is silent.
        :raises RetryBoundError: when the call may not be retried.
        """
        self.counters.retries += 1
        await self.retries.authorize_retry(plan, attempts, connection_lost)

    def upstream_set(self, service):
        """Returns the upstreams of a service.

        :return: :class:`~figpick.routing._upstream_set.UpstreamSet`.
        """
        return self._upstream_sets[service]

    def is_cancelled(self, execution_id):
        """Returns whether an execution at the local upstream was cancelled."""
        return self._executions.is_cancelled(execution_id)

    def begin_call(self, call, plan):
        """Records that a call has started."""
        self._in_flight += 1
        if plan.parent is not None:
            execution_id = plan.parent.execution_id
            self._executions.add(execution_id, call)
            self.exchange.owner.downstream.begin(execution_id, self.clock.monotonic())

    def end_call(self, call, plan):
        """Records that a call has ended."""
        self._in_flight -= 1
        if plan.parent is not None:
            execution_id = plan.parent.execution_id
            self._executions.remove(execution_id, call)
            failed = call.status == 0 or call.status >= 500
            now = self.clock.monotonic()
            self.exchange.owner.downstream.end(execution_id, failed, now)

    def should_record(self, plan):
        """Returns whether to record a call.

        The result is the same for all calls of a root request.
        """
        return self.recorder is not None and self.recorder.should_record(plan)

    def record(self, plan, caller, started, sizes, status):
        """Records the span of a call that has ended.

        :param caller: IP address of the caller.
        :param started: :class:`~figpick.calls._plans.ClockReading` of the start.
        :param sizes: tuple of the bytes of the request body and of the response body.
        :param status: HTTP status of a complete response, otherwise 0.
        """
        ended = self.clock.monotonic()
        self.recorder.record(make_span(plan, caller, started, ended, sizes, status))

    def local_handler(self, start_line, caller):
        """Returns the handler of a request to the node itself, such as an announcement.

        :param start_line: request line.
        :param caller: connection to the caller.
        :return: function from the request body to status and JSON value, or
            ``None`` for a call to a service.
        """
        if start_line.path != _announcements.PATH:
            return None
        remote_ip = caller.context.remote_ip
        return partial(self._announce, start_line.method, remote_ip)

    async def renew_permits(self):
        """Renews the permits for every known upstream."""
        await self.exchange.renew(self._upstream_sets)

    async def drop_unreachable_upstreams(self):
        """Drops upstreams that do not respond and whose nodes do not reply."""
        self._reachability.drop_unreachable(
            self._upstream_sets.values(), self.clock.monotonic()
        )

    async def check_announcement(self):
        """Marks the upstream as draining when its announcement has expired."""
        is_expired = self._announcement_expires_at < self.clock.monotonic()
        own = self.members.own
        if is_expired and own.upstream_address and own.state in CALLABLE_STATES:
            log.warning("The announcement of the upstream has expired.")
            self._stop_new_work()

    def dump(self):
        """Returns the state of the node as a dict."""
        return {
            "counters": self.counters.dump(),
            "documents": self.versions,
            "draining": self._is_draining,
            "in_flight": self._in_flight,
            "executions": len(self._executions),
            "permits": self.exchange.dump(),
            "waiting": {
                name: upstreams.waiting_count
                for name, upstreams in self._upstream_sets.items()
            },
            "refused": {
                name: upstreams.refusal_counts
                for name, upstreams in self._upstream_sets.items()
            },
            "claims": self.claims.dump(),
            "retries": self.retries.dump(),
            "quarantine": self.quarantine_coordinator.dump(),
            "upstreams": {
                name: [self._dump_upstream(upstream) for upstream in upstreams]
                for name, upstreams in self._upstream_sets.items()
            },
        }

    def _dump_upstream(self, upstream):
        return {
            "name": upstream.name,
            "state": upstream.member.state,
            "granted": upstream.permits.granted,
            "in_use": upstream.permits.in_use,
            "latency_ms": round(upstream.latency_s * 1000, 3),
            "ejected": upstream.health.is_ejected,
        }

    def _find_service(self, host, is_nested):
        service = self._services.get(host)
        if service is not None:
            return service
        is_service_name = _plans.is_service_name(host)
        if is_service_name and self.fetcher is not None:
            self.fetcher.require_recent_fetch(host, self.clock.monotonic())
        own_service = self._settings.get("service")
        service = self._services.get(own_service)
        # A nested call that names a service must not reach a different one.
        if service is None or (is_service_name and is_nested):
            if self.fetcher is not None:
                if is_service_name:
                    self.fetcher.require_reply(host)
                if service is None and own_service:
                    self.fetcher.require_confirmed(own_service)
            raise UnknownServiceError(f"no document is known for {host!r}")
        return service

    def _member_changed(self, member):
        upstreams = self._upstream_sets.get(member.service)
        if upstreams is not None:
            now = self.clock.monotonic()
            upstreams.update(
                self._reachability.routing_record(member, upstreams, now), now
            )

    def _announce(self, method, remote_ip, body):
        own_ip = split_address(self._settings["call_address"])[0]
        announcement, refusal = _announcements.parse_request(
            method, remote_ip == own_ip, body
        )
        if announcement is None:
            return refusal
        self._apply_announcement(announcement)
        return 200, {"name": self.members.own.name}

    def _apply_announcement(self, announcement):
        self._announcement_expires_at = self.clock.monotonic() + _announcements.LEASE_S
        own = self.members.own
        changes = {
            "state": DRAINING
            if self._is_draining
            else announcement.get("state", READY),
            "service": announcement["service"],
            "upstream_address": announcement["address"],
            "slots": announcement["slots"],
            "connections": announcement["connections"],
        }
        draining = changes["state"] == DRAINING
        slots = 0 if draining else announcement["slots"]
        self.exchange.owner.set_capacity(slots, announcement["connections"])
        if own._replace(**changes) != own:
            self.members.update_own(**changes)

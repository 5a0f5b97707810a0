"""What a node does when its upstream reports, leaves or changes."""

from ..base._errors import ReportRefusedError
from ..base._logs import LogRateLimiter, logger
from ..directory import DRAINING, Identity, Incarnation, is_key
from ._identity_check import IdentityResponse

# Characters of a report that are logged.
MAX_LOGGED_CHARACTERS = 200
# Other senders may send any number of reports.
REFUSED_LINES_PER_S = 1.0
REFUSED_LINES_BURST = 20.0
# The settings are read again at most this often because of reports that differ.
RELOAD_PERIOD_S = 1.0

log = logger("node")


class UpstreamReports:
    """Base class of the node process that handles the reports of its upstream."""

    def __init__(self, read_upstream):
        self._read_upstream = read_upstream
        self._refused_reports = {}
        self._refusal_limiter = LogRateLimiter(REFUSED_LINES_PER_S, REFUSED_LINES_BURST)
        self._reloaded_at = None

    @property
    def refused_reports(self):
        """Dict of the number of refused reports by a tuple of the reason."""
        return self._refused_reports

    def handle_report(self, report, is_confirmed=False):
        """Handles a heartbeat of the upstream on this host.

        :param report: :class:`~figpick.directory.UpstreamReport`.
        :param is_confirmed: whether the upstream has responded with the identity of the
            report.
        :return: whether it is the newest one of that upstream.
        :raises ReportRefusedError: if it does not come from that upstream.
        """
        self._check_owner(report)
        view = self._owner.view
        view.check_sender(report)
        before = (view.incarnation_key, view.state, view.slots)
        if not view.handle_report(report, self._clock.monotonic(), is_confirmed):
            log.debug("Report of {} not used.", report.instance)
            return False
        if (view.incarnation_key, view.state, view.slots) != before:
            log.notice(
                "Upstream changed.",
                extra={
                    "instance": view.instance,
                    "state": view.state,
                    "slots": view.slots,
                    "sequence": report.sequence,
                    "cold_s": report.cold_s,
                },
            )
            self._owner.apply_upstream_state()
        return True

    def handle_leave(self, instance):
        """Handles the notice of an upstream that it is leaving.

        :param instance: identity of the upstream.
        :return: key of the incarnation that leaves.
        """
        incarnation = self._owner.view.find_incarnation(instance)
        if incarnation is None:
            # Its start is not known; a later incarnation starts after this moment.
            now_ms = int(self._clock.wall() * 1000)
            incarnation = Incarnation(Identity(instance), now_ms)
        self._owner.handle_leave(incarnation.key)
        return incarnation.key

    async def accept_report(self, report):
        """Handles a heartbeat of the upstream on this host.

        :param report: :class:`~figpick.directory.UpstreamReport`.
        :return: whether it may be acknowledged. A report that must be confirmed is not
            acknowledged before. The end of an upstream is acknowledged once it is
            stored, since it must be known after all processes were killed.
        :raises ReportRefusedError: if it does not come from that upstream.
        """
        try:
            self._check_owner(report)
            view = self._owner.view
            view.check_sender(report)
            if not view.needs_confirmation(report, self._clock.monotonic()):
                self.handle_report(report)
            elif not self.handle_report(report, await self._confirm(report)):
                return False
        except ReportRefusedError as error:
            self.count_refused_report(error.reason, report.instance, str(error))
            raise
        if not report.is_draining:
            return True
        return await self._departures.keep(report.incarnation.key)

    async def accept_leave(self, instance):
        """Handles the notice of an upstream that it is leaving.

        :param instance: identity of the upstream.
        :return: whether it may be acknowledged, see :meth:`accept_report`.
        :raises ReportRefusedError: if another upstream responds at the address.
        """
        view = self._owner.view
        if not view.knows(instance):
            try:
                is_same = await self._has_identity(instance)
            except ReportRefusedError as error:
                self.count_refused_report(error.reason, instance, str(error))
                raise
            if not is_same and view.is_present(self._clock.monotonic()):
                return False
        return await self._departures.keep(self.handle_leave(instance))

    def reload_upstream(self):
        """Uses the upstream that the present settings name, if they can be read."""
        upstream = self._read_upstream() if self._read_upstream is not None else None
        if upstream is not None:
            self.use_upstream(*upstream)

    def use_upstream(self, service, address):
        """Uses the upstream that reloaded settings name.

        :param service: its service.
        :param address: tuple of its IP address and port.
        """
        settings = self._settings
        if (service, address) == (settings.service, settings.upstream_address):
            return
        self._settings = settings._replace(service=service, upstream_address=address)
        self._forwarder.use_caller(service)
        self._owner.use_address(address)
        log.notice(
            "Settings name another upstream.",
            extra={"service": service, "address": list(address)},
        )

    def count_refused_report(self, reason, instance, message):
        """Counts and logs a refused report, at a limited rate of lines.

        :param reason: word by which refused reports are counted.
        :param instance: identity in the report.
        :param message: what is wrong with the report.
        """
        key = (reason,)
        self._refused_reports[key] = self._refused_reports.get(key, 0) + 1
        if self._refusal_limiter.allow(reason, self._clock.monotonic()):
            log.warning(
                "Report of an upstream refused.",
                extra={
                    "instance": ascii(instance[:MAX_LOGGED_CHARACTERS]),
                    "reason": message[:MAX_LOGGED_CHARACTERS],
                    "refused": self._refused_reports[key],
                },
            )

    def on_departures(self, incarnations):
        """Handles departures from this host that control processes have stored."""
        keys = [key for key in incarnations if is_key(key)]
        if len(keys) < len(incarnations):
            # Earlier releases have stored any text.
            log.warning("Stored departures refused.", extra={"all": incarnations})
        for key in keys:
            self._departures.mark_stored(key)
        self._owner.add_departures(keys)

    def _check_owner(self, report):
        """Checks that a report is about the upstream that the settings name.

        :raises ReportRefusedError: if it is about another one.
        """
        if self._is_about_own_upstream(report):
            return
        # The settings may change without a signal.
        self._reload_if_due()
        if self._is_about_own_upstream(report):
            return
        settings = self._settings
        if report.service != settings.service:
            message = f"service {report.service!r} is not {settings.service!r}"
            raise ReportRefusedError("service", message)
        message = f"address {report.address} is not {settings.upstream_address}"
        raise ReportRefusedError("address", message)

    def _is_about_own_upstream(self, report):
        settings = self._settings
        own = settings.service, settings.upstream_address
        return (report.service, report.address) == own

    def _reload_if_due(self):
        now = self._clock.monotonic()
        last = self._reloaded_at
        if last is None or now - last >= RELOAD_PERIOD_S:
            self._reloaded_at = now
            self.reload_upstream()

    async def _confirm(self, report):
        """Returns whether the upstream responds with the identity of a report.

        :raises ReportRefusedError: if it responds with another identity or state.
        """
        response = await self._ask_identity(report.instance)
        is_same = _check_identity(response, report.instance)
        # The identity alone does not tell the starts of an instance apart.
        is_known = self._owner.view.knows(report.instance)
        if is_same and is_known and response.is_ready == report.is_draining:
            message = f"the instance responds with status {response.status}"
            raise ReportRefusedError("state", message)
        return is_same

    async def _has_identity(self, instance):
        return _check_identity(await self._ask_identity(instance), instance)

    async def _ask_identity(self, instance):
        configuration = self._forwarder.configuration
        services = configuration.services if configuration is not None else {}
        service = services.get(self._settings.service)
        if service is None:
            return IdentityResponse(instance)
        return await self._owner.ask_identity(instance, service.health_path)

    def _on_earlier_record(self, record):
        if record.has_leaving_upstream:
            self._owner.handle_leave(record.instance)

    def _on_upstream_changed(self):
        view = self._owner.view
        report = view.report
        if view.state == DRAINING:
            self._departures.add(view.incarnation_key)
        changed = self._announcer.update(
            service=report.service if report else self._settings.service,
            instance=view.incarnation_key,
            slots=view.slots,
            state=view.state,
            cold_s=report.cold_s if report else 0.0,
        )
        if changed:
            self._peers.apply_record(self._announcer.record, self._clock.monotonic())
            self._controls.announce()


def _check_identity(response, instance):
    """Returns whether the upstream has confirmed an identity.

    :param response: :class:`~figpick.nodes._identity_check.IdentityResponse`.
    :raises ReportRefusedError: if the upstream has another identity.
    """
    is_same = response.confirms(instance)
    if is_same is False:
        message = "another instance responds at the address"
        raise ReportRefusedError("identity", message)
    return bool(is_same)

"""What a node does when its upstream reports, leaves or changes."""

from ..base._logs import logger
from ..directory import DRAINING, Incarnation

log = logger("node")


class UpstreamReports:
    """Base class of the node process that handles the reports of its upstream."""

    def handle_report(self, report):
        """Handles a heartbeat of the upstream on this host.

        :param report: :class:`~figpick.directory.UpstreamReport`.
        """
        if report.address != self._settings.upstream_address:
            log.warning(
                "Report ignored: its address is not that of the upstream.",
                extra={"instance": report.instance, "address": list(report.address)},
            )
            return
        view = self._owner.view
        before = (view.incarnation_key, view.state, view.slots)
        if not view.handle_report(report, self._clock.monotonic()):
            log.debug("Outdated report of {} ignored.", report.instance)
            return
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

    def handle_leave(self, instance):
        """Handles the notice of an upstream that it is leaving.

        :param instance: identity of the upstream.
        :return: key of the incarnation that leaves.
        """
        incarnation = self._owner.view.find_incarnation(instance)
        if incarnation is None:
            # Its start is not known; a later incarnation starts after this moment.
            now_ms = int(self._clock.wall() * 1000)
            incarnation = Incarnation(instance, now_ms)
        self._owner.handle_leave(incarnation.key)
        return incarnation.key

    async def accept_report(self, report):
        """Handles a heartbeat of the upstream on this host.

        :param report: :class:`~figpick.directory.UpstreamReport`.
        :return: whether it may be acknowledged. The end of an upstream is acknowledged
            once it is stored, since it must be known after all processes were killed.
        """
        self.handle_report(report)
        if not report.is_draining or report.address != self._settings.upstream_address:
            return True
        return await self._departures.keep(report.incarnation.key)

    async def accept_leave(self, instance):
        """Handles the notice of an upstream that it is leaving.

        :param instance: identity of the upstream.
        :return: whether it may be acknowledged, see :meth:`accept_report`.
        """
        return await self._departures.keep(self.handle_leave(instance))

    def on_departures(self, incarnations):
        """Handles departures from this host that control processes have stored."""
        for key in incarnations:
            self._departures.mark_stored(key)
        self._owner.add_departures(incarnations)

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

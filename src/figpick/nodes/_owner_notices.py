"""What an owner does about the limit and the end that its upstream states."""

from ..base._logs import logger
from ..directory import is_key
from ._executions import is_from_upstream
from ._identity_check import STATUS_MISDIRECTED, IdentityResponse
from ._known_notices import KnownNotice

log = logger("owner")


class OwnerNotices:
    """Base class of the owner that applies the notices of its upstream."""

    def adopt_notices(self, notices):
        """Takes what a calling node knows of the upstream.

        :param notices: lists of the fields of
            :class:`~figpick.nodes._known_notices.KnownNotice`.
        """
        now = self._clock.monotonic()
        for notice in notices:
            known = KnownNotice(*notice)
            if not is_key(known.instance):
                log.warning("Notice on {!r:.80} refused.", known.instance)
                continue
            if known.rate_limit:
                self.notices.adopt_limit(known.instance, known.rate_limit, now)
            if known.is_leaving:
                self.handle_leave(known.instance)
        self._apply_rate_limit(now)

    def handle_leave(self, key):
        """Starts no more calls at an upstream that is about to stop.

        :param key: key of its incarnation.
        """
        if self.view.mark_draining(key):
            log.notice("Upstream leaves.", extra={"instance": key})
            self.apply_upstream_state()

    async def ask_identity(self, instance, path):
        """Asks the upstream for its identity.

        :param instance: identity to which the request is addressed.
        :param path: path of its health check.
        :return: :class:`~figpick.nodes._identity_check.IdentityResponse`.
        """
        try:
            return await self._identity_check.ask(instance, path)
        except ConnectionRefusedError as error:
            self._on_connection_refused(error)
            return IdentityResponse(instance)

    def use_address(self, address):
        """Uses another address of the upstream.

        :param address: tuple of IP address and port.
        """
        self._pool.use_address(address)

    def add_departures(self, keys):
        """Starts no more calls at the upstream if it has announced its end before.

        :param keys: keys of incarnations that are known to have left.
        """
        if self.view.add_departures(keys):
            log.notice(
                "Upstream has announced its end before.",
                extra={"instance": self.view.incarnation_key},
            )
            self.apply_upstream_state()

    def _read_notice(self, execution, reader):
        if reader.status == STATUS_MISDIRECTED or not is_from_upstream(
            reader, self._names
        ):
            return
        now = self._clock.monotonic()
        instance = execution.call.instance
        notice = self.notices.observe(reader, instance, execution.sent_at, now)
        self._apply_rate_limit(now)
        if notice.is_leaving:
            self.handle_leave(instance)

    def _apply_rate_limit(self, now):
        if self.notices.rate_limit == self._queue.rate_limit_per_s:
            return
        self._queue.set_rate_limit(self.notices.rate_limit, now)
        if self._queue.queued:
            self._start_ready()

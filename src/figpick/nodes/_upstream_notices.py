"""Tracks what the upstream of a node states about itself in its responses."""

from ..base._logs import logger
from ..wire import read_notice

MAX_LOGGED_VALUE_BYTES = 40

log = logger("owner")


class UpstreamNotices:
    """The notices of the current instance of an upstream.

    A notice applies until the response to a later request states something else, since
    responses on different connections can overtake each other.

    :param names: :class:`~figpick.wire.HeaderNames`.
    """

    def __init__(self, names):
        self._names = names
        self._instance = ""
        self._rate_limit = None
        self._limit_stated_at = 0.0
        self._is_leaving = False
        self._invalid_limit = None

    def __repr__(self):
        return f"<UpstreamNotices {self._instance} {self._rate_limit}>"

    @property
    def rate_limit(self):
        """Requests per second that the upstream takes, ``None`` without a limit."""
        return self._rate_limit

    @property
    def is_leaving(self):
        """Whether the upstream has said that it is leaving."""
        return self._is_leaving

    def use_instance(self, instance):
        """Discards the notices of another instance.

        :param instance: instance of the upstream.
        """
        if instance != self._instance:
            self._instance = instance
            self._rate_limit = None
            self._limit_stated_at = 0.0
            self._is_leaving = False
            self._invalid_limit = None

    def observe(self, reader, instance, sent_at, now):
        """Reads the head of a response.

        :param reader: :class:`~figpick.wire.ResponseReader`.
        :param instance: instance to which the request was sent.
        :param sent_at: monotonic seconds at which it was sent.
        :param now: monotonic seconds.
        :return: whether a notice has changed.
        """
        notice = read_notice(reader.headers, self._names)
        if instance != self._instance:
            return False
        if notice.invalid_limit is not None:
            self._log_invalid_limit(notice.invalid_limit)
        changed = notice.is_leaving and not self._is_leaving
        if changed:
            self._is_leaving = True
            log.notice("Upstream says that it leaves.", extra={"instance": instance})
        if notice.rate_limit is None and notice.invalid_limit is not None:
            return changed
        return self._observe_limit(notice.rate_limit, sent_at, now) or changed

    def _observe_limit(self, rate_limit, sent_at, now):
        is_later = sent_at >= self._limit_stated_at
        before = self._rate_limit
        if rate_limit is not None:
            self._limit_stated_at = now
        is_lower = rate_limit is not None and (before is None or rate_limit < before)
        if rate_limit == before or not (is_later or is_lower):
            return False
        self._rate_limit = rate_limit
        if rate_limit is None or before is None:
            text = "Upstream {} a limit.".format("names" if before is None else "ends")
            fields = {"instance": self._instance, "limit_per_s": rate_limit or before}
            log.notice(text, extra=fields)
        return True

    def _log_invalid_limit(self, value):
        if value == self._invalid_limit:
            return
        self._invalid_limit = value
        shown = value[:MAX_LOGGED_VALUE_BYTES].decode("latin-1")
        log.warning(
            "The limit of the upstream is not a number.",
            extra={"instance": self._instance, "value": shown},
        )

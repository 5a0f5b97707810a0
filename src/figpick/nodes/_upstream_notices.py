"""Tracks what the upstream of a node states about itself in its responses."""

from ..base._logs import logger
from ..wire import read_notice

MAX_LOGGED_VALUE_BYTES = 40
# Late reports can make an earlier instance the current one again.
MAX_INSTANCES = 16

log = logger("owner")


class UpstreamNotices:
    """The notices of the instances of an upstream.

    A notice applies until the response to a later request states something else, since
    responses on different connections can overtake each other.

    :param names: :class:`~figpick.wire.HeaderNames`.
    """

    def __init__(self, names):
        self._names = names
        self._instance = ""
        self._states = {}

    def __repr__(self):
        return f"<UpstreamNotices {self._instance} {self.rate_limit}>"

    @property
    def rate_limit(self):
        """Requests per second that the upstream takes, ``None`` without a limit."""
        state = self._states.get(self._instance)
        return state.rate_limit if state else None

    def use_instance(self, instance):
        """Sets the instance whose notices apply.

        :param instance: instance of the upstream.
        """
        self._instance = instance

    def adopt_limit(self, instance, rate_limit, now):
        """Takes a limit that another node knows, until the upstream responds.

        A process that has just started has seen no response yet.

        :param instance: instance that named the limit.
        :param rate_limit: requests per second.
        :param now: monotonic seconds.
        """
        state = self._state(instance)
        if state.has_responded:
            return
        if state.rate_limit is None or rate_limit < state.rate_limit:
            state.rate_limit = rate_limit
            state.limit_stated_at = now
            fields = {"instance": instance, "limit_per_s": rate_limit}
            log.notice("A calling node knows a limit.", extra=fields)

    def observe(self, reader, instance, sent_at, now):
        """Reads the head of a response.

        :param reader: :class:`~figpick.wire.ResponseReader`.
        :param instance: instance to which the request was sent.
        :param sent_at: monotonic seconds at which it was sent.
        :param now: monotonic seconds.
        :return: the :class:`~figpick.wire.UpstreamNotice`.
        """
        notice = read_notice(reader.headers, self._names)
        state = self._state(instance)
        state.has_responded = True
        if notice.invalid_limit is not None:
            _log_invalid_limit(state, instance, notice.invalid_limit)
        if notice.rate_limit is not None or notice.invalid_limit is None:
            _observe_limit(state, instance, notice.rate_limit, sent_at, now)
        return notice

    def _state(self, instance):
        state = self._states.get(instance)
        if state is None:
            state = self._states[instance] = _InstanceState()
            if len(self._states) > MAX_INSTANCES:
                oldest = next(name for name in self._states if name != self._instance)
                del self._states[oldest]
        return state


class _InstanceState:
    """Notices of one instance."""

    __slots__ = ("rate_limit", "limit_stated_at", "has_responded", "invalid_limit")

    def __init__(self):
        self.rate_limit = None
        self.limit_stated_at = 0.0
        self.has_responded = False
        self.invalid_limit = None


def _observe_limit(state, instance, rate_limit, sent_at, now):
    is_later = sent_at >= state.limit_stated_at
    before = state.rate_limit
    if rate_limit is not None:
        state.limit_stated_at = now
    is_lower = rate_limit is not None and (before is None or rate_limit < before)
    if rate_limit == before or not (is_later or is_lower):
        return
    state.rate_limit = rate_limit
    if rate_limit is None or before is None:
        text = "Upstream {} a limit.".format("names" if before is None else "ends")
        stated = rate_limit if before is None else before
        log.notice(text, extra={"instance": instance, "limit_per_s": stated})


def _log_invalid_limit(state, instance, value):
    if value == state.invalid_limit:
        return
    state.invalid_limit = value
    shown = value[:MAX_LOGGED_VALUE_BYTES].decode("latin-1")
    log.warning(
        "The limit of the upstream is not a number.",
        extra={"instance": instance, "value": shown},
    )

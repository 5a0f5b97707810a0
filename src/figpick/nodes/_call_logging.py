"""Log lines on decisions about calls, with the values that led to them.

Each function writes one line unless the rate limit of such lines is exceeded; see
:data:`~figpick.base._logs.CALL_LOG_LIMITER`.
"""

from ..base._logs import CALL_LOG_LIMITER, CallLogger

log = CallLogger("calls")
owner_log = CallLogger("owner")
entry_log = CallLogger("entry")

REFUSED = "Call refused."
TIMED_OUT = "Call timed out."
CONNECTION_LOST = "Call broke at the upstream."
ENDED = "Call ended, since the node stops."
NOT_RUN_BY_UPSTREAM = "The upstream did not run a call."
BEHIND_CLOSE = "Call abandoned behind a response that closes the connection."
CUT = "Connection of a request cut."
INVALID_HEAD = "The head of a call is not valid."
INVALID_RESPONSE_HEAD = "The head of a response is not valid."


def log_refused_early(call, status, reason, share, version, now):
    """Logs a request that was refused before it was sent to any host.

    :param call: :class:`~figpick.nodes._calls.Call`.
    :param status: status of the response.
    :param reason: reason of the refusal.
    :param share: share of the requests of its route that are admitted.
    :param version: version of the active configuration, ``None`` before the first.
    :param now: monotonic seconds.
    """
    if CALL_LOG_LIMITER.allow(REFUSED, now):
        fields = {
            "id": call.decoded_request_id,
            "route": call.route.name if call.route else None,
            "status": status,
            "reason": reason,
            "version": version,
            "share": share,
        }
        log.info(REFUSED, fields)


def log_refused(call, reason, retry_after_s, level, version, now):
    """Logs a call that no host ran.

    :param call: :class:`~figpick.nodes._calls.Call`.
    :param reason: reason given by the last host.
    :param retry_after_s: seconds until the client may retry.
    :param level: smoothed admission level that calls on its route met.
    :param version: version of the active configuration.
    :param now: monotonic seconds.
    """
    if CALL_LOG_LIMITER.allow(REFUSED, now):
        fields = {
            "id": call.decoded_request_id,
            "route": call.route.name,
            "service": call.service,
            "reason": reason,
            "placements": call.placements,
            "may_have_run": call.may_have_run,
            "rank": call.rank,
            "key": round(call.key, 3),
            "waited_s": round(now - call.started_at, 3),
            "retry_after_s": round(retry_after_s, 2),
            "version": version,
            "admission_level": round(level, 2),
            "parent": _parent_id(call),
        }
        log.info(REFUSED, fields)


def log_timed_out(call, attempts, now):
    """Logs a call without a response within its timeout.

    :param call: :class:`~figpick.nodes._calls.Call`.
    :param attempts: attempts that are still open.
    :param now: monotonic seconds.
    """
    if CALL_LOG_LIMITER.allow(TIMED_OUT, now):
        fields = {
            "id": call.decoded_request_id,
            "route": call.route.name,
            "hosts": [attempt.peer.name for attempt in attempts],
            "links": [attempt.peer.link is not None for attempt in attempts],
            "parent": _parent_id(call),
            "waited_s": round(now - call.started_at, 3),
        }
        log.info(TIMED_OUT, fields)


def log_attempt(text, attempt, reason, version, now):
    """Logs the outcome of one attempt of a call.

    :param text: message of the log line.
    :param attempt: :class:`~figpick.nodes._calls.Attempt`.
    :param reason: status or reason that led to the decision.
    :param version: version of the active configuration.
    :param now: monotonic seconds.
    """
    if CALL_LOG_LIMITER.allow(text, now):
        call = attempt.call
        load = attempt.peer.target.load
        fields = {
            "id": call.decoded_request_id,
            "route": call.route.name,
            "host": attempt.peer.name,
            "instance": attempt.peer.instance,
            "reason": reason,
            "after_s": round(now - attempt.sent_at, 3),
            "load": load and list(load),
            "sent": call.used_attempts,
            "parent": _parent_id(call),
            "version": version,
        }
        log.info(text, fields)


def log_ended(call, now):
    """Logs a call that is ended without a response of an upstream, at a stop.

    :param call: :class:`~figpick.nodes._calls.Call`.
    :param now: monotonic seconds.
    """
    if CALL_LOG_LIMITER.allow(ENDED, now):
        log.info(ENDED, call_state(call, now))


def log_connection_lost(execution, reason, now):
    """Logs a call whose upstream connection ended before the response was complete.

    :param execution: :class:`~figpick.nodes._executions.Execution`.
    :param reason: reason for which the connection ended.
    :param now: monotonic seconds.
    """
    if CALL_LOG_LIMITER.allow(CONNECTION_LOST, now):
        call = execution.call
        fields = {
            "id": call.request_id.decode("latin-1"),
            "route": call.route,
            "reason": reason,
            "instance": call.instance,
            "ran_s": round(now - execution.sent_at, 3),
        }
        owner_log.info(CONNECTION_LOST, fields)


def log_not_run(execution, status, queue, now):
    """Logs a call that the upstream reports as not run.

    :param execution: :class:`~figpick.nodes._executions.Execution`.
    :param status: status of the response of the upstream.
    :param queue: :class:`~figpick.admission.AdmissionQueue` of the upstream.
    :param now: monotonic seconds.
    """
    if CALL_LOG_LIMITER.allow(NOT_RUN_BY_UPSTREAM, now):
        call = execution.call
        fields = {
            "id": call.request_id.decode("latin-1"),
            "route": call.route,
            "status": status,
            "running": queue.running,
            "limit": queue.limit,
        }
        owner_log.info(NOT_RUN_BY_UPSTREAM, fields)


def log_invalid_head(call, now):
    """Logs a call of another node whose head would pass for more than one request.

    :param call: :class:`~figpick.nodes._messages.CallMessage`.
    :param now: monotonic seconds.
    """
    if CALL_LOG_LIMITER.allow(INVALID_HEAD, now):
        request_id = call.request_id.decode("latin-1")
        fields = {"id": request_id, "route": call.route, "caller": call.caller}
        owner_log.info(INVALID_HEAD, fields)


def log_invalid_response_head(attempt, now):
    """Logs a response of another node whose head would pass for more than one.

    :param attempt: :class:`~figpick.nodes._calls.Attempt`.
    :param now: monotonic seconds.
    """
    if CALL_LOG_LIMITER.allow(INVALID_RESPONSE_HEAD, now):
        fields = {"id": attempt.call.decoded_request_id, "host": attempt.peer.name}
        log.info(INVALID_RESPONSE_HEAD, fields)


def log_behind_close(call, now):
    """Logs a call that was passed on behind a response that closed its connection.

    :param call: :class:`~figpick.nodes._calls.Call`.
    :param now: monotonic seconds.
    """
    if CALL_LOG_LIMITER.allow(BEHIND_CLOSE, now):
        entry_log.info(BEHIND_CLOSE, call_state(call, now))


def log_cut(reason, requests, unsent_bytes, unacknowledged_bytes, now):
    """Logs the requests of a client connection that ends with responses outstanding.

    :param reason: reason for which it ends.
    :param requests: dicts of the state of its requests, see :func:`call_state`.
    :param unsent_bytes: bytes that were not yet handed to the kernel.
    :param unacknowledged_bytes: bytes in the kernel without an acknowledgement.
    :param now: monotonic seconds.
    """
    for request in requests:
        if CALL_LOG_LIMITER.allow(CUT, now):
            fields = {
                **request,
                "reason": reason,
                "unsent_bytes": unsent_bytes,
                "unacknowledged_bytes": unacknowledged_bytes,
            }
            entry_log.info(CUT, fields)


def call_state(call, now):
    """Returns the state of a call as a dict for logs.

    :param call: :class:`~figpick.nodes._calls.Call`.
    :param now: monotonic seconds.
    """
    attempts = call.attempts.values()
    if call.is_done:
        state = "answered"
    elif any(attempt.is_streaming for attempt in attempts):
        state = "streaming"
    elif attempts:
        state = "running"
    else:
        state = "waiting"
    return {
        "id": call.decoded_request_id,
        "state": state,
        "age_s": round(now - call.started_at, 3),
        "nested_by": call.nested_by,
        "hosts": [attempt.peer.name for attempt in attempts],
        "sent_s": [round(now - attempt.sent_at, 3) for attempt in attempts],
        "may_have_run": call.may_have_run,
    }


def _parent_id(call):
    return call.parent.call.request_id.decode("latin-1") if call.parent else None

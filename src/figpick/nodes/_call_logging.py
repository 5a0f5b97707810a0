"""Log lines on what was decided about a call, with the inputs that decided it.

Each function writes one line unless the rate of such lines is exceeded; see
:data:`~figpick.base._logs.CALL_LINES`.
"""

from ..base._logs import CALL_LINES, CallLogger

log = CallLogger("calls")
owner_log = CallLogger("owner")

REFUSED = "Call refused."
TIMED_OUT = "Call timed out."
BROKE = "Call broke at the upstream."
UNRUN = "The upstream did not run a call."


def log_refused_early(call, status, reason, share, version, now):
    """Logs a request that was refused before it was handed to any host.

    :param share: share of the requests of its route that are admitted.
    :param version: version of the configuration, ``None`` before the first.
    :param now: monotonic seconds.
    """
    if CALL_LINES.take(REFUSED, now):
        fields = {
            "id": call.text_id,
            "route": call.route.name if call.route else None,
            "status": status,
            "reason": reason,
            "version": version,
            "share": share,
        }
        log.info(REFUSED, fields)


def log_refused(call, reason, retry_after_s, level, version, now):
    """Logs a call that no host ran.

    :param level: smoothed admission level that calls on its route met.
    """
    if CALL_LINES.take(REFUSED, now):
        fields = {
            "id": call.text_id,
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
    """Logs a call without an answer in the time of its route.

    :param attempts: attempts that are still open.
    """
    if CALL_LINES.take(TIMED_OUT, now):
        fields = {
            "id": call.text_id,
            "route": call.route.name,
            "hosts": [attempt.peer.name for attempt in attempts],
            "links": [attempt.peer.link is not None for attempt in attempts],
            "parent": _parent_id(call),
            "waited_s": round(now - call.started_at, 3),
        }
        log.info(TIMED_OUT, fields)


def log_attempt(text, attempt, reason, version, now):
    """Logs what became of one attempt of a call.

    :param text: what was decided.
    """
    if CALL_LINES.take(text, now):
        call = attempt.call
        load = attempt.peer.target.load
        fields = {
            "id": call.text_id,
            "route": call.route.name,
            "host": attempt.peer.name,
            "instance": attempt.peer.instance,
            "reason": reason,
            "after_s": round(now - attempt.sent_at, 3),
            "load": load and list(load),
            "sent": call.sent,
            "parent": _parent_id(call),
            "version": version,
        }
        log.info(text, fields)


def log_connection_lost(execution, reason, now):
    """Logs a call whose connection to the upstream ended before its answer."""
    if CALL_LINES.take(BROKE, now):
        call = execution.call
        fields = {
            "id": call.request_id.decode("latin-1"),
            "route": call.route,
            "reason": reason,
            "instance": call.instance,
            "ran_s": round(now - execution.sent_at, 3),
        }
        owner_log.info(BROKE, fields)


def log_not_run(execution, status, queue, now):
    """Logs a call that the upstream says it did not run.

    :param queue: :class:`~figpick.admission.AdmissionQueue` before the upstream.
    """
    if CALL_LINES.take(UNRUN, now):
        call = execution.call
        fields = {
            "id": call.request_id.decode("latin-1"),
            "route": call.route,
            "status": status,
            "running": queue.running,
            "limit": queue.limit,
        }
        owner_log.info(UNRUN, fields)


def _parent_id(call):
    return call.parent.call.request_id.decode("latin-1") if call.parent else None

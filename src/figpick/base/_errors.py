"""The error hierarchy.

Errors that end a call carry what the caller is told: an HTTP status, a reason
and an outcome.
"""

from typing import NamedTuple

OUTCOME_NOT_RUN = "not-run"
OUTCOME_UNKNOWN = "unknown"
OUTCOME_RUNNING = "running"


class FigpickError(Exception):
    """Root of all errors raised by figpick."""


class Fault(NamedTuple):
    """One fault found in a JSON document.

    :param path: place of the fault, such as ``routes.0.deadline_ms``.
    :param problem: what is wrong and which values are accepted.
    """

    path: str
    problem: str


class InvalidDocumentError(FigpickError):
    """A settings file or service document that does not match its schema.

    :param source: file name or origin of the document.
    :param faults: every :class:`Fault` found.
    """

    def __init__(self, source, faults):
        self.source = source
        self.faults = tuple(faults)
        lines = [f"{source}: {fault.path}: {fault.problem}" for fault in self.faults]
        super().__init__("\n".join(lines))


class PeerError(FigpickError):
    """A request to another figpick process failed."""


class PeerUnreachableError(PeerError):
    """No answer from the peer: refused, reset or timed out."""


class PeerRefusedError(PeerError):
    """The peer answered with an error.

    :param status: HTTP status of the answer.
    :param body: decoded JSON body of the answer.
    """

    def __init__(self, status, body):
        self.status = status
        self.body = body
        super().__init__(f"peer answered {status}: {body.get('error', '')}")


class AuthenticationError(FigpickError):
    """A peer or operator request without a valid signature."""


class StorageError(FigpickError):
    """The data folder cannot be read or written safely."""


class ConflictError(FigpickError):
    """A change was based on a version that is not current.

    :param current: the document version that is current, as a dict.
    """

    def __init__(self, message, current):
        self.current = current
        super().__init__(message)


class NoQuorumError(FigpickError):
    """The control processes have no leader that can reach a quorum."""


class CallError(FigpickError):
    """A call that figpick answers itself.

    :param message: sentence for the caller.
    :param outcome: ``not-run``, ``unknown`` or ``running``; the default of the
        class when omitted.
    :param retry_after_s: seconds after which a resend may succeed, or ``None``.
    """

    status = 500
    reason = "internal"
    outcome = OUTCOME_UNKNOWN

    def __init__(self, message, *, outcome=None, retry_after_s=None):
        super().__init__(message)
        if outcome is not None:
            self.outcome = outcome
        self.retry_after_s = retry_after_s


class MalformedRequestError(CallError):
    """The request cannot be understood."""

    status = 400
    reason = "malformed"
    outcome = OUTCOME_NOT_RUN


class BodyTooLargeError(CallError):
    """The request body exceeds the limit of the service document."""

    status = 413
    reason = "body-too-large"
    outcome = OUTCOME_NOT_RUN


class HeadTooLargeError(CallError):
    """The request headers exceed their limit."""

    status = 431
    reason = "head-too-large"
    outcome = OUTCOME_NOT_RUN


class ExecutionCancelledError(CallError):
    """The execution that made the call was cancelled."""

    status = 503
    reason = "cancelled"
    outcome = OUTCOME_NOT_RUN


class UnknownServiceError(CallError):
    """No document is known for the service."""

    status = 404
    reason = "unknown-service"
    outcome = OUTCOME_NOT_RUN


class DocumentMissingError(FigpickError):
    """The document of a called service has to be fetched first.

    :param service: name of the service.
    """

    def __init__(self, service):
        self.service = service
        super().__init__(f"the document of {service} is not here")


class OverloadedError(CallError):
    """Refused because capacity is short."""

    status = 503
    reason = "overload"
    outcome = OUTCOME_NOT_RUN


class NoUpstreamError(CallError):
    """No upstream of the service can take the call."""

    status = 503
    reason = "no-upstream"
    outcome = OUTCOME_NOT_RUN


class DrainingError(CallError):
    """The node is shutting down."""

    status = 503
    reason = "draining"
    outcome = OUTCOME_NOT_RUN


class RetryBoundError(CallError):
    """A further attempt would exceed the retry bound of the root request."""

    status = 503
    reason = "retry-bound"
    outcome = OUTCOME_NOT_RUN


class DeadlineError(CallError):
    """The deadline passed or cannot be met."""

    status = 504
    reason = "deadline"
    outcome = OUTCOME_NOT_RUN


class QuarantinedError(CallError):
    """The request is quarantined because it crashed upstreams."""

    status = 422
    reason = "quarantined"
    outcome = OUTCOME_NOT_RUN


class DuplicateError(CallError):
    """A non-idempotent request with this key is running or has run."""

    status = 409
    reason = "duplicate"


class NoRosterError(CallError):
    """No claim holders are known for the service of a keyed request."""

    status = 503
    reason = "no-roster"


class NoClaimQuorumError(CallError):
    """Too few claim holders can decide on a keyed request."""

    status = 503
    reason = "no-claim-quorum"


class BrokenResponseError(CallError):
    """The upstream gave no complete answer."""

    status = 502
    reason = "broken-answer"

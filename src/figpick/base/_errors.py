"""The exception hierarchy of figpick.

Errors that end a call carry the HTTP status, the reason and the outcome that are sent
to the caller.
"""

from typing import NamedTuple

OUTCOME_NOT_RUN = "not-run"
OUTCOME_UNKNOWN = "unknown"
OUTCOME_RUNNING = "running"


class FigpickError(Exception):
    """Base class of all errors raised by figpick."""


class Fault(NamedTuple):
    """One fault found in a JSON document.

    :param path: location of the fault, such as ``routes.0.deadline_ms``.
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


class InvalidHeadError(FigpickError, ValueError):
    """A text that would end its line in the head of a message."""


class PeerError(FigpickError):
    """A request to another figpick process failed."""


class PeerUnreachableError(PeerError):
    """The peer sent no reply: the connection was refused, reset or timed out."""


class PeerRefusedError(PeerError):
    """The peer replied with an error.

    :param status: HTTP status of the reply.
    :param body: decoded JSON body of the reply.
    """

    def __init__(self, status, body):
        self.status = status
        self.body = body
        super().__init__(f"peer answered {status}: {body.get('error', '')}")


class AuthenticationError(FigpickError):
    """A request of a peer or an operator has no valid signature."""


class InvalidIdentityError(FigpickError, ValueError):
    """An identity of an upstream that cannot be a part of a message."""


class ReportRefusedError(FigpickError):
    """A report that does not come from the upstream on the host of the node.

    :param reason: word by which refused reports are counted.
    :param message: what shows that it comes from another sender.
    """

    def __init__(self, reason, message):
        self.reason = reason
        super().__init__(message)


class StorageError(FigpickError):
    """The data folder cannot be read or written reliably."""


class ConflictError(FigpickError):
    """A change is based on a version that is not the current one.

    :param current: current version of the document, as a dict.
    """

    def __init__(self, message, current):
        self.current = current
        super().__init__(message)


class NoQuorumError(FigpickError):
    """The control processes have no leader that can reach a quorum."""


class CallError(FigpickError):
    """A call fails and figpick itself sends the response.

    :param message: error message for the caller.
    :param outcome: ``not-run``, ``unknown`` or ``running``; defaults to the outcome of
        the class.
    :param retry_after_s: seconds after which a retry may succeed, or ``None``.
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
    """The request is malformed."""

    status = 400
    reason = "malformed"
    outcome = OUTCOME_NOT_RUN


class BodyTooLargeError(CallError):
    """The request body exceeds the size limit in the service document."""

    status = 413
    reason = "body-too-large"
    outcome = OUTCOME_NOT_RUN


class HeadTooLargeError(CallError):
    """The request headers exceed their size limit."""

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
    """The document of a called service has not been fetched yet.

    :param service: name of the service.
    """

    def __init__(self, service):
        self.service = service
        super().__init__(f"the document of service {service} has not been fetched")


class DocumentUnavailableError(CallError):
    """The document of a called service exists or may exist, but cannot be fetched."""

    status = 503
    reason = "document-unavailable"
    outcome = OUTCOME_NOT_RUN


class OverloadedError(CallError):
    """The call is refused because there is no free capacity."""

    status = 503
    reason = "overload"
    outcome = OUTCOME_NOT_RUN


class NoUpstreamError(CallError):
    """No upstream of the service can accept the call."""

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
    """The deadline has passed or cannot be met."""

    status = 504
    reason = "deadline"
    outcome = OUTCOME_NOT_RUN


class QuarantinedError(CallError):
    """The request is quarantined because it crashed upstreams."""

    status = 422
    reason = "quarantined"
    outcome = OUTCOME_NOT_RUN


class DuplicateError(CallError):
    """A non-idempotent request with the same key is running or has run."""

    status = 409
    reason = "duplicate"


class NoRosterError(CallError):
    """No claim holders are known for the service of a keyed request."""

    status = 503
    reason = "no-roster"


class NoClaimQuorumError(CallError):
    """Too few claim holders are available to decide on a keyed request."""

    status = 503
    reason = "no-claim-quorum"


class BrokenResponseError(CallError):
    """The upstream sent no complete response."""

    status = 502
    reason = "broken-answer"

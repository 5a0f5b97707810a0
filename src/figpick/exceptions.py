"""Public exceptions of figpick."""

from .base._errors import (
    AuthenticationError,
    CallError,
    ConflictError,
    Fault,
    FigpickError,
    InvalidDocumentError,
    InvalidIdentityError,
    NoQuorumError,
    PeerError,
    PeerRefusedError,
    PeerUnreachableError,
    ReportRefusedError,
    StorageError,
)

__all__ = [
    "AuthenticationError",
    "CallError",
    "ConflictError",
    "Fault",
    "FigpickError",
    "InvalidDocumentError",
    "InvalidIdentityError",
    "NoQuorumError",
    "PeerError",
    "PeerRefusedError",
    "PeerUnreachableError",
    "ReportRefusedError",
    "StorageError",
]

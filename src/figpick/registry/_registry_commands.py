"""Commands of the registry and their checks before they are appended to the log."""

from typing import Annotated, NotRequired, TypedDict

import msgspec
from msgspec import Meta

from ..base import _schema
from ..base._errors import Fault, InvalidDocumentError
from ..claims._rosters import Roster

PUT = "put"
ROSTER = "roster"


class Change(TypedDict):
    """A change of a service document, as sent by an operator.

    :param document: service document.
    :param base: version that the change is based on, 0 for a new document.
    :param change: id of the change; a retry has the same id.
    :param author: author of the change.
    """

    document: dict
    base: Annotated[int, Meta(ge=0)]
    change: Annotated[str, Meta(min_length=1, max_length=200)]
    author: NotRequired[Annotated[str, Meta(max_length=200)]]


class ServiceRequest(TypedDict):
    """A request about one service."""

    service: str


def parse_change(message):
    """Parses the fields of a change; fields of newer releases are ignored.

    :return: :class:`Change`.
    :raises InvalidDocumentError: with the first fault found.
    """
    return _convert(message, Change, "change")


def parse_service(message):
    """Returns the service name of a request.

    :raises InvalidDocumentError: when there is none.
    """
    return _convert(message, ServiceRequest, "request")["service"]


def check_roster(command):
    """Checks the fields of a roster.

    :return: :class:`~figpick.claims._rosters.Roster`.
    :raises InvalidDocumentError: with the first fault found.
    """
    return _convert(command, Roster, "roster")


def put_command(message, now):
    """Returns the command of a change.

    :param now: seconds since the epoch.
    """
    change = parse_change(message)
    change.setdefault("author", "")
    return {"command": PUT, **change, "time": now}


def roster_command(proposal):
    """Returns the command of a roster proposal.

    :param proposal: :class:`~figpick.claims._rosters.Roster`.
    """
    return {"command": ROSTER, **check_roster(proposal)}


def _convert(value, type_, source):
    try:
        return msgspec.convert(value, type_)
    except msgspec.ValidationError as error:
        fault = Fault(source, str(error))
        raise InvalidDocumentError(source, [fault]) from error


def check_size(document):
    """Checks the encoded size of a document.

    :raises InvalidDocumentError: when it exceeds 1 MiB.
    """
    if len(msgspec.json.encode(document)) > _schema.MAX_DOCUMENT_BYTES:
        problem = f"larger than {_schema.MAX_DOCUMENT_BYTES} bytes"
        raise InvalidDocumentError("document", [Fault("document", problem)])

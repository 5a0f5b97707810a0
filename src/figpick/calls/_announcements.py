"""Announcements that an upstream sends to the node on its host."""

from typing import Annotated, Literal, NotRequired, TypedDict

from msgspec import Meta

from ..base import _schema
from ..base._errors import InvalidDocumentError
from ..base._settings import Address, Name

PATH = "/.well-known/figpick/announce"
LEASE_S = 6.0


class Announcement(TypedDict):
    """The service, address and capacity that an upstream announces to its node.

    :param service: service that the upstream belongs to.
    :param address: ``ip:port`` on which the upstream accepts requests.
    :param slots: number of requests that the upstream runs concurrently.
    :param connections: number of connections that the upstream accepts.
    :param state: ``cold``, ``ready`` or ``draining``.
    """

    service: Name
    address: Address
    slots: Annotated[int, Meta(ge=1, le=100_000)]
    connections: Annotated[int, Meta(ge=1, le=100_000)]
    state: NotRequired[Literal["cold", "ready", "draining"]]


def parse_announcement(data):
    """Parses and validates an announcement.

    :param data: JSON bytes.
    :return: :class:`Announcement`.
    :raises InvalidDocumentError: listing every fault that was found.
    """
    return _schema.parse(data, Announcement, "announcement")


def parse_request(method, is_from_own_host, body):
    """Parses an HTTP request that announces an upstream.

    :param method: HTTP method.
    :param is_from_own_host: whether the request comes from the host of the node.
    :param body: JSON bytes.
    :return: tuple of :class:`Announcement` and ``None``; for an invalid request,
        tuple of ``None`` and a pair of HTTP status and JSON body of the response.
    """
    if not is_from_own_host:
        return None, (403, {"error": "announcements come from the host of the node"})
    if method != "POST":
        return None, (405, {"error": "use POST"})
    try:
        return parse_announcement(body), None
    except InvalidDocumentError as error:
        return None, (400, {"error": str(error), "faults": error.faults})

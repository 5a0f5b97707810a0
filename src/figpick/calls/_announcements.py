"""Announcements by the upstream beside a node."""

from typing import Annotated, Literal, NotRequired, TypedDict

from msgspec import Meta

from ..base import _schema
from ..base._errors import InvalidDocumentError
from ..base._settings import Address, Name

PATH = "/.well-known/figpick/announce"
LEASE_S = 6.0


class Announcement(TypedDict):
    """What an upstream tells its node.

    :param service: service that the upstream belongs to.
    :param address: ``ip:port`` on which it takes requests.
    :param slots: requests that it runs at once.
    :param connections: connections that it accepts.
    :param state: ``cold``, ``ready`` or ``draining``.
    """

    service: Name
    address: Address
    slots: Annotated[int, Meta(ge=1, le=100_000)]
    connections: Annotated[int, Meta(ge=1, le=100_000)]
    state: NotRequired[Literal["cold", "ready", "draining"]]


def parse(data):
    """Checks an announcement.

    :param data: JSON bytes.
    :return: :class:`Announcement`.
    :raises InvalidDocumentError: with every fault found.
    """
    return _schema.parse(data, Announcement, "announcement")


def parse_request(method, from_own_host, body):
    """Reads a request that announces an upstream.

    :param method: HTTP method.
    :param from_own_host: whether it comes from the host of the node.
    :param body: JSON bytes.
    :return: tuple of :class:`Announcement` and ``None``, or of ``None`` and the
        status and JSON answer of the refusal.
    """
    if not from_own_host:
        return None, (403, {"error": "announcements come from the host of the node"})
    if method != "POST":
        return None, (405, {"error": "use POST"})
    try:
        return parse(body), None
    except InvalidDocumentError as error:
        return None, (400, {"error": str(error), "faults": error.faults})

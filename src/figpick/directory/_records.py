"""The record by which a process announces itself to others."""

from ipaddress import ip_address
from typing import NamedTuple

import msgspec

from ..base._errors import PeerError
from ._incarnations import parse_incarnation

NODE = "node"
CONTROL = "control"

READY = "ready"
DRAINING = "draining"
NO_UPSTREAM = "none"
LEFT = "left"


class HostRecord(NamedTuple):
    """A process and the upstream on its host.

    :param name: unique name of the process.
    :param incarnation: increases with each start of the process.
    :param version: increases with each change of the record in one incarnation.
    :param token: random number that identifies the incarnation.
    :param role: ``node`` or ``control``.
    :param ip: IP address of its links.
    :param port: port of its links.
    :param data_center: data centre of the host.
    :param service: service of the upstream, empty for control processes.
    :param instance: key of the incarnation of the upstream, empty without an upstream.
    :param slots: requests that the upstream runs at the same time.
    :param state: ``ready``, ``draining``, ``none`` or ``left``.
    :param cold_s: seconds for which the upstream is still slow after its start.
    :param identity: identity of a control process in the quorum, empty for nodes.
    """

    name: str
    incarnation: int
    version: int
    token: int
    role: str
    ip: str
    port: int
    data_center: str
    service: str = ""
    instance: str = ""
    slots: int = 0
    state: str = NO_UPSTREAM
    cold_s: float = 0.0
    identity: str = ""

    @property
    def address(self):
        """The IP address and port of its links, as a tuple."""
        return self.ip, self.port

    @property
    def has_leaving_upstream(self):
        """Whether the upstream has announced its end."""
        if self.state == LEFT:
            # A process that leaves announces no slots if its upstream is draining.
            return bool(self.instance) and not self.slots
        return self.state == DRAINING

    @property
    def order(self):
        """The sort key that decides which of two records of one name is newer."""
        return self.incarnation, self.version


def decode_record(fields):
    """Parses a record from the fields of a message.

    :raises PeerError: if fields are missing, superfluous or of the wrong type, or the
        address or the instance are not valid.
    """
    try:
        record = msgspec.convert(fields, HostRecord)
        ip_address(record.ip)
        if record.instance:
            parse_incarnation(record.instance)
    except ValueError as error:
        raise PeerError(f"record of a host: {error}") from error
    return record

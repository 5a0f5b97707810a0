"""What one process tells the others of itself."""

from typing import NamedTuple

from ..base._errors import PeerError

NODE = "node"
CONTROL = "control"

READY = "ready"
DRAINING = "draining"
NO_UPSTREAM = "none"
LEFT = "left"


class HostRecord(NamedTuple):
    """One process and the upstream beside it.

    :param name: unique name of the process.
    :param incarnation: grows with each start of the process.
    :param version: grows with each change of the record in one incarnation.
    :param token: random number of the start, which tells two starts apart.
    :param role: ``node`` or ``control``.
    :param ip: IP address of its links.
    :param port: port of its links.
    :param data_center: data centre of the host.
    :param service: service of the upstream, empty for control.
    :param instance: instance of the upstream, empty without one.
    :param slots: requests that the upstream runs at once.
    :param state: ``ready``, ``draining``, ``none`` or ``left``.
    :param cold_s: seconds for which the upstream is still slow.
    :param identity: identity in the quorum, empty for nodes.
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
        """Tuple of IP address and port of its links."""
        return self.ip, self.port

    @property
    def order(self):
        """What decides which of two records of a name is newer."""
        return self.incarnation, self.version


def decode_record(fields):
    """Reads a record from a message.

    :raises PeerError: when fields are missing or of another type.
    """
    try:
        record = HostRecord(*fields)
    except TypeError as error:
        raise PeerError(f"record of a host: {error}") from error
    if not (isinstance(record.name, str) and isinstance(record.port, int)):
        raise PeerError("record of a host: name or port has another type")
    return record

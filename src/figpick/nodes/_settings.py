"""Settings of a node."""

from typing import NamedTuple

from ..base._memory import DEFAULT_MEMORY_BYTES
from ..wire import DEFAULT_HEADERS, HeaderNames

DEFAULT_DESCRIPTORS = 4096


class NodeSettings(NamedTuple):
    """Settings that a node receives when it starts.

    :param name: unique name of the process.
    :param data_center: data centre of the host.
    :param region: region of the host.
    :param service: service of the upstream on the host of the node.
    :param call_address: address on which clients and the upstream send requests.
    :param upstream_address: address of the upstream.
    :param link_address: address on which other figpick processes open links.
    :param control_addresses: link addresses of some control processes.
    :param retry_ratio: retries per request that all nodes together may make.
    :param retry_window_s: seconds over which the ratio is measured.
    :param grace_s: seconds from the termination signal until the process is killed.
    :param memory_bytes: memory of the host.
    :param max_descriptors: descriptors that the process may have.
    :param headers: names of the headers of calls.
    """

    name: str
    data_center: str
    region: str
    service: str
    call_address: tuple
    upstream_address: tuple
    link_address: tuple
    control_addresses: tuple
    retry_ratio: float = 0.1
    retry_window_s: float = 10.0
    grace_s: float = 6.0
    memory_bytes: int = DEFAULT_MEMORY_BYTES
    max_descriptors: int = DEFAULT_DESCRIPTORS
    headers: HeaderNames = DEFAULT_HEADERS

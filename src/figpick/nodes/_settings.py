"""Settings of a node."""

from typing import NamedTuple

from ..wire import DEFAULT_HEADERS, HeaderNames


class NodeSettings(NamedTuple):
    """What a node is told at its start.

    :param name: unique name of the process.
    :param data_center: data centre of the host.
    :param region: region of the host.
    :param service: service of the upstream beside it.
    :param call_address: address on which clients and the upstream send requests.
    :param upstream_address: address of the upstream.
    :param link_address: address for other processes of the system.
    :param control_addresses: link addresses of some control processes.
    :param retry_ratio: retries for each request that all nodes together may make.
    :param retry_window_s: seconds for which the ratio holds.
    :param grace_s: seconds from the signal to end until the process is killed.
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
    headers: HeaderNames = DEFAULT_HEADERS

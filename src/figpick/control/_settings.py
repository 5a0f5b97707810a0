"""Settings of a control process."""

from typing import NamedTuple


class ControlSettings(NamedTuple):
    """What a control process is told at its start.

    :param name: unique name of the process.
    :param data_center: data centre of the host.
    :param link_address: address for other processes of the system.
    :param seeds: link addresses of some control processes, the same for all at the
        first start.
    :param may_form_quorum: whether this is the first start of the whole system.
    :param data_folder: folder for durable state.
    """

    name: str
    data_center: str
    link_address: tuple
    seeds: tuple
    may_form_quorum: bool
    data_folder: str

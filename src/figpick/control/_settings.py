"""Settings of a control process."""

from typing import NamedTuple

from ..base._memory import DEFAULT_MEMORY_BYTES


class ControlSettings(NamedTuple):
    """Settings of a control process.

    :param name: unique name of the process.
    :param data_center: data centre of the host.
    :param link_address: address at which other processes of the system connect.
    :param seeds: link addresses of some control processes; at the first start of
        the whole system they must be the same in all control processes.
    :param may_form_quorum: whether this is the first start of the whole system.
    :param data_folder: folder for durable state.
    :param tolerated_losses: control hosts that may be lost at the same time without
        the loss of an acknowledged change.
    :param memory_bytes: memory of the host.
    """

    name: str
    data_center: str
    link_address: tuple
    seeds: tuple
    may_form_quorum: bool
    data_folder: str
    tolerated_losses: int = 1
    memory_bytes: int = DEFAULT_MEMORY_BYTES

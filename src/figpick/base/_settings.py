"""Settings of one process."""

from typing import Annotated, Literal, NotRequired, TypedDict

from msgspec import Meta

from . import _schema
from ._errors import Fault, InvalidDocumentError

Name = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}\Z")]
Address = Annotated[str, Meta(pattern=r"^[0-9.]+:[0-9]{1,5}\Z")]
Key = Annotated[str, Meta(min_length=16, max_length=256)]


class ControlMember(TypedDict):
    """One control process.

    :param name: name of the process.
    :param address: its peer address, ``ip:port``.
    """

    name: Name
    address: Address


class MetricsSettings(TypedDict):
    """Export of metrics over OTLP/HTTP.

    :param endpoint: URL to which metrics are sent.
    :param interval_s: seconds between exports.
    """

    endpoint: Annotated[str, Meta(pattern=r"^https?://")]
    interval_s: NotRequired[Annotated[int, Meta(ge=1, le=3600)]]


class RecordSettings(TypedDict):
    """Recording of calls for replay.

    :param file: file to which spans are appended.
    :param share: share of root requests that are recorded, above 0 and at most 1.
    """

    file: Annotated[str, Meta(min_length=1)]
    share: Annotated[float, Meta(gt=0, le=1)]


class Settings(TypedDict):
    """Settings of one process, read from a JSON file.

    :param name: unique name of the process.
    :param region: region of the host.
    :param data_center: data centre of the host.
    :param roles: ``node``, ``control`` or both.
    :param call_address: ``ip:port`` on which a node accepts calls.
    :param peer_address: ``ip:port`` to which other processes and operators connect.
    :param service: service of the upstream on the host of a node, used for calls
        whose host header names no service.
    :param control: control processes.
    :param seeds: peer addresses of nodes to contact at startup.
    :param data_folder: folder for durable state of a control process.
    :param shared_key: key with which messages between processes are signed.
    :param previous_keys: additional keys that are accepted during key rotation.
    :param calls: services whose documents a node fetches at startup.
    :param log_level: lowest level that is logged.
    :param metrics: export of metrics; none are exported when absent.
    :param record: recording of calls by a node; none are recorded when absent.
    """

    name: Name
    region: Name
    data_center: Name
    roles: Annotated[list[Literal["node", "control"]], Meta(min_length=1)]
    call_address: NotRequired[Address]
    peer_address: Address
    service: NotRequired[Name]
    control: NotRequired[list[ControlMember]]
    seeds: NotRequired[list[Address]]
    data_folder: NotRequired[str]
    shared_key: Key
    previous_keys: NotRequired[list[Key]]
    calls: NotRequired[list[Name]]
    log_level: NotRequired[Literal["debug", "info", "warning", "error"]]
    metrics: NotRequired[MetricsSettings]
    record: NotRequired[RecordSettings]


def load(path):
    """Reads the settings of a process.

    :param path: JSON file.
    :return: :class:`Settings`.
    :raises InvalidDocumentError: with every fault found.
    """
    settings = _schema.read_file(path, Settings)
    faults = list(_missing(settings))
    if faults:
        raise InvalidDocumentError(str(path), faults)
    return settings


def _missing(settings):
    required = {"node": ["call_address"], "control": ["data_folder", "control"]}
    for role in settings["roles"]:
        for field in required[role]:
            if field not in settings:
                yield Fault(field, f"required for the role {role!r}")


def split_address(address):
    """Splits ``ip:port``.

    :return: tuple of IP address and port number.
    """
    ip, _, port = address.rpartition(":")
    return ip, int(port)

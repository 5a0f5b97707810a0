"""The parts of a configuration, and its validation before it is accepted."""

from typing import NamedTuple

from ..base._errors import Fault

# A target this far above the timeout of its route is a mix-up of units.
MAX_TARGET_EXCESS_S = 60.0


class Route(NamedTuple):
    """How requests for one host and path prefix are handled.

    :param name: unique name.
    :param host: value of the ``Host`` header, in lower case.
    :param prefix: prefix of the path; begins and ends with a slash.
    :param is_idempotent: whether a request may run more than once.
    :param timeout_s: longest time in seconds that a caller waits, or ``None``.
    :param target_s: seconds within which a response has its full value, or ``None``.
    :param priority: 0 is the most urgent.
    :param attempts: maximum number of upstreams to which a request is sent.
    :param split: pairs of a service and its weight, which share the requests.
    """

    name: str
    host: str
    prefix: str
    is_idempotent: bool
    timeout_s: float | None
    target_s: float | None
    priority: int
    attempts: int
    split: tuple[tuple[str, float], ...]


class ServiceSettings(NamedTuple):
    """Settings of a service, which do not depend on its hosts.

    :param name: name of the service.
    :param health_path: path of the health check of its upstreams.
    :param max_connections: connections that one upstream accepts, 0 if unspecified.
    """

    name: str
    health_path: str
    max_connections: int


class Limits(NamedTuple):
    """Limits on the size and duration of client requests.

    :param header_bytes: maximum size of the head of a request.
    :param body_bytes: maximum size of its body.
    :param header_timeout_s: seconds from the start of a request until it must be
        complete.
    :param idle_timeout_s: seconds after which an idle connection is closed.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


class Configuration(NamedTuple):
    """A complete configuration.

    :param version: version number that the operator assigned.
    :param base: version on which it is based, 0 for the first.
    :param routes: tuple of :class:`Route`.
    :param services: dict of :class:`ServiceSettings` by name.
    :param limits: :class:`Limits`.
    """

    version: int
    base: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceSettings]
    limits: Limits


def check(configuration):
    """Validates a configuration.

    :param configuration: :class:`Configuration`.
    :return: list of :class:`~figpick.exceptions.Fault`, empty if it is valid.
    """
    faults = []
    numbers = {}
    for number, route in enumerate(configuration.routes):
        faults.extend(_route_faults(f"routes.{number}", route, configuration.services))
        key = (route.host, route.prefix)
        if key in numbers:
            problem = f"same host and prefix as route {numbers[key]}"
            faults.append(Fault(f"routes.{number}", problem))
        numbers.setdefault(key, number)
    return faults


def _route_faults(path, route, services):
    if not route.host:
        yield Fault(f"{path}.host", "must not be empty")
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        yield Fault(f"{path}.prefix", "must begin and end with a slash")
    if route.attempts < 1:
        yield Fault(f"{path}.attempts", "must be at least 1")
    if route.timeout_s is not None and route.timeout_s <= 0:
        yield Fault(f"{path}.timeout_s", "must be above 0")
    if None not in (route.timeout_s, route.target_s) and (
        route.target_s >= route.timeout_s + MAX_TARGET_EXCESS_S
    ):
        yield Fault(f"{path}.target_s", "is a minute or more above the timeout")
    if not route.split or sum(weight for _, weight in route.split) <= 0:
        yield Fault(f"{path}.split", "no service with a weight above 0")
    for service, weight in route.split:
        if service not in services:
            yield Fault(f"{path}.split", f"unknown service {service!r}")
        if weight < 0:
            yield Fault(f"{path}.split", f"weight of {service!r} is below 0")

"""Service documents, which state how a service may be called.

A document is owned by the team of the service. It lists the routes, with their
importance and whether they are idempotent, and the limits of the service.
"""

import re
from hashlib import blake2b
from typing import Annotated, Literal, NamedTuple, NotRequired, TypedDict

from msgspec import Meta

from ..base import _schema
from ..base._errors import Fault, InvalidDocumentError
from ..base._settings import Name

DEFAULT_DEADLINE_MS = 10_000
DEFAULT_ATTEMPTS = 2
DEFAULT_RETRIES = 2
DEFAULT_RETRY_RATIO = 0.1
DEFAULT_QUEUE_MS = 100
DEFAULT_QUEUE_LENGTH = 1000
DEFAULT_BODY_BYTES = 1 << 30

Importance = Annotated[int, Meta(ge=0, le=9)]
Milliseconds = Annotated[int, Meta(ge=1, le=3_600_000)]
Method = Literal["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]


class RouteDocument(TypedDict):
    """One route of a service.

    :param method: HTTP method.
    :param path: path with ``{name}`` for one segment, or ending in ``*``.
    :param importance: 0 to 9; requests of importance 9 are refused last.
    :param idempotent: whether the request may run more than once.
    :param deadline_ms: maximum duration of a request in milliseconds.
    :param attempts: maximum number of times one calling node sends a call.
    """

    method: Method
    path: Annotated[str, Meta(pattern=r"^/")]
    importance: Importance
    idempotent: bool
    deadline_ms: NotRequired[Milliseconds]
    attempts: NotRequired[Annotated[int, Meta(ge=1, le=5)]]


class LimitsDocument(TypedDict):
    """Limits of a service.

    :param slots: maximum number of requests that one upstream runs at once.
    :param connections: maximum number of connections to one upstream.
    :param queue_ms: maximum time that a call waits for a permit, in milliseconds.
    :param queue_length: maximum number of calls that wait at one calling node.
    :param body_bytes: maximum size of a request body in bytes.
    :param retries: retry grants for one root request that enters at this service.
    :param retry_ratio: maximum share of retries among recent calls.
    """

    slots: NotRequired[Annotated[int, Meta(ge=1, le=100_000)]]
    connections: NotRequired[Annotated[int, Meta(ge=1, le=100_000)]]
    queue_ms: NotRequired[Annotated[int, Meta(ge=0, le=60_000)]]
    queue_length: NotRequired[Annotated[int, Meta(ge=0, le=100_000)]]
    body_bytes: NotRequired[Annotated[int, Meta(ge=0)]]
    retries: NotRequired[Annotated[int, Meta(ge=0, le=10)]]
    retry_ratio: NotRequired[Annotated[float, Meta(ge=0, le=1)]]


class ServiceDocument(TypedDict):
    """Document of a service, written by its team.

    :param service: name of the service.
    :param routes: list of routes; the first match is used.
    :param limits: limits of the service.
    """

    service: Name
    routes: list[RouteDocument]
    limits: NotRequired[LimitsDocument]


class Route(NamedTuple):
    """A route of an active service document.

    :param route_id: 8 hex digits that identify method and path.
    :param deadline_s: maximum duration of a request in seconds.
    """

    route_id: str
    method: str
    path: str
    importance: int
    idempotent: bool
    deadline_s: float
    attempts: int


class Limits(NamedTuple):
    """Active limits; ``slots`` and ``connections`` are ``None`` when unset."""

    slots: int | None
    connections: int | None
    queue_s: float
    queue_length: int
    body_bytes: int
    retries: int
    retry_ratio: float


def check(document, source="document"):
    """Checks a decoded service document.

    :return: :class:`ServiceDocument`.
    :raises InvalidDocumentError: with every fault found.
    """
    checked = _schema.check(document, ServiceDocument, source)
    _check_duplicates(checked, source)
    return checked


def load(path):
    """Reads and checks a service document.

    :param path: JSON file.
    :return: :class:`ServiceDocument`.
    :raises InvalidDocumentError: with every fault found.
    """
    document = _schema.read_file(path, ServiceDocument)
    _check_duplicates(document, str(path))
    return document


def _check_duplicates(document, source):
    seen = {}
    faults = []
    for number, route in enumerate(document["routes"]):
        key = (route["method"], route["path"])
        if key in seen:
            problem = f"same method and path as routes.{seen[key]}"
            faults.append(Fault(f"routes.{number}", problem))
        seen.setdefault(key, number)
    if faults:
        raise InvalidDocumentError(source, faults)


class Service:
    """An active service document, prepared for matching requests to its routes.

    :param document: checked :class:`ServiceDocument`.
    :param version: log index of the document.
    """

    def __init__(self, document, version):
        self.name = document["service"]
        self.version = version
        self.document = document
        self.limits = _make_limits(document.get("limits", {}))
        self._exact_routes = {}
        self._pattern_routes = []
        self._default_route = _make_default_route(self.name)
        for entry in document["routes"]:
            self._add_route(entry)

    def __repr__(self):
        return f"<Service {self.name} version {self.version}>"

    def match(self, method, path):
        """Returns the route of a request.

        :param method: HTTP method.
        :param path: path without query.
        :return: :class:`Route`; requests that match no route get importance 0 and
            are non-idempotent unless the method is safe.
        """
        route = self._exact_routes.get((method, path))
        if route is not None:
            return route
        for pattern, route in self._pattern_routes:
            if route.method == method and pattern.fullmatch(path):
                return route
        idempotent = method in ("GET", "HEAD", "OPTIONS")
        return self._default_route._replace(method=method, idempotent=idempotent)

    def _add_route(self, entry):
        route = Route(
            route_id=_route_id(entry["method"], entry["path"]),
            method=entry["method"],
            path=entry["path"],
            importance=entry["importance"],
            idempotent=entry["idempotent"],
            deadline_s=entry.get("deadline_ms", DEFAULT_DEADLINE_MS) / 1000,
            attempts=entry.get("attempts", DEFAULT_ATTEMPTS),
        )
        if "{" in route.path or route.path.endswith("*"):
            self._pattern_routes.append((_compile_path(route.path), route))
        else:
            self._exact_routes[(route.method, route.path)] = route


def _route_id(method, path):
    return blake2b(f"{method} {path}".encode(), digest_size=4).hexdigest()


def _compile_path(path):
    parts = re.split(r"(\{[^{}/]*\}|\*$)", path)
    return re.compile("".join(_part_pattern(part) for part in parts))


def _part_pattern(part):
    if part == "*":
        return ".*"
    if part.startswith("{"):
        return "[^/]+"
    return re.escape(part)


def _make_default_route(service):
    return Route(
        route_id=_route_id("*", service),
        method="*",
        path="*",
        importance=0,
        idempotent=False,
        deadline_s=DEFAULT_DEADLINE_MS / 1000,
        attempts=1,
    )


def _make_limits(entry):
    return Limits(
        slots=entry.get("slots"),
        connections=entry.get("connections"),
        queue_s=entry.get("queue_ms", DEFAULT_QUEUE_MS) / 1000,
        queue_length=entry.get("queue_length", DEFAULT_QUEUE_LENGTH),
        body_bytes=entry.get("body_bytes", DEFAULT_BODY_BYTES),
        retries=entry.get("retries", DEFAULT_RETRIES),
        retry_ratio=entry.get("retry_ratio", DEFAULT_RETRY_RATIO),
    )

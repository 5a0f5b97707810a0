"""Deployments of the experiments, scaled down for one machine.

Numbers of hosts, ratios of slots and call trees are those of the design page. Slots
are divided by ``SLOT_DIVISOR`` and service times are long, so that one machine can
sustain their capacity.
"""

from typing import NamedTuple

from bench.cluster import ServiceSpec

SLOT_DIVISOR = 2


class RequestKind(NamedTuple):
    """A kind of root request.

    :param name: name in results.
    :param share: share of all root requests.
    :param size: bytes of the response.
    :param calls: trees of nested calls, each ``(service, method, path,
        service_ms, calls)``.
    """

    name: str
    share: float
    service: str
    method: str
    path: str
    importance: int
    idempotent: bool
    service_ms: float
    size: int
    calls: tuple


class Deployment(NamedTuple):
    """A deployment with its services and kinds of requests.

    :param bottleneck: service that limits the capacity.
    :param client_delay_ms: one-way delay between clients and nodes.
    :param host_delay_ms: one-way delay between data centres.
    """

    name: str
    services: list
    kinds: list
    bottleneck: str
    client_delay_ms: float
    host_delay_ms: float


def _route(method, path, importance, idempotent, deadline_ms=3000):
    return {
        "method": method,
        "path": path,
        "importance": importance,
        "idempotent": idempotent,
        "deadline_ms": deadline_ms,
    }


def _service(name, host_count, slots, connections, routes):
    slots = slots // SLOT_DIVISOR
    document = {
        "service": name,
        "routes": routes,
        "limits": {"slots": slots, "connections": connections},
    }
    return ServiceSpec(document, [], host_count, slots, connections)


def cascade():
    """Returns the Cascade deployment: maintenance logbooks of aircraft hangars."""
    return Deployment(
        "cascade", _cascade_services(), _cascade_kinds(), "parts", 1.0, 0.5
    )


def _cascade_services():
    return [
        _service(
            "entries",
            3,
            140,
            950,
            [
                _route("GET", "/entries/check/*", 1, True),
                _route("GET", "/entries/*", 5, True),
            ],
        ),
        _service("signoffs", 3, 140, 950, [_route("POST", "/signoffs", 9, False)]),
        _service("scans", 3, 140, 950, [_route("GET", "/scans/*", 4, True)]),
        _service("parts", 3, 40, 330, [_route("GET", "/parts/*", 3, True)]),
    ]


def _cascade_kinds():
    parts = ("parts", "GET", "/parts/7", 100, ())
    entries = ("entries", "GET", "/entries/3", 50, (parts,))
    return [
        RequestKind(
            "signoff",
            0.15,
            "signoffs",
            "POST",
            "/signoffs",
            9,
            False,
            50,
            64,
            (entries,),
        ),
        RequestKind(
            "lookup", 0.4, "entries", "GET", "/entries/3", 5, True, 50, 2048, (parts,)
        ),
        RequestKind(
            "scan", 0.15, "scans", "GET", "/scans/9", 4, True, 80, 200_000, (parts,)
        ),
        RequestKind("trace", 0.1, "parts", "GET", "/parts/7", 3, True, 100, 512, ()),
        RequestKind(
            "check",
            0.2,
            "entries",
            "GET",
            "/entries/check/1",
            1,
            True,
            50,
            64,
            (parts,),
        ),
    ]


def kilimo():
    """Returns the Kilimo deployment: an issue tracker for game studios."""
    return Deployment(
        "kilimo", _kilimo_services(), _kilimo_kinds(), "tickets", 3.0, 1.0
    )


def _kilimo_services():
    return [
        _service(
            "boards",
            4,
            90,
            620,
            [
                _route("GET", "/boards/{id}/refresh", 1, True),
                _route("GET", "/boards/*", 4, True),
            ],
        ),
        _service(
            "workflow", 3, 120, 800, [_route("POST", "/workflow/transition", 9, False)]
        ),
        _service("vault", 3, 120, 800, [_route("GET", "/vault/*", 5, True)]),
        _service(
            "tickets",
            4,
            20,
            230,
            [
                _route("GET", "/tickets/*", 3, True),
                _route("POST", "/tickets/*", 8, False),
                _route("POST", "/tickets", 7, False),
            ],
        ),
    ]


def _kilimo_kinds():
    read = ("tickets", "GET", "/tickets/5", 100, ())
    write = ("tickets", "POST", "/tickets/5/state", 100, ())
    return [
        RequestKind(
            "transition",
            0.15,
            "workflow",
            "POST",
            "/workflow/transition",
            9,
            False,
            40,
            64,
            (write,),
        ),
        RequestKind("bug", 0.1, "tickets", "POST", "/tickets", 7, False, 100, 64, ()),
        RequestKind(
            "dump", 0.1, "vault", "GET", "/vault/2", 5, True, 60, 300_000, (read,)
        ),
        RequestKind(
            "view", 0.35, "boards", "GET", "/boards/1", 4, True, 40, 4096, (read, read)
        ),
        RequestKind(
            "refresh",
            0.3,
            "boards",
            "GET",
            "/boards/1/refresh",
            1,
            True,
            40,
            512,
            (read,),
        ),
    ]


def capacity(deployment):
    """Returns the root requests per second that the bottleneck can serve.

    It follows from the mean work that a root request causes at the bottleneck.
    """
    spec = next(s for s in deployment.services if s.name == deployment.bottleneck)
    mean_s = sum(
        kind.share * work_s(deployment.bottleneck, kind) for kind in deployment.kinds
    )
    return spec.host_count * spec.slots / mean_s


def work_s(service, kind):
    """Returns the seconds of work that a root request causes at a service."""
    own_ms = kind.service_ms if kind.service == service else 0.0
    return (own_ms + sum(_nested_work_ms(service, call) for call in kind.calls)) / 1000


def _nested_work_ms(service, call):
    own_ms = call[3] if call[0] == service else 0.0
    return own_ms + sum(
        _nested_work_ms(service, nested_call) for nested_call in call[4]
    )


def chain():
    """Returns a chain of three services for the demonstration."""
    return Deployment("chain", _chain_services(), _chain_kinds(), "stock", 1.0, 0.5)


def _chain_services():
    return [
        _service(
            "shop",
            2,
            80,
            400,
            [
                _route("GET", "/pages/*", 2, True),
                _route("POST", "/checkout", 9, False),
            ],
        ),
        _service("orders", 2, 80, 400, [_route("GET", "/orders/*", 3, True)]),
        _service("stock", 2, 40, 200, [_route("GET", "/stock/*", 3, True)]),
    ]


def _chain_kinds():
    stock = ("stock", "GET", "/stock/1", 200, ())
    orders = ("orders", "GET", "/orders/1", 20, (stock,))
    return [
        RequestKind(
            "page", 0.8, "shop", "GET", "/pages/1", 2, True, 20, 2048, (orders,)
        ),
        RequestKind(
            "checkout", 0.2, "shop", "POST", "/checkout", 9, False, 20, 64, (orders,)
        ),
    ]

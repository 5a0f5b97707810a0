"""Configuration documents that the operators of the soak test send."""

SERVICES = ("deep", "front")
ROUTE_COLUMNS = ["name", "host", "pathPrefix", "routeType", "timeoutS"]
ROUTE_COLUMNS += ["targetLatencyS", "priority", "trafficSplit", "attempts", "service"]
ROUTE_TIMEOUT_S = 3
# Requests on slow routes last until late in the stop of a node.
SLOW_TIMEOUT_S = 8
LOWERED_TIMEOUT_S = 1.5


def make_document(version, base, further_routes=(), slow_timeout_s=SLOW_TIMEOUT_S):
    """Returns a configuration with routes to both services.

    :param version: version number.
    :param base: version number that it builds on, 0 for the first.
    :param further_routes: tuples of prefix and service of further idempotent routes.
    :param slow_timeout_s: timeout of the slow routes, in seconds.
    """
    rows = []
    for service in SERVICES:
        rows.append(_row(f"/{service}/get/", "idempotent", service))
        rows.append(_row(f"/{service}/once/", "non_idempotent", service))
        prefix = f"/{service}/slow/"
        rows.append(_row(prefix, "idempotent", service, slow_timeout_s))
    rows += [_row(prefix, "idempotent", service) for prefix, service in further_routes]
    return {
        "version": f"r{version}",
        "baseVersion": f"r{base}" if base else 0,
        "routes": {"columns": ROUTE_COLUMNS, "rows": rows},
        "services": {
            "columns": ["name", "healthPath"],
            "rows": [[name, "/health"] for name in SERVICES],
        },
        "limits": {},
    }


def make_invalid(document, rng):
    """Makes the last route of a document invalid in one of several ways."""
    rows = document["routes"]["rows"]
    ways = (("service", "nobody"), ("attempts", 0), ("host", ""))
    ways += (("targetLatencyS", 100), ("name", "again"))
    column, value = rng.choice(ways)
    row = list(rows[-1])
    row[ROUTE_COLUMNS.index(column)] = value
    # A second route with the same prefix is invalid, too.
    rows[-1:] = [rows[-1], row] if column == "name" else [row]


def _row(prefix, kind, service, timeout_s=ROUTE_TIMEOUT_S):
    name = prefix.strip("/").replace("/", "-")
    return [name, "soak", prefix, kind, timeout_s, 1, 1, None, 2, service]

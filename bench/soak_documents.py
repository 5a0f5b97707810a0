"""Configuration documents that the operators of the soak test send."""

SERVICES = ("deep", "front")
ROUTE_COLUMNS = ["name", "host", "pathPrefix", "routeType", "timeoutS"]
ROUTE_COLUMNS += ["targetLatencyS", "priority", "trafficSplit", "attempts", "service"]


def make_document(version, base, further_routes=()):
    """Returns a configuration with routes to both services.

    :param version: version number.
    :param base: version number that it builds on, 0 for the first.
    :param further_routes: tuples of prefix and service of further idempotent routes.
    """
    rows = []
    for service in SERVICES:
        rows.append(_row(f"/{service}/get/", "idempotent", service))
        rows.append(_row(f"/{service}/once/", "non_idempotent", service))
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


def _row(prefix, kind, service):
    name = prefix.strip("/").replace("/", "-")
    return [name, "soak", prefix, kind, 3, 1, 1, None, 2, service]

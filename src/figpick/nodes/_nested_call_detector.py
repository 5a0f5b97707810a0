"""Distinguishes nested calls of the upstream on this host from client requests.

Both arrive at the same address. Where request ids do not show the difference, deadlines
do: a nested call expires with the running request that makes it, so its deadline equals
the one that was sent to the upstream. The deadlines of clients differ from it.
"""

# Deadlines also match by chance, so a route is classified by the share of its requests
# that match, once this many were seen.
MIN_REQUESTS = 8
NESTED_SHARE = 0.3
# Factor by which each request on a route reduces the weight of earlier ones.
DECAY = 0.98


class NestedCallDetector:
    """Learns which routes running requests call, and the routes of those requests."""

    def __init__(self):
        self._request_counts = {}
        self._match_counts = {}
        self._parent_routes = {}

    def __repr__(self):
        return f"<NestedCallDetector of {len(self._request_counts)} routes>"

    def record_request(self, route, parent_route):
        """Records one request.

        :param route: name of its route.
        :param parent_route: route of the running request that its id or deadline
            matches, or ``None``.
        """
        self._request_counts[route] = self._request_counts.get(route, 0.0) * DECAY + 1.0
        match_count = self._match_counts.get(route, 0.0) * DECAY
        if parent_route is not None:
            match_count += 1.0
            self._parent_routes.setdefault(route, set()).add(parent_route)
        self._match_counts[route] = match_count

    def is_nested(self, route, has_match):
        """Returns whether a request on a route is a nested call.

        :param route: name of the route.
        :param has_match: whether a running request has the same deadline.
        """
        request_count = self._request_counts.get(route, 0.0)
        if request_count < MIN_REQUESTS:
            return has_match
        return self._match_counts[route] / request_count >= NESTED_SHARE

    def parent_routes(self, route):
        """Returns the routes whose requests have made calls on a route."""
        return self._parent_routes.get(route, ())

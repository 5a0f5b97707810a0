"""Tells calls of the upstream beside a node from requests of clients.

Both come to the same address. Where ids do not tell, deadlines do: a call of a
running request expires with it, so its deadline equals the one that the upstream was
given; the deadlines of clients lie elsewhere.
"""

# Chance matches happen, so a route counts by how often its requests match.
MIN_SEEN = 8
INNER_SHARE = 0.3
FORGET = 0.98


class Origins:
    """Which routes are called by running requests, and by requests on which routes."""

    def __init__(self):
        self._seen = {}
        self._matched = {}
        self._parents = {}

    def __repr__(self):
        return f"<Origins of {len(self._seen)}>"

    def observe(self, route, parent_route):
        """Notes one request.

        :param route: name of its route.
        :param parent_route: route of the running request with its deadline, or
            ``None``.
        """
        self._seen[route] = self._seen.get(route, 0.0) * FORGET + 1.0
        matched = self._matched.get(route, 0.0) * FORGET
        if parent_route is not None:
            matched += 1.0
            self._parents.setdefault(route, set()).add(parent_route)
        self._matched[route] = matched

    def is_nested(self, route, has_match):
        """Whether a request on a route is a call of a running request.

        :param has_match: whether a running request has its deadline.
        """
        seen = self._seen.get(route, 0.0)
        if seen < MIN_SEEN:
            return has_match
        return self._matched[route] / seen >= INNER_SHARE

    def parents(self, route):
        """Routes whose requests were seen to make calls on a route."""
        return self._parents.get(route, ())

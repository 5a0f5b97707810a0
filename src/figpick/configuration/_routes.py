"""Finds the route of a request."""


class RoutingTable:
    """Routes by host and path prefix.

    :param routes: iterable of :class:`~figpick.configuration.Route`.
    """

    def __init__(self, routes=()):
        self._prefixes = {}
        for route in routes:
            by_prefix = self._prefixes.setdefault(route.host, {})
            by_prefix[route.prefix] = route

    def find(self, host, path):
        """Returns the route with the longest matching prefix, or ``None``.

        :param host: value of the ``Host`` header; its port is ignored.
        :param path: path of the request, without the query.
        """
        by_prefix = self._prefixes.get(host.partition(":")[0].lower())
        if by_prefix is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
        return None

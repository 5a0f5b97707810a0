"""Divides the requests of a route among services by weight."""


class WeightedRoundRobin:
    """Smooth weighted round-robin, with exact shares over any series of requests.

    :param weights: dict of service to weight.
    """

    def __init__(self, weights):
        self._weights = {name: weight for name, weight in weights.items() if weight > 0}
        self._total = sum(self._weights.values())
        self._credits = dict.fromkeys(self._weights, 0.0)

    def __repr__(self):
        return f"<WeightedRoundRobin {self._weights}>"

    def next(self):
        """Returns the service for the next request."""
        for name, weight in self._weights.items():
            self._credits[name] += weight
        chosen = max(self._credits, key=self._credits.get)
        self._credits[chosen] -= self._total
        return chosen

"""Metrics in the Prometheus exposition format, by OpenTelemetry.

The libraries are loaded with the first request for metrics. All instruments are
observable: calls are counted in plain integers, which are read when asked for.
"""

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import REGISTRY, generate_latest


class Exposition:
    """Reads the counters of a process when they are asked for.

    :param name: name of the process.
    """

    def __init__(self, name):
        self._reader = PrometheusMetricReader()
        resource = Resource.create(
            {"service.name": "figpick", "service.instance.id": name}
        )
        self._meter = MeterProvider([self._reader], resource).get_meter("figpick")

    def add_counter(self, name, labels, read):
        """Adds a counter.

        :param labels: names of its labels.
        :param read: function that gives a dict of label values to numbers.
        """
        self._meter.create_observable_counter(
            name, [lambda _: list(_observations(labels, read()))]
        )

    def add_gauge(self, name, labels, read):
        """Adds a value that goes up and down; see :meth:`add_counter`."""
        self._meter.create_observable_gauge(
            name, [lambda _: list(_observations(labels, read()))]
        )

    def render(self):
        """Gives all metrics as bytes of text."""
        return generate_latest(REGISTRY)


def _observations(labels, values):
    for key, value in values.items():
        yield Observation(value, dict(zip(labels, key, strict=True)))

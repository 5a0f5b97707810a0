"""Metrics in the Prometheus exposition format, exported with OpenTelemetry.

The libraries are loaded at the first request for metrics, when this module is imported.
All instruments are observable: counts are kept as plain integers, which are read when
metrics are requested.
"""

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import REGISTRY, generate_latest


class Exposition:
    """Exports the metrics of a process, which are read at each request.

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
        :param read: function that returns a dict of label values to numbers.
        """
        self._meter.create_observable_counter(
            name, [lambda _: list(_observations(labels, read()))]
        )

    def add_gauge(self, name, labels, read):
        """Adds a gauge; the parameters are those of :meth:`add_counter`."""
        self._meter.create_observable_gauge(
            name, [lambda _: list(_observations(labels, read()))]
        )

    def render(self):
        """Returns all metrics in the exposition format, as bytes."""
        return generate_latest(REGISTRY)


def _observations(labels, values):
    for key, value in values.items():
        yield Observation(value, dict(zip(labels, key, strict=True)))

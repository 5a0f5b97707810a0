"""Export of counters with OpenTelemetry.

The libraries take 15 MB, so this module is imported only if metrics are enabled in
the settings. All instruments are observable: the hot path increments plain
integers, which are read at each export.
"""

import asyncio
from collections import Counter

from opentelemetry.metrics import Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import PeriodicExportingMetricReader
from opentelemetry.sdk.resources import Resource

from ..base._errors import FigpickError

DEFAULT_INTERVAL_S = 30
SHUTDOWN_TIMEOUT_MS = 1000

CALL_COUNTERS = ("calls", "cancelled", "cut", "retries")
TRAFFIC_COUNTERS = ("sent", "received", "sent_bytes", "received_bytes")
AUTHENTICATION_COUNTERS = ("accepted", "accepted_with_previous_key", "refused")


class MetricsError(FigpickError):
    """Metrics are enabled, but their exporter is not installed."""


class Metrics:
    """Registers instruments that read the counters of a process at each export.

    The callbacks run on the thread of the exporter.

    :param settings: :class:`~figpick.base._settings.Settings` with ``metrics``.
    :param reader: OpenTelemetry metric reader that exports the instruments.
    """

    def __init__(self, settings, reader):
        resource = Resource.create(
            {
                "service.name": "figpick",
                "service.instance.id": settings["name"],
                "cloud.region": settings["region"],
                "cloud.availability_zone": settings["data_center"],
            }
        )
        self._provider = MeterProvider([reader], resource)
        self._meter = self._provider.get_meter("figpick")

    def add_counters(self, prefix, names, dump):
        """Adds monotonic counters.

        :param prefix: first part of the names of the instruments, after ``figpick``.
        :param names: keys of the dict returned by ``dump``.
        :param dump: function that returns the values by name.
        """
        for name in names:
            self._meter.create_observable_counter(
                f"figpick.{prefix}.{name}",
                [lambda _, name=name: [Observation(dump()[name])]],
            )

    def add_node(self, node):
        """Adds the instruments of the node role.

        :param node: :class:`~figpick.roles._node.Node`.
        """
        self.add_counters("calls", CALL_COUNTERS, node.counters.dump)
        self._meter.create_observable_counter(
            "figpick.calls.refused",
            [lambda _: _observe_by("reason", dict(node.counters.refused))],
        )
        self._meter.create_observable_gauge(
            "figpick.documents.version",
            [lambda _: _observe_by("service", node.versions)],
        )
        for name in ("limit", "committed"):
            self._meter.create_observable_gauge(
                f"figpick.permits.{name}",
                [lambda _, name=name: [Observation(getattr(node.exchange.pool, name))]],
            )

    def add_members(self, members):
        """Adds a gauge of the number of members by state.

        :param members: :class:`~figpick.membership._members.Members`.
        """

        def count(_):
            return _observe_by(
                "state", Counter(member.state for member in list(members))
            )

        self._meter.create_observable_gauge("figpick.members", [count])

    def add_control(self, control):
        """Adds the instruments of the control role.

        :param control: :class:`~figpick.roles._control.Control`.
        """
        for name in ("term", "index", "commit"):
            self._meter.create_observable_gauge(
                f"figpick.log.{name}",
                [lambda _, name=name: [Observation(control.dump()[name])]],
            )

    async def stop(self):
        """Exports a last time and shuts down, within one second."""
        await asyncio.to_thread(self._provider.shutdown, SHUTDOWN_TIMEOUT_MS)


def make_reader(settings):
    """Returns a reader that exports with OTLP over HTTP.

    :param settings: :class:`~figpick.base._settings.MetricsSettings`.
    :raises MetricsError: when the exporter is not installed.
    """
    try:
        from opentelemetry.exporter.otlp.proto.http.metric_exporter import (
            OTLPMetricExporter,
        )
    except ImportError as error:
        message = "metrics require the OTLP exporter: install figpick[otlp]"
        raise MetricsError(message) from error
    interval_s = settings.get("interval_s", DEFAULT_INTERVAL_S)
    exporter = OTLPMetricExporter(settings["endpoint"])
    return PeriodicExportingMetricReader(exporter, interval_s * 1000)


def _observe_by(label, values):
    return [Observation(value, {label: key}) for key, value in values.items()]

"""Tests the export of metrics to a stub collector."""

import asyncio
import gzip
import subprocess
import sys
import threading
from http.server import BaseHTTPRequestHandler, HTTPServer

from opentelemetry.proto.collector.metrics.v1.metrics_service_pb2 import (
    ExportMetricsServiceRequest,
)
from opentelemetry.sdk.metrics.export import InMemoryMetricReader

from figpick.membership._members import Members
from figpick.roles._compose import Process
from figpick.roles._metrics import Metrics, make_reader

from .test_members import record

SETTINGS = {
    "name": "node-1",
    "region": "region-1",
    "data_center": "dc-1",
    "roles": ["node"],
    "call_address": "127.0.0.1:1",
    "peer_address": "127.0.0.1:2",
    "shared_key": "a key of enough length",
}


def read_points(reader):
    found = {}
    for resource in reader.get_metrics_data().resource_metrics:
        for scope in resource.scope_metrics:
            for metric in scope.metrics:
                for point in metric.data.data_points:
                    labels = tuple(dict(point.attributes).values())
                    found[(metric.name, *labels)] = point.value
    return found


def test_counters_of_a_node_are_read_at_export():
    """Guards against instruments that export the value they had at creation."""
    process = Process(SETTINGS)
    reader = InMemoryMetricReader()
    metrics = Metrics(SETTINGS, reader)
    metrics.add_node(process.node)
    members = Members(record("own"))
    metrics.add_members(members)
    process.node.counters.calls = 7
    process.node.counters.record_refusal("overload")
    members.merge(record("other"))
    found = read_points(reader)
    assert found["figpick.calls.calls",] == 7
    assert found["figpick.calls.refused", "overload"] == 1
    assert found["figpick.members", "ready"] == 2


class StubCollector(BaseHTTPRequestHandler):
    """Accepts OTLP over HTTP and keeps the requests."""

    def do_POST(self):  # noqa: N802
        body = self.rfile.read(int(self.headers["Content-Length"]))
        if self.headers.get("Content-Encoding") == "gzip":
            body = gzip.decompress(body)
        self.server.requests.append(ExportMetricsServiceRequest.FromString(body))
        self.send_response(200)
        self.end_headers()

    def log_message(self, *arguments):
        pass


def test_process_exports_to_a_collector():
    """Guards against an exporter that does not work with the metrics settings."""
    server = HTTPServer(("127.0.0.1", 0), StubCollector)
    server.requests = []
    thread = threading.Thread(target=server.serve_forever, daemon=True)
    thread.start()
    endpoint = f"http://127.0.0.1:{server.server_port}/v1/metrics"
    metrics = Metrics(SETTINGS, make_reader({"endpoint": endpoint, "interval_s": 60}))
    metrics.add_members(Members(record("own")))
    asyncio.run(metrics.stop())
    server.shutdown()
    server.server_close()
    resource = server.requests[0].resource_metrics[0]
    names = [metric.name for metric in resource.scope_metrics[0].metrics]
    assert names == ["figpick.members"]
    attributes = {
        each.key: each.value.string_value for each in resource.resource.attributes
    }
    assert attributes["service.instance.id"] == "node-1"


def test_process_without_metrics_loads_no_exporter():
    """Guards against 15 MB of exporter libraries in nodes that export no metrics."""
    script = (
        "import sys, figpick.roles._compose;"
        "print(any(name.startswith('opentelemetry') for name in sys.modules))"
    )
    command = [sys.executable, "-c", script]
    completed = subprocess.run(command, capture_output=True, text=True, check=True)
    assert completed.stdout.strip() == "False"

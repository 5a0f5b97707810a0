"""Runs the programs in platform/ as separate processes on loopback addresses."""

import os
import random
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.request
from pathlib import Path

import msgspec
import pytest

from bench.soak_endpoints import free_ports

from .test_platform_adapter import COLUMNS, HEARTBEAT

ROOT = Path(__file__).parents[1]
WAIT_TIMEOUT_S = 15.0
# The port for metrics is fixed, so each run of the tests has addresses of its own.
NETWORK = f"127.{random.randint(100, 199)}.{random.randint(1, 250)}"
CONTROL_IP = f"{NETWORK}.2"
NODE_IP = f"{NETWORK}.3"

SETTINGS = """
[self]
nodeName = "{name}"
role = "{role}"
ip = "{ip}"
zone = "z"
region = "r"
service = "s1"
appAddr = "{ip}:{app}"
bootstrap = true
dataDir = "{data}"
[network]
portRange = [{link}, {link}]
seeds = ["{seed}:{control}"]
[network.listen]
outbound = "{ip}:{outbound}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
[terms.bounds]
retryBudgetRatio = 0.2
retryWindowS = 10
graceS = 6
"""


ROUTE = ["r-1", "h.example", "/a/", "idempotent", 1, 1, 0, None, 2, "s1"]
DOCUMENT = {
    "version": "r2",
    "baseVersion": 0,
    "routes": {"columns": COLUMNS, "rows": [ROUTE]},
    "services": {"columns": ["name", "healthPath"], "rows": [["s1", "/health"]]},
    "limits": {},
}


def request(method, url, value=None):
    """Returns status and body of a response; the status is 0 when there is none."""
    body = msgspec.json.encode(value) if value is not None else None
    http_request = urllib.request.Request(url, body, method=method)
    try:
        with urllib.request.urlopen(http_request, timeout=2.0) as response:
            return response.status, response.read()
    except urllib.error.HTTPError as error:
        return error.code, error.read()
    except OSError:
        return 0, b""


def wait_until(condition):
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.05)


@pytest.fixture
def programs(tmp_path):
    """Starts a control process and a node, and yields their ports and processes."""
    port_names = ("app", "link", "outbound", "ready", "control")
    ports = dict(zip(port_names, free_ports(len(port_names)), strict=True))
    process_by_role = {}
    for role, ip in (("control", CONTROL_IP), ("node", NODE_IP)):
        path = tmp_path / f"{role}.toml"
        path.write_text(
            SETTINGS.format(
                name=role,
                role=role,
                ip=ip,
                seed=CONTROL_IP,
                data=tmp_path / "data",
                **ports,
            )
        )
        process_by_role[role] = subprocess.Popen(
            [sys.executable, str(ROOT / "platform" / "run.py"), role],
            env={**os.environ, "FIGPICK_BOOT": str(path)},
            stdout=subprocess.PIPE,
        )
    yield ports, process_by_role
    for process in process_by_role.values():
        if process.poll() is None:
            process.kill()
        process.communicate()


@pytest.mark.processes
def test_programs_start_accept_a_configuration_and_stop(programs):
    """Guards against programs that can be imported but not run."""
    ports, process_by_role = programs
    control_url = f"http://{CONTROL_IP}:{ports['control']}"
    node_url = f"http://{NODE_IP}:{ports['control']}"
    ready_url = f"http://{NODE_IP}:{ports['ready']}/ready"
    wait_until(lambda: request("PUT", f"{control_url}/config", DOCUMENT)[0] == 200)
    assert request("PUT", f"{control_url}/config", DOCUMENT)[0] == 200
    other = {**DOCUMENT, "version": "r9", "baseVersion": "r1"}
    assert request("PUT", f"{control_url}/config", other)[0] == 412
    invalid = {**DOCUMENT, "version": "r9", "baseVersion": "r2", "services": None}
    assert request("PUT", f"{control_url}/config", invalid)[0] == 400
    status, body = request("GET", f"{control_url}/config")
    assert status == 200
    assert msgspec.json.decode(body) == DOCUMENT
    wait_until(lambda: request("GET", ready_url)[0] == 200)
    heartbeat = {**HEARTBEAT, "address": f"{NODE_IP}:{ports['app']}"}
    assert request("PUT", f"{node_url}/instances/i-1", heartbeat)[0] == 200
    assert request("PUT", f"{node_url}/instances/i-2", {"state": "ready"})[0] == 400
    state = msgspec.json.decode(request("GET", f"{node_url}/state")[1])
    assert (state["instance"], state["upstream"]) == ("i-1", "ready")
    assert request("DELETE", f"{node_url}/instances/i-1")[0] == 200
    state = msgspec.json.decode(request("GET", f"{node_url}/state")[1])
    assert state["upstream"] == "draining"
    process_by_role["node"].send_signal(signal.SIGHUP)
    for process in process_by_role.values():
        process.send_signal(signal.SIGTERM)
    for process in process_by_role.values():
        assert process.wait(8.0) == 0

"""Stops of real processes end within the grace time, with a response for each request.

Each test starts the programs in platform/ on loopback addresses.
"""

import contextlib
import os
import random
import signal
import socket
import subprocess
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

import pytest

from bench.soak_endpoints import free_ports

from .test_platform_adapter import COLUMNS, HEARTBEAT
from .test_platform_run import ROOT, SETTINGS, request, wait_until

GRACE_S = 6.0
NETWORK = f"127.{random.randint(100, 199)}.{random.randint(1, 250)}"
CONTROL_IP = f"{NETWORK}.4"
NODE_IP = f"{NETWORK}.5"
PORT_NAMES = ("app", "link", "outbound", "ready", "control")

# Runs a node whose summary task fails as soon as the file named "fail" exists.
FAILING_NODE = """
import asyncio, os, runpy, sys
sys.path[:0] = {folders!r}
from figpick.nodes._summary import Summary

async def fail_when_told(summary):
    while not os.path.exists({flag!r}):
        await asyncio.sleep(0.05)
    raise RuntimeError("the test has told the task to fail")

Summary.run = fail_when_told
runpy.run_path({program!r}, run_name="__main__")
"""

# Runs a program whose interpreter takes longer to exit than its grace time.
SLOW_EXIT = """
import atexit, runpy, sys, time
sys.path.insert(0, {folder!r})
atexit.register(time.sleep, 10.0)
runpy.run_path({program!r}, run_name="__main__")
"""

pytestmark = pytest.mark.processes


class SlowUpstream(ThreadingHTTPServer):
    """An upstream whose responses take longer than the grace time."""

    daemon_threads = True

    def __init__(self, address):
        self.running = threading.Event()
        super().__init__(address, SlowHandler)


class SlowHandler(BaseHTTPRequestHandler):
    def do_GET(self):
        self.server.running.set()
        time.sleep(3 * GRACE_S)

    def log_message(self, *arguments):
        """Writes no lines."""


class Programs:
    """A control process and a node.

    :param folder: folder for the settings and data.
    """

    def __init__(self, folder):
        self._folder = folder
        self.ports = dict(zip(PORT_NAMES, free_ports(len(PORT_NAMES)), strict=True))
        self._processes = []

    def path(self, role):
        """Returns the path of the settings file of a program."""
        return self._folder / f"{role}.toml"

    def settings(self, role):
        """Returns the settings of a program as text."""
        ip = NODE_IP if role == "node" else CONTROL_IP
        fields = {"name": role, "role": role, "ip": ip, "seed": CONTROL_IP}
        data = self._folder / "data"
        return SETTINGS.format(data=data, **fields, **self.ports)

    def start(self, role):
        """Writes the settings of a program, starts it and returns its process."""
        self.path(role).write_text(self.settings(role))
        return self.run(role)

    def run(self, role, arguments=(str(ROOT / "platform" / "run.py"),)):
        """Starts a program with the settings file that exists."""
        process = subprocess.Popen(
            [sys.executable, *arguments, role],
            env={**os.environ, "FIGPICK_BOOT": str(self.path(role))},
            stdout=(self._folder / f"{role}.log").open("wb"),
            stderr=(self._folder / f"{role}.err").open("wb"),
        )
        self._processes.append(process)
        return process

    def log(self, role):
        """Returns what a program has logged."""
        return (self._folder / f"{role}.log").read_text()

    def errors(self, role):
        """Returns what a program has written to its standard error."""
        return (self._folder / f"{role}.err").read_text()

    def configure(self):
        """Puts a configuration and waits until the node may serve requests."""
        row = ["r-1", "h.example", "/a/", "non_idempotent", 20, 1, 0, None, 2, "s1"]
        document = {
            "version": "r2",
            "baseVersion": 0,
            "routes": {"columns": COLUMNS, "rows": [row]},
            "services": {
                "columns": ["name", "healthPath"],
                "rows": [["s1", "/health"]],
            },
            "limits": {},
        }
        url = f"http://{CONTROL_IP}:{self.ports['control']}/config"
        wait_until(lambda: request("PUT", url, document)[0] == 200)
        ready_url = f"http://{NODE_IP}:{self.ports['ready']}/ready"
        wait_until(lambda: request("GET", ready_url)[0] == 200)
        heartbeat = {**HEARTBEAT, "address": f"{NODE_IP}:{self.ports['app']}"}
        url = f"http://{NODE_IP}:{self.ports['control']}/instances/i-1"
        assert request("PUT", url, heartbeat)[0] == 200

    def send_request(self):
        """Sends a request to the node and returns the socket."""
        connection = socket.create_connection((NODE_IP, self.ports["outbound"]))
        connection.settimeout(3 * GRACE_S)
        connection.sendall(
            b"GET /a/1 HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a1\r\n"
            b"Deadline-Ms: 20000\r\n\r\n"
        )
        return connection

    def stop(self):
        """Kills what still runs."""
        for process in self._processes:
            if process.poll() is None:
                process.kill()
            process.wait()


@pytest.fixture
def programs(tmp_path):
    programs = Programs(tmp_path)
    with contextlib.closing(SlowUpstream((NODE_IP, programs.ports["app"]))) as upstream:
        upstream.close = upstream.server_close
        threading.Thread(target=upstream.serve_forever, daemon=True).start()
        programs.upstream = upstream
        yield programs
        programs.stop()
        upstream.shutdown()


def read_all(connection):
    data = b""
    while part := connection.recv(65536):
        data += part
    return data


@pytest.mark.parametrize("frozen_s", [0.0, 3.0])
def test_node_with_an_endless_request_exits_in_time_and_responds(programs, frozen_s):
    """Guards against a process that is killed at the end of the grace time.

    The signal may arrive while the process does not run.
    """
    programs.start("control")
    node = programs.start("node")
    programs.configure()
    with programs.send_request() as connection:
        assert programs.upstream.running.wait(5.0)
        if frozen_s:
            time.sleep(1.2)
            node.send_signal(signal.SIGSTOP)
        started = time.monotonic()
        node.send_signal(signal.SIGTERM)
        if frozen_s:
            time.sleep(frozen_s)
            node.send_signal(signal.SIGCONT)
        response = read_all(connection)
    assert node.wait(3 * GRACE_S) == 0
    assert time.monotonic() - started < GRACE_S
    assert response.startswith(b"HTTP/1.1 502 ")


def test_node_that_is_frozen_during_its_stop_exits_in_time_and_responds(programs):
    """Guards against an exit before the last responses have been written."""
    programs.start("control")
    node = programs.start("node")
    programs.configure()
    with programs.send_request() as connection:
        assert programs.upstream.running.wait(5.0)
        started = time.monotonic()
        node.send_signal(signal.SIGTERM)
        time.sleep(1.0)
        node.send_signal(signal.SIGSTOP)
        time.sleep(4.2)
        node.send_signal(signal.SIGCONT)
        response = read_all(connection)
    assert node.wait(3 * GRACE_S) == 0
    assert time.monotonic() - started < GRACE_S
    assert response.startswith(b"HTTP/1.1 502 ")


def test_signals_during_a_stop_do_not_disturb_it(programs):
    """Guards against a second stop or unreadable settings that break a stop."""
    programs.start("control")
    node = programs.start("node")
    programs.configure()
    with programs.send_request() as connection:
        assert programs.upstream.running.wait(5.0)
        started = time.monotonic()
        node.send_signal(signal.SIGTERM)
        programs.path("node").write_text("[self")
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP):
            time.sleep(0.5)
            node.send_signal(number)
        response = read_all(connection)
    assert node.wait(3 * GRACE_S) == 0
    assert time.monotonic() - started < GRACE_S
    assert response.startswith(b"HTTP/1.1 502 ")
    assert "Settings cannot be read" in programs.log("node")


@pytest.mark.parametrize("role", ["control", "node"])
@pytest.mark.parametrize("after_s", [0.05, 0.25, 0.45, 0.7, 1.0])
def test_program_that_is_stopped_while_it_starts_exits_in_time(programs, role, after_s):
    """Guards against a signal that is lost before its handler is installed."""
    process = programs.start(role)
    time.sleep(after_s)
    started = time.monotonic()
    process.send_signal(signal.SIGTERM)
    assert process.wait(3 * GRACE_S) in (0, -signal.SIGTERM)
    assert time.monotonic() - started < GRACE_S


@pytest.mark.parametrize("role", ["control", "node"])
def test_program_that_has_stopped_does_not_wait_for_its_interpreter(programs, role):
    """Guards against processes that are killed at the end of their grace time."""
    folder = ROOT / "platform"
    code = SLOW_EXIT.format(folder=str(folder), program=str(folder / "run.py"))
    programs.path(role).write_text(programs.settings(role))
    process = programs.run(role, ("-c", code))
    wait_until(lambda: " starts." in programs.log(role))
    started = time.monotonic()
    process.send_signal(signal.SIGTERM)
    assert process.wait(3 * GRACE_S) == 0
    assert time.monotonic() - started < GRACE_S
    assert "stop" in programs.log(role).splitlines()[-1]


@pytest.mark.parametrize("role", ["control", "node"])
def test_reload_signal_does_not_end_a_program_that_starts(programs, role):
    """Guards against the default action of a signal that has no handler yet."""
    process = programs.start(role)
    maps = Path(f"/proc/{process.pid}/maps")
    # The event loop is loaded before the program can install a handler.
    wait_until(lambda: "uvloop" in maps.read_text())
    process.send_signal(signal.SIGHUP)
    wait_until(lambda: process.poll() is not None or " starts." in programs.log(role))
    assert process.poll() is None


@pytest.mark.parametrize("role", ["control", "node"])
def test_settings_that_change_while_a_program_reads_them_are_read_again(programs, role):
    """Guards against a reload signal that is lost before its handler is installed."""
    text = programs.settings(role)
    os.mkfifo(programs.path(role))
    process = programs.run(role)
    with programs.path(role).open("w") as pipe:
        process.send_signal(signal.SIGHUP)
        programs.path(role).unlink()
        programs.path(role).write_text(text)
        pipe.write(text)
    wait_until(lambda: process.poll() is not None or "reloaded" in programs.log(role))
    assert process.poll() is None


def test_node_whose_component_fails_responds_before_it_ends(programs):
    """Guards against a failure that cuts the requests that are running."""
    programs.start("control")
    flag = programs.path("fail")
    code = FAILING_NODE.format(
        folders=[str(ROOT / "platform"), str(ROOT / "src")],
        program=str(ROOT / "platform" / "run.py"),
        flag=str(flag),
    )
    programs.path("node").write_text(programs.settings("node"))
    node = programs.run("node", ("-c", code))
    programs.configure()
    with programs.send_request() as connection:
        assert programs.upstream.running.wait(5.0)
        flag.touch()
        response = read_all(connection)
    assert node.wait(3 * GRACE_S) == 1
    assert response.startswith(b"HTTP/1.1 502 ")
    assert "RestartLimitError" in programs.errors("node")

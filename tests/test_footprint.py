"""Tests which libraries a node does not load."""

import subprocess
import sys

import pytest

SCRIPT = """
import sys
from figpick.roles import _footprint
settings = {"roles": sys.argv[1].split(",")}
if len(sys.argv) > 2:
    settings["metrics"] = {"endpoint": "https://127.0.0.1:1"}
_footprint.omit_unused_libraries(settings)
import figpick.roles._compose
import uvloop
loop = uvloop.new_event_loop()
loop.run_until_complete(__import__("asyncio").sleep(0))
print("_ssl" in sys.modules)
"""


@pytest.mark.processes
@pytest.mark.parametrize(
    ("arguments", "loaded"),
    [(["node"], "False"), (["node,control"], "True"), (["node", "metrics"], "True")],
)
def test_only_a_plain_node_leaves_out_openssl(arguments, loaded):
    """Guards against an import of OpenSSL, which would add 5 MB to each node."""
    command = [sys.executable, "-c", SCRIPT, *arguments]
    completed = subprocess.run(command, capture_output=True, text=True, check=True)
    assert completed.stdout.strip() == loaded

"""Tests nodes, as separate processes, while no control process replies."""

import asyncio
import sys

import msgspec
import pytest

from bench.cluster import Cluster, ServiceSpec, wait_for

from .test_whole_path import document

PARTS = ServiceSpec(
    document("parts"), [{"prefix": "/", "service_ms": 1}], host_count=2, slots=10
)


def add_seed(cluster, name, address):
    path = cluster.folder / f"{name}.json"
    settings = msgspec.json.decode(path.read_bytes())
    settings["seeds"] = [address]
    path.write_bytes(msgspec.json.encode(settings))


async def call_new_service(cluster, host):
    await cluster.put(document("late"), 0)
    headers = {"Host": "late"}
    response = await cluster.client.request(host.call_address, "GET", "/", headers)
    # The node knows the document, but no upstream has announced itself.
    assert (response.status, response.outcome) == (503, "not-run")


@pytest.mark.processes
def test_node_restarted_without_control_process_serves_unconfirmed_documents():
    """Guards against calls that fail because no control process is running."""

    async def scenario():
        async with Cluster([PARTS]) as cluster:
            first, second = cluster.hosts
            control = cluster.controls[0]["name"]
            await call_new_service(cluster, first)
            versions = (await cluster.state(first.peer_address))["node"]["documents"]
            add_seed(cluster, second.name, first.peer_address)
            cluster.kill(control)
            cluster.kill(second.name)
            cluster.start(second.name)

            async def serves():
                response = await cluster.client.request(
                    second.call_address, "GET", "/", {"Host": "parts"}, timeout_s=2
                )
                return response.status == 200

            await wait_for(serves, 15.0)
            state = await cluster.state(second.peer_address)
            assert state["node"]["documents"] == {"parts": versions["parts"]}
            assert state["documents"]["confirmed"] is False

            async def knows_age():
                # A peer sends the age in the first exchange of gossip.
                state = await cluster.state(second.peer_address)
                return (state["gossip"]["control_heard_s_ago"] or 0.0) > 0.5

            await wait_for(knows_age, 5.0)
            cluster.start(control)

            async def confirmed():
                state = await cluster.state(second.peer_address)
                return state["documents"]["confirmed"]

            await wait_for(confirmed, 15.0)

    asyncio.run(scenario())


@pytest.mark.processes
def test_process_whose_component_keeps_failing_exits_with_1(tmp_path):
    """Guards against a process that keeps running without one of its components."""

    async def scenario():
        path = tmp_path / "node.json"
        settings = {
            "name": "node-1",
            "region": "region-1",
            "data_center": "dc-1",
            "roles": ["node"],
            "call_address": "127.0.0.1:0",
            "peer_address": "127.0.0.1:0",
            "shared_key": "a key of enough length",
        }
        path.write_bytes(msgspec.json.encode(settings))
        code = (
            "import sys; from figpick.operators import _cli;"
            "from figpick.roles import _node;"
            "_node.Node.renew_permits = None; _cli.main(['run', sys.argv[1]])"
        )
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-c", code, str(path), stderr=asyncio.subprocess.PIPE
        )
        _, errors = await asyncio.wait_for(process.communicate(), 30.0)
        assert process.returncode == 1
        assert "The process ends: node failed" in errors.decode()

    asyncio.run(scenario())

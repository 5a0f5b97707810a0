"""Operator commands against three control processes."""

import asyncio
import json

import pytest

from bench.cluster import KEY, free_address
from bench.control_cluster import ControlCluster
from bench.schedules import make_document
from figpick.base._files import Files
from figpick.consensus._consensus_core import Output
from figpick.consensus._consensus_messages import Entry
from figpick.consensus._storage import Storage
from figpick.operators import _cli


def run_command(capsys, *arguments):
    """Runs the command line and returns its exit code and output."""
    code = 0
    try:
        _cli.main(list(arguments))
    except SystemExit as error:
        code = error.code
    captured = capsys.readouterr()
    return code, captured.out, captured.err


@pytest.mark.parametrize(
    "arguments",
    [
        ("get", "parts", "--at=localhost"),
        ("get", "parts", "--at=10.0.0.1:9101,nowhere"),
        ("members", "add", "control-4", "nowhere"),
        ("put", "missing.json", "--base=0"),
        ("check", "missing.json"),
    ],
)
def test_bad_arguments_are_refused_without_a_process(capsys, arguments):
    """Guards against invalid arguments that are found only after sending a request."""
    code, _, error = run_command(capsys, *arguments)
    assert code == 2
    assert "Traceback" not in error and error


@pytest.mark.processes
def test_operator_commands_from_quorum_to_no_quorum(capsys, tmp_path, monkeypatch):
    """Guards against three faults in the operator commands.

    A change must not be lost or applied twice when the leader changes, a control
    process with a replaced disk must become a voter, and reads must not be stale.
    """
    monkeypatch.setenv("FIGPICK_KEY", KEY)
    path = tmp_path / "parts.json"
    path.write_text(json.dumps(make_document("parts", 1)))

    async def scenario():
        async with ControlCluster(1) as cluster:
            addresses = list(cluster.addresses.values())

            async def command(*arguments, at=addresses):
                options = (*arguments, f"--at={','.join(at)}")
                return await asyncio.to_thread(run_command, capsys, *options)

            put = ("put", str(path), "--base=0", "--change=a")
            first = await command(*put)
            leader = await cluster.leader()
            cluster.kill(leader)
            retried = await command(*put)
            assert first[0] == retried[0] == 0 and first[1] == retried[1]
            version = json.loads(first[1])["version"]
            conflict = await command("put", str(path), "--base=0", "--change=b")
            assert conflict[0] == 3
            assert json.loads(conflict[1])["current"]["version"] == version

            cluster.erase_disk(leader)
            cluster.start(leader)
            add = ("members", "add", leader, cluster.relay_address(leader))
            assert (await command(*add))[0] == 1
            assert (await command("members", "remove", leader))[0] == 0
            code, output, _ = await command(*add)
            assert code == 0 and leader in json.loads(output)["voters"]
            assert (await command("get", "none"))[0] == 1

            others = [name for name in cluster.names if name != leader]
            cluster.kill(others[0])
            code, output, _ = await command("history", "parts")
            assert [each["change"] for each in json.loads(output)] == ["a"]
            cluster.kill(others[1])
            code, _, error = await command("get", "parts")
            assert code == 5 and "no quorum" in error
            assert (await command("state", at=[cluster.addresses[leader]]))[0] == 0

    asyncio.run(scenario())


def test_damaged_log_is_refused_with_file_and_offset(capsys, tmp_path):
    """Guards against a start that silently drops accepted changes."""
    folder = tmp_path / "data"
    storage = Storage(Files(str(folder)))
    storage.create("control-1#1")
    for index in (1, 2):
        entry = Entry(index, 1, "command", {"text": "x" * 100})
        storage.write(Output(None, None, (entry,), index, (), (), ()))
    log = folder / "log"
    data = bytearray(log.read_bytes())
    data[len(data) // 2] ^= 1
    log.write_bytes(data)
    address = free_address()
    settings = {
        "name": "control-1",
        "region": "region-1",
        "data_center": "dc-1",
        "roles": ["control"],
        "peer_address": address,
        "control": [{"name": "control-1", "address": address}],
        "data_folder": str(folder),
        "shared_key": KEY,
    }
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(settings))
    code, _, error = run_command(capsys, "run", str(path))
    assert code == 1
    assert f"{log}: damaged record at byte offset " in error
    assert "Traceback" not in error

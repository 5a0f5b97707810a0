"""Numbers that have more than 64 bits."""

import asyncio
import sys
from pathlib import Path

import msgspec
import pytest

from figpick.configuration import VersionConflictError
from figpick.exceptions import InvalidDocumentError
from figpick.links._frames import FrameError, FrameReader, encode_frame

from .control_processes import Controls, change
from .fleet import async_test, wait_until
from .test_platform_adapter import document

sys.path.append(str(Path(__file__).parents[1] / "platform"))

from adapter import documents, reports  # noqa: E402

TIME_STAMP = 20261204195737123456


@async_test
async def test_version_of_more_than_64_bits_is_accepted(tmp_path):
    """Guards against control processes that end, since a message has no such number."""
    first, second = change(TIME_STAMP, 0), change(TIME_STAMP + 10**30, TIME_STAMP)
    async with Controls(tmp_path) as controls:
        for process in controls.processes:
            assert await controls.put(process, first) == TIME_STAMP
        for process in controls.processes:
            assert await controls.put(process, second) == TIME_STAMP + 10**30
            with pytest.raises(VersionConflictError) as refused:
                await controls.put(process, change(TIME_STAMP + 1, TIME_STAMP))
            assert refused.value.current == {"version": TIME_STAMP + 10**30}
        assert not any(task.done() for task in controls._tasks)
        await controls.kill()
        controls.start()
        await wait_until(
            lambda: any(each.member.is_leader for each in controls.processes)
        )
        for process in controls.processes:
            async with asyncio.timeout(4.0):
                assert (await process.read()).version == TIME_STAMP + 10**30


@pytest.mark.parametrize(
    "number", [0, 2**63, 2**64 - 1, 2**64, -(2**63), -(2**63) - 1, 10**4000]
)
def test_messages_have_numbers_of_any_size(number):
    message = ["kind", number, [number, {"key": [number, None, "text", 0.5, b"x"]}]]
    assert FrameReader().feed(encode_frame(message)) == [message]
    assert FrameReader().feed(encode_frame(tuple(message))) == [message]


@pytest.mark.parametrize(("code", "data"), [(1, b"x"), (1, b""), (2, b"1")])
def test_unknown_extension_is_not_a_valid_frame(code, data):
    payload = msgspec.msgpack.encode(["kind", msgspec.msgpack.Ext(code, data)])
    with pytest.raises(FrameError):
        FrameReader().feed(len(payload).to_bytes(4, "big") + payload)


def test_version_of_a_document_may_be_long():
    body = document(version=f"r{10**3999}", baseVersion=f"r{TIME_STAMP}")
    configuration = documents.parse(body)
    assert configuration.version == 10**3999
    assert configuration.base == TIME_STAMP


@pytest.mark.parametrize(
    "version", ["r-1", "r+5", "r1_0", "r 5", "r", "r٣", "r" + "9" * 4001, "5", 5]
)
def test_version_that_is_not_a_number_is_rejected(version):
    """Guards against a version below zero, and against an error without a response."""
    with pytest.raises(InvalidDocumentError):
        documents.parse(document(version=version))


@pytest.mark.parametrize("name", ["slots", "sequence", "born"])
def test_heartbeat_with_a_number_above_64_bits_is_rejected(name):
    """Guards against a node that cannot send its record."""
    fields = {
        "service": "s1",
        "address": "10.0.0.1:80",
        "slots": 5,
        "state": "ready",
        "sequence": 1,
        name: 2**64,
    }
    with pytest.raises(reports.InvalidHeartbeatError):
        reports.parse("i-1", msgspec.json.encode(fields))

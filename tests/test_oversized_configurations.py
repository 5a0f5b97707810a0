"""Configurations that are larger than a message between processes."""

import base64
import os
import sys
from pathlib import Path

import pytest

from figpick.configuration import check_size
from figpick.configuration._commands import MAX_DOCUMENT_BYTES
from figpick.consensus._consensus_messages import Append, Entry, encode
from figpick.consensus._consensus_replication import BATCH_LIMIT_BYTES
from figpick.control import _messages
from figpick.links._frames import FrameReader, encode_frame

from .control_processes import change
from .test_platform_run import (  # noqa: F401
    CONTROL_IP,
    DOCUMENT,
    programs,
    request,
    wait_until,
)

sys.path.append(str(Path(__file__).parents[1] / "platform"))


def test_largest_document_and_a_batch_fit_into_a_message():
    """Guards against a leader whose members close the link at each of its messages."""
    largest = change(2, 1)._replace(document="x" * MAX_DOCUMENT_BYTES)
    assert not check_size(largest)
    assert check_size(largest._replace(document=largest.document + "x"))
    other = largest._replace(document="x" * BATCH_LIMIT_BYTES)
    entries = tuple(
        Entry(index, 1, "command", each._asdict())
        for index, each in enumerate((other, largest), 1)
    )
    fields = encode(Append("a", "b", 1, 0, 0, entries))
    message = _messages.encode(_messages.QuorumMessage("append", fields))
    assert len(FrameReader().feed(encode_frame(message))) == 1


@pytest.mark.processes
def test_configuration_that_no_message_holds_is_refused(programs):  # noqa: F811
    """Guards against an operator that sends it for ever and gets no clear response."""
    ports, _ = programs
    address = f"http://{CONTROL_IP}:{ports['control']}/config"
    noise = base64.b64encode(os.urandom(9_000_000)).decode()
    wait_until(lambda: request("GET", address)[0] == 503)
    status, body = request("PUT", address, {**DOCUMENT, "comment": noise})
    assert status == 400
    assert b"bytes after compression" in body
    wait_until(lambda: request("PUT", address, DOCUMENT)[0] == 200)

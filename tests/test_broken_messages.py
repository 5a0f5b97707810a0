"""Messages and requests that cannot be handled."""

import asyncio

import pytest

from figpick.base._clock import Clock
from figpick.control import ControlSettings
from figpick.control._quorum_member import QuorumMember
from figpick.exceptions import NoQuorumError
from figpick.links import Link
from figpick.links._frames import encode_frame

from .control_processes import change


class Transport:
    is_aborted = False

    def set_write_buffer_limits(self, high):
        pass

    def abort(self):
        self.is_aborted = True


@pytest.mark.parametrize("message", [[], {}, 7, "ping", None])
def test_broken_message_closes_its_link_only(message):
    """Guards against an exception of the event loop for a message of a broken peer."""
    closed = []
    link = Link(lambda *_: None, closed.append, Clock())
    transport = Transport()
    link.connection_made(transport)
    link.data_received(encode_frame(message))
    assert closed == [link]
    assert transport.is_aborted


@pytest.mark.parametrize("request_name", ["propose", "confirm"])
def test_request_without_a_usable_disk_reports_no_quorum(tmp_path, request_name):
    """Guards against an error that operators take for a refusal."""
    settings = ControlSettings("a", "dc-1", ("127.0.0.1", 1), (), False, str(tmp_path))
    member = QuorumMember(settings, Clock(), lambda *_: None, lambda: None)

    arguments = (change(1, 0),) if request_name == "propose" else ()
    with pytest.raises(NoQuorumError):
        asyncio.run(getattr(member, request_name)(*arguments))

"""The results that an owner keeps for callers whose link was lost."""

from types import SimpleNamespace

from figpick.nodes import _owner_links
from figpick.nodes._messages import FAILED, NOT_RUN, RESPONSE
from figpick.nodes._owner import Owner

PEER = ("node-0", 7)


def make_owner():
    settings = SimpleNamespace(headers=None, upstream_address=("127.0.0.1", 1))
    clock = SimpleNamespace(monotonic=lambda: 0.0)
    return Owner(settings, clock, None, None, None, None)


def test_call_whose_result_is_forgotten_is_not_reported_as_not_run():
    """Guards against a second run of a call that is not idempotent."""
    owner = make_owner()
    replies = []
    link = SimpleNamespace(send=replies.append)
    for number in range(1, _owner_links.MAX_FINISHED_CALLS + 2):
        owner._remember_result((PEER, number), None)
    owner.attach(link, PEER, [1, 2, number + 1])
    assert [reply[:2] for reply in replies] == [
        (FAILED, 1),
        (FAILED, 2),
        (NOT_RUN, number + 1),
    ]


def test_results_for_closed_links_are_bounded_in_bytes():
    """Guards against responses that pile up while the links to callers are closed."""
    owner = make_owner()
    link = SimpleNamespace(is_open=False)
    call = SimpleNamespace(is_idempotent=True)
    body = bytes(64 * 1024)
    for number in range(1, 200):
        execution = SimpleNamespace(
            peer=PEER, number=number, link=link, call=call, is_streaming=False
        )
        message = (RESPONSE, number, 200, b"", len(body), body, True)
        owner._keep_result(execution, message)
    kept = [message for message in owner._finished.values() if message is not None]
    assert sum(len(message[5]) for message in kept) <= _owner_links.MAX_KEPT_BYTES
    # The latest results are still there.
    assert owner._finished[PEER, 199] is not None

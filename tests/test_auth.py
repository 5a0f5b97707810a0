"""Tests of signatures, replays and key rotation."""

import hmac

import pytest

from figpick.base._errors import AuthenticationError
from figpick.messaging._auth import VALIDITY_WINDOW_S, Authenticator

OLD, NEW = "an old key of enough length", "a new key of enough length"
MESSAGE = ("POST", "/peer/gossip", b"{}")


def test_key_rotation_refuses_no_messages():
    """Guards against refused messages while only some hosts sign with the new key."""
    old, both, new = (
        Authenticator(OLD, [NEW]),
        Authenticator(NEW, [OLD]),
        Authenticator(NEW),
    )
    both.verify(old.sign(*MESSAGE, 0.0), *MESSAGE, 0.0)
    old.verify(both.sign(*MESSAGE, 0.0), *MESSAGE, 0.0)
    new.verify(both.sign(*MESSAGE, 0.0), *MESSAGE, 0.0)
    assert both.previous_key_count == 1
    with pytest.raises(AuthenticationError):
        new.verify(old.sign(*MESSAGE, 0.0), *MESSAGE, 0.0)


def test_replayed_altered_and_late_messages_are_refused_and_counted():
    """Guards against messages that an attacker recorded or modified."""
    sender, receiver = Authenticator(OLD), Authenticator(OLD)
    value = sender.sign(*MESSAGE, 100.0)
    receiver.verify(value, *MESSAGE, 100.0)
    late = sender.sign(*MESSAGE, 100.0)
    altered = sender.sign(*MESSAGE, 100.0)
    cases = [
        (value, MESSAGE, 101.0),
        (value, MESSAGE, 100.0 + VALIDITY_WINDOW_S),
        (late, MESSAGE, 100.0 + VALIDITY_WINDOW_S + 0.1),
        (late, MESSAGE, 100.0 - VALIDITY_WINDOW_S - 0.1),
        (altered, ("POST", "/peer/gossip", b"[]"), 100.0),
        (altered, ("POST", "/peer/put", b"{}"), 100.0),
        (None, MESSAGE, 100.0),
        ("1;nan;0;x", MESSAGE, 100.0),
        ("é;1;1;é", MESSAGE, 100.0),
    ]
    for header, message, now in cases:
        with pytest.raises(AuthenticationError):
            receiver.verify(header, *message, now)
    assert receiver.refused_count == len(cases)


def test_mac_is_hmac_sha256():
    """Guards against a MAC that other implementations cannot compute."""
    for key in (OLD, "a long key " * 20):
        value = Authenticator(key).sign(*MESSAGE, 1.5)
        key_id, seconds, nonce, mac = value.split(";")
        text = f"POST /peer/gossip {seconds} {nonce} ".encode() + b"{}"
        assert mac == hmac.digest(key.encode(), text, "sha256").hex()
        assert seconds == "1.500"

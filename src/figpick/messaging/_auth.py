"""Signatures on messages between processes and from operators."""

import random
from hashlib import sha256
from hmac import compare_digest

from ..base._errors import AuthenticationError

HEADER = "Figpick-Auth"
WINDOW_S = 30.0
KEY_ID_DIGITS = 8
BLOCK_BYTES = 64


class Authenticator:
    """Signs messages with the shared key and verifies them.

    Keys are rotated in three steps, each on all hosts before the next: accept the
    new key as a previous key, sign with it, drop the old key.

    :param shared_key: text of the key that signs.
    :param previous_keys: texts of further keys that are accepted.
    """

    def __init__(self, shared_key, previous_keys=()):
        self.key = shared_key.encode()
        self._own = _Key(self.key)
        previous = [_Key(text.encode()) for text in previous_keys]
        self._keys = {key.key_id: key for key in [*previous, self._own]}
        self._nonces = set()
        self._previous_nonces = set()
        self._rotated_at = 0.0
        self.accepted_count = 0
        self.previous_key_count = 0
        self.refused_count = 0

    def sign(self, method, path, body, now):
        """Makes the header value for a message.

        :param now: seconds since the epoch.
        """
        nonce = f"{random.getrandbits(64):016x}"
        seconds = f"{now:.3f}"
        mac = _mac(self._own, method, path, seconds, nonce, body)
        return f"{self._own.key_id};{seconds};{nonce};{mac}"

    def verify(self, value, method, path, body, now):
        """Checks the header value of a message.

        :param value: header value, or ``None`` when absent.
        :param now: seconds since the epoch.
        :raises AuthenticationError: when the message is not signed with an
            accepted key, is outside the window of 30 s, or was seen before.
        """
        try:
            key_id, seconds, nonce, mac = (value or "").split(";")
            sent_at = float(seconds)
            number = int(nonce, 16)
        except ValueError:
            self._refuse("the message is not signed")
        key = self._keys.get(key_id)
        if key is None:
            self._refuse("the key of the signature is not known")
        expected = _mac(key, method, path, seconds, nonce, body)
        if not compare_digest(expected.encode(), mac.encode()):
            self._refuse("the signature does not match the shared key")
        if not abs(now - sent_at) <= WINDOW_S:
            self._refuse("the message is older or newer than 30 s")
        self._rotate(now)
        if number in self._nonces or number in self._previous_nonces:
            self._refuse("the message was sent before")
        self._nonces.add(number)
        self.accepted_count += 1
        self.previous_key_count += key_id != self._own.key_id

    def dump(self):
        """Gives the counts as a dict."""
        return {
            "accepted": self.accepted_count,
            "accepted_with_previous_key": self.previous_key_count,
            "refused": self.refused_count,
        }

    def _rotate(self, now):
        # A message may be accepted for 2 * WINDOW_S, counted from the earliest
        # to the latest clock, so two generations of that length are kept.
        if now - self._rotated_at > 2 * WINDOW_S:
            self._previous_nonces = self._nonces
            self._nonces = set()
            self._rotated_at = now

    def _refuse(self, message):
        self.refused_count += 1
        raise AuthenticationError(message)


class _Key:
    """A key prepared for HMAC-SHA256 (RFC 2104).

    The two padded keys are hashed once, which takes half of the time of
    :func:`hmac.digest` without OpenSSL.
    """

    def __init__(self, key):
        if len(key) > BLOCK_BYTES:
            key = sha256(key).digest()
        padded = key.ljust(BLOCK_BYTES, b"\0")
        self._inner = sha256(bytes(byte ^ 0x36 for byte in padded))
        self._outer = sha256(bytes(byte ^ 0x5C for byte in padded))
        # A digest under a fixed text tells keys apart without revealing them.
        self.key_id = self.mac(b"key id")[:KEY_ID_DIGITS]

    def mac(self, data):
        """Gives the code of a message as hex digits."""
        inner = self._inner.copy()
        inner.update(data)
        outer = self._outer.copy()
        outer.update(inner.digest())
        return outer.hexdigest()


def _mac(key, method, path, seconds, nonce, body):
    return key.mac(f"{method} {path} {seconds} {nonce} ".encode() + body)

"""Signatures of messages from other processes and operators."""

import random
from hashlib import sha256
from hmac import compare_digest

from ..base._errors import AuthenticationError

HEADER = "Figpick-Auth"
VALIDITY_WINDOW_S = 30.0
KEY_ID_DIGITS = 8
SHA256_BLOCK_BYTES = 64


class Authenticator:
    """Signs and verifies messages with shared keys.

    Keys are rotated in three steps, each completed on all hosts before the next:
    accept the new key as a previous key, sign with the new key, remove the old key.

    :param shared_key: key string used for signing.
    :param previous_keys: further key strings that are accepted.
    """

    def __init__(self, shared_key, previous_keys=()):
        self.key = shared_key.encode()
        self._signing_key = _Key(self.key)
        previous = [_Key(text.encode()) for text in previous_keys]
        self._keys = {key.key_id: key for key in [*previous, self._signing_key]}
        self._nonces = set()
        self._previous_nonces = set()
        self._nonces_rotated_at = 0.0
        self.accepted_count = 0
        self.previous_key_count = 0
        self.refused_count = 0

    def sign(self, method, path, body, now):
        """Returns the signature header value for a message.

        :param now: seconds since the epoch.
        """
        nonce = f"{random.getrandbits(64):016x}"
        seconds = f"{now:.3f}"
        mac = _mac(self._signing_key, method, path, seconds, nonce, body)
        return f"{self._signing_key.key_id};{seconds};{nonce};{mac}"

    def verify(self, value, method, path, body, now):
        """Verifies the signature header value of a message.

        :param value: header value, or ``None`` when absent.
        :param now: seconds since the epoch.
        :raises AuthenticationError: when the message is not signed with an
            accepted key, its time differs by more than 30 s, or it is a replay.
        """
        try:
            key_id, seconds, nonce, mac = (value or "").split(";")
            sent_at = float(seconds)
            nonce_value = int(nonce, 16)
        except ValueError:
            self._refuse("the message is not signed")
        key = self._keys.get(key_id)
        if key is None:
            self._refuse("the key of the signature is not known")
        expected = _mac(key, method, path, seconds, nonce, body)
        if not compare_digest(expected.encode(), mac.encode()):
            self._refuse("the signature does not match the shared key")
        if not abs(now - sent_at) <= VALIDITY_WINDOW_S:
            self._refuse("the message is older or newer than 30 s")
        self._rotate_nonces(now)
        if nonce_value in self._nonces or nonce_value in self._previous_nonces:
            self._refuse("the message was sent before")
        self._nonces.add(nonce_value)
        self.accepted_count += 1
        self.previous_key_count += key_id != self._signing_key.key_id

    def dump(self):
        """Returns the counts as a dict."""
        return {
            "accepted": self.accepted_count,
            "accepted_with_previous_key": self.previous_key_count,
            "refused": self.refused_count,
        }

    def _rotate_nonces(self, now):
        # A message stays valid for up to 2 * VALIDITY_WINDOW_S when its sender's
        # clock is ahead, so two generations of nonces of that length are kept.
        if now - self._nonces_rotated_at > 2 * VALIDITY_WINDOW_S:
            self._previous_nonces = self._nonces
            self._nonces = set()
            self._nonces_rotated_at = now

    def _refuse(self, message):
        self.refused_count += 1
        raise AuthenticationError(message)


class _Key:
    """Precomputed HMAC-SHA256 key (RFC 2104).

    The inner and outer padded keys are hashed once, so that a digest takes half the
    time of :func:`hmac.digest` without OpenSSL.
    """

    def __init__(self, key):
        if len(key) > SHA256_BLOCK_BYTES:
            key = sha256(key).digest()
        padded = key.ljust(SHA256_BLOCK_BYTES, b"\0")
        self._inner = sha256(bytes(byte ^ 0x36 for byte in padded))
        self._outer = sha256(bytes(byte ^ 0x5C for byte in padded))
        # The MAC of a constant identifies a key without revealing it.
        self.key_id = self.mac(b"key id")[:KEY_ID_DIGITS]

    def mac(self, data):
        """Returns the MAC of a message as hex digits."""
        inner = self._inner.copy()
        inner.update(data)
        outer = self._outer.copy()
        outer.update(inner.digest())
        return outer.hexdigest()


def _mac(key, method, path, seconds, nonce, body):
    return key.mac(f"{method} {path} {seconds} {nonce} ".encode() + body)

"""Signatures on messages between processes and from operators."""

import hmac
import random

from ._errors import AuthenticationError

HEADER = "Figpick-Auth"
WINDOW_S = 30.0
KEY_ID_DIGITS = 8


class Authenticator:
    """Signs messages with the shared key and verifies them.

    Keys are rotated in three steps, each on all hosts before the next: accept the
    new key as a previous key, sign with it, drop the old key.

    :param shared_key: text of the key that signs.
    :param previous_keys: texts of further keys that are accepted.
    """

    def __init__(self, shared_key, previous_keys=()):
        self.key = shared_key.encode()
        self._key_id = _key_id(self.key)
        accepted = [self.key, *(text.encode() for text in previous_keys)]
        self._keys = {_key_id(key): key for key in accepted}
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
        mac = _mac(self.key, method, path, seconds, nonce, body)
        return f"{self._key_id};{seconds};{nonce};{mac}"

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
        if not hmac.compare_digest(expected.encode(), mac.encode()):
            self._refuse("the signature does not match the shared key")
        if not abs(now - sent_at) <= WINDOW_S:
            self._refuse("the message is older or newer than 30 s")
        self._rotate(now)
        if number in self._nonces or number in self._previous_nonces:
            self._refuse("the message was sent before")
        self._nonces.add(number)
        self.accepted_count += 1
        self.previous_key_count += key_id != self._key_id

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


def _key_id(key):
    # A digest under a fixed text tells keys apart without revealing them.
    return hmac.digest(key, b"key id", "sha256").hex()[:KEY_ID_DIGITS]


def _mac(key, method, path, seconds, nonce, body):
    head = f"{method} {path} {seconds} {nonce} ".encode()
    return hmac.digest(key, head + body, "sha256").hex()

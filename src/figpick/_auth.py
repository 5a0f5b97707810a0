"""Signatures on messages between processes and from operators."""

import hmac
import random

from ._errors import AuthenticationError

HEADER = "Figpick-Auth"
WINDOW_S = 30.0
KEY_ID = "1"


class Authenticator:
    """Signs and verifies messages with the shared key.

    :param shared_key: text of the key.
    """

    def __init__(self, shared_key):
        self.key = shared_key.encode()
        self._nonces = set()
        self._previous_nonces = set()
        self._rotated_at = 0.0
        self.refused_count = 0

    def sign(self, method, path, body, now):
        """Makes the header value for a message.

        :param now: seconds since the epoch.
        """
        nonce = f"{random.getrandbits(64):016x}"
        seconds = f"{now:.3f}"
        mac = self._mac(method, path, seconds, nonce, body)
        return f"{KEY_ID};{seconds};{nonce};{mac}"

    def verify(self, value, method, path, body, now):
        """Checks the header value of a message.

        :param value: header value, or ``None`` when absent.
        :param now: seconds since the epoch.
        :raises AuthenticationError: when the message is not signed with the
            shared key, is outside the window of 30 s, or was seen before.
        """
        try:
            key_id, seconds, nonce, mac = (value or "").split(";")
            sent_at = float(seconds)
        except ValueError:
            self._refuse("the message is not signed")
        expected = self._mac(method, path, seconds, nonce, body)
        if key_id != KEY_ID or not hmac.compare_digest(expected, mac):
            self._refuse("the signature does not match the shared key")
        if not abs(now - sent_at) <= WINDOW_S:
            self._refuse("the message is older or newer than 30 s")
        self._rotate(now)
        if nonce in self._nonces or nonce in self._previous_nonces:
            self._refuse("the message was sent before")
        self._nonces.add(nonce)

    def _mac(self, method, path, seconds, nonce, body):
        head = f"{method} {path} {seconds} {nonce} ".encode()
        return hmac.digest(self.key, head + body, "sha256").hex()

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

"""Idempotency keys: UUIDv7 (RFC 9562) carries the time of its creation."""

import random
import uuid
from hashlib import blake2b

KEY_HASH_BYTES = 12


def new_key(now):
    """Makes a UUIDv7.

    :param now: seconds since the epoch.
    :return: text of the UUID.
    """
    value = int(now * 1000) << 80
    value |= 0x7 << 76 | random.getrandbits(12) << 64
    value |= 0b10 << 62 | random.getrandbits(62)
    return str(uuid.UUID(int=value))


def created_at(key):
    """Reads the creation time of a key.

    :return: seconds since the epoch, or ``None`` unless it is a UUIDv7.
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if str(parsed) != key.lower() or parsed.version != 7:
        return None
    return (parsed.int >> 80) / 1000


def key_hash(service, method, target, key):
    """Identifies a keyed request of a service.

    :return: 24 hex digits.
    """
    # Some applications write a UUID in upper case when they send it again.
    key = key.lower() if created_at(key) is not None else key
    text = "\0".join((service, method, target, key))
    return blake2b(text.encode(), digest_size=KEY_HASH_BYTES).hexdigest()

"""Idempotency keys; a UUIDv7 (RFC 9562) contains its creation time."""

import random
import uuid
from hashlib import blake2b

KEY_HASH_BYTES = 12


def new_key(now):
    """Returns a new UUIDv7.

    :param now: seconds since the epoch.
    :return: UUID as a string.
    """
    value = int(now * 1000) << 80
    value |= 0x7 << 76 | random.getrandbits(12) << 64
    value |= 0b10 << 62 | random.getrandbits(62)
    return str(uuid.UUID(int=value))


def created_at(key):
    """Returns the creation time of a key.

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
    """Returns the hash that identifies a keyed request of a service.

    :return: 24 hex digits.
    """
    # Some applications write the UUID in upper case in a retry.
    key = key.lower() if created_at(key) is not None else key
    text = "\0".join((service, method, target, key))
    return blake2b(text.encode(), digest_size=KEY_HASH_BYTES).hexdigest()

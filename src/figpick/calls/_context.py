"""The signed context that calls pass from a root request to its nested calls.

An application copies the header unchanged to the calls that it makes. The
signature prevents callers from raising their own importance, deadline or number
of retries.
"""

import hmac
import random
from hashlib import blake2b
from typing import NamedTuple

CONTEXT_HEADER = "Figpick-Context"
MAC_BYTES = 12
HASH_BUCKETS = 10_000
MAX_CALL_DEPTH = 32


class CallContext(NamedTuple):
    """The context that a call inherits from its root request.

    :param root_id: 16 hex digits.
    :param execution_id: 16 hex digits; the execution to which the context was sent.
    :param route_id: route of that execution, 8 hex digits.
    :param importance: importance of the root request, 0 to 9.
    :param hash_bucket: 0 to 9999; orders root requests of the same importance.
    :param deadline_ms: deadline in milliseconds since the epoch.
    :param depth: depth in the call tree, 1 for the root request.
    :param root_node_address: peer address of the node that received the root
        request and grants its retries.
    """

    root_id: str
    execution_id: str
    route_id: str
    importance: int
    hash_bucket: int
    deadline_ms: int
    depth: int
    root_node_address: str

    @property
    def priority(self):
        """Importance plus a fraction from the hash bucket, from 0 to below 10.

        Calls of lower priority are refused first.
        """
        return self.importance + self.hash_bucket / HASH_BUCKETS


def new_id():
    """Returns a random id of 16 hex digits."""
    return f"{random.getrandbits(64):016x}"


def hash_bucket(value):
    """Returns the stable hash bucket of an id, 0 to 9999."""
    digest = blake2b(value.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big") % HASH_BUCKETS


def encode(context, key):
    """Encodes and signs a context.

    :param context: :class:`CallContext`.
    :param key: shared key, bytes.
    :return: header value.
    """
    text = ";".join(map(str, context))
    return f"{text};{_mac(text, key)}"


def decode(value, key):
    """Verifies and decodes the header value that came with a call.

    :param value: header value.
    :param key: shared key, bytes.
    :return: :class:`CallContext`, or ``None`` when the signature is not
        valid or fields are missing.
    """
    text, _, mac = value.rpartition(";")
    if not value.isascii() or not hmac.compare_digest(_mac(text, key), mac):
        return None
    fields = text.split(";")
    if len(fields) != len(CallContext._fields):
        return None
    (
        root_id,
        execution_id,
        route_id,
        importance,
        bucket,
        deadline,
        depth,
        root_node_address,
    ) = fields
    return CallContext(
        root_id,
        execution_id,
        route_id,
        int(importance),
        int(bucket),
        int(deadline),
        int(depth),
        root_node_address,
    )


def _mac(text, key):
    return blake2b(text.encode(), digest_size=MAC_BYTES, key=key[:64]).hexdigest()

"""The signed context that a call carries down the chain.

An application copies the header unchanged onto the calls it makes. The
signature keeps callers from raising their own importance, deadline or retries.
"""

import hmac
import random
from hashlib import blake2b
from typing import NamedTuple

CONTEXT_HEADER = "Figpick-Context"
MAC_BYTES = 12
HASH_STEPS = 10_000
MAX_DEPTH = 32


class CallContext(NamedTuple):
    """What a call inherits from its root request.

    :param root_id: 16 hex digits.
    :param execution_id: 16 hex digits; the execution that carries the context.
    :param route_id: route of that execution, 8 hex digits.
    :param importance: 0 to 9, of the root request.
    :param hash_step: 0 to 9999; the root's place within its importance.
    :param deadline_ms: milliseconds since the epoch.
    :param depth: 1 for the call that enters the graph.
    :param root_node_address: peer address of the node that keeps the root's retry ledger.
    """

    root_id: str
    execution_id: str
    route_id: str
    importance: int
    hash_step: int
    deadline_ms: int
    depth: int
    root_node_address: str

    @property
    def priority(self):
        """Importance plus hash, 0 to below 10; higher is refused later."""
        return self.importance + self.hash_step / HASH_STEPS


def new_id():
    """Makes a random id of 16 hex digits."""
    return f"{random.getrandbits(64):016x}"


def hash_step(text):
    """Maps an id to a stable step of 0 to 9999."""
    digest = blake2b(text.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big") % HASH_STEPS


def encode(context, key):
    """Encodes and signs a context.

    :param context: :class:`CallContext`.
    :param key: shared key, bytes.
    :return: header value.
    """
    text = ";".join(map(str, context))
    return f"{text};{_mac(text, key)}"


def decode(value, key):
    """Decodes a header value.

    :param value: header value from a caller.
    :param key: shared key, bytes.
    :return: :class:`CallContext`, or ``None`` when the value is not valid.
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
        step,
        deadline,
        depth,
        root_node_address,
    ) = fields
    return CallContext(
        root_id,
        execution_id,
        route_id,
        int(importance),
        int(step),
        int(deadline),
        int(depth),
        root_node_address,
    )


def _mac(text, key):
    return blake2b(text.encode(), digest_size=MAC_BYTES, key=key[:64]).hexdigest()

"""Digests of the view of members, by bucket."""

from hashlib import blake2b
from zlib import crc32

from ._members import INACTIVE_STATES

BUCKETS = 64
# JSON readers in other languages keep integers up to 53 bits exact.
DIGEST_BYTES = 6


class ViewDigest:
    """Digest of all member records, kept up to date with each change.

    Records of members that have left or failed do not count: processes forget
    them at different times.
    """

    def __init__(self):
        self._buckets = [0] * BUCKETS
        self._hashes = {}
        self._total = 0

    @property
    def total(self):
        """Number that is equal at processes with the same view."""
        return self._total

    @property
    def buckets(self):
        """Digests by bucket."""
        return self._buckets

    def update(self, member):
        """Takes a changed record.

        :param member: :class:`~figpick.membership._members.Member`.
        """
        change = self._hashes.pop(member.name, 0)
        if member.state not in INACTIVE_STATES:
            digest = self._hashes[member.name] = _hash(member)
            change ^= digest
        self._buckets[bucket(member.name)] ^= change
        self._total ^= change

    def differing(self, buckets):
        """Lists the buckets whose digests differ from those of a peer.

        :param buckets: digests of the peer, by bucket.
        """
        pairs = zip(self._buckets, buckets, strict=False)
        return [index for index, (own, other) in enumerate(pairs) if own != other]


def bucket(name):
    """Gives the bucket of a member."""
    return crc32(name.encode()) % BUCKETS


def _hash(member):
    text = f"{member.name} {member.order}".encode()
    return int.from_bytes(blake2b(text, digest_size=DIGEST_BYTES).digest())

"""Digests of the member view, by bucket."""

from hashlib import blake2b
from zlib import crc32

from ._members import INACTIVE_STATES

BUCKET_COUNT = 64
# 48 bits: JSON parsers of other languages keep integers exact up to 53 bits.
DIGEST_BYTES = 6


class ViewDigest:
    """Digest of all member records, updated with each change.

    Records of members that have left or failed are excluded, because processes
    forget them at different times.
    """

    def __init__(self):
        self._buckets = [0] * BUCKET_COUNT
        self._hashes = {}
        self._total = 0

    @property
    def total(self):
        """Digest of the whole view; equal at processes with the same view."""
        return self._total

    @property
    def buckets(self):
        """Digests by bucket."""
        return self._buckets

    def update(self, member):
        """Updates the digest with a changed record.

        :param member: :class:`~figpick.membership._members.Member`.
        """
        change = self._hashes.pop(member.name, 0)
        if member.state not in INACTIVE_STATES:
            digest = self._hashes[member.name] = _hash(member)
            change ^= digest
        self._buckets[bucket_of(member.name)] ^= change
        self._total ^= change

    def differing_buckets(self, buckets):
        """Returns the buckets whose digests differ from those of a peer.

        :param buckets: digests of the peer, by bucket.
        """
        pairs = zip(self._buckets, buckets, strict=False)
        return [index for index, (own, other) in enumerate(pairs) if own != other]


def bucket_of(name):
    """Returns the bucket index of a member name."""
    return crc32(name.encode()) % BUCKET_COUNT


def _hash(member):
    text = f"{member.name} {member.order}".encode()
    return int.from_bytes(blake2b(text, digest_size=DIGEST_BYTES).digest())

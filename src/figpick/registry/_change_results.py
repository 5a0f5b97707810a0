"""Results of changes, kept permanently in 24 bytes each."""

from hashlib import blake2b
from struct import Struct

DIGEST_BYTES = 16
# Digest of the change id, log index, service number, 1 for a conflict.
RECORD_FORMAT = Struct(f">{DIGEST_BYTES}sIHH")
INDEX_LIMIT = 1 << 32


class ChangeResults:
    """Maps change ids to log index, service number and whether it was a conflict.

    Records are kept sorted in one block of bytes, since a dict of all records would
    need five times the memory. Recent records stay in a dict until :meth:`encode`.

    :param block: result of :meth:`encode`.
    """

    def __init__(self, block=b""):
        self._block = bytes(block)
        self._recent = {}

    def __len__(self):
        return len(self._block) // RECORD_FORMAT.size + len(self._recent)

    def get(self, change_id):
        """Returns the result of a change.

        :return: tuple of log index, service number and whether it was a conflict,
            or ``None``.
        """
        digest = _digest(change_id)
        found = self._recent.get(digest)
        return found or self._search(digest)

    def add(self, change_id, index, service_number, conflict):
        """Adds the result of a change."""
        self._recent[_digest(change_id)] = (index, service_number, conflict)

    def encode(self):
        """Returns all records as bytes, sorted by digest."""
        if self._recent:
            self._block = b"".join(self._merge_recent())
            self._recent = {}
        return self._block

    def _merge_recent(self):
        # Few records are new, so the block is sliced only at their positions.
        start = 0
        for digest, fields in sorted(self._recent.items()):
            end = self._count_before(digest) * RECORD_FORMAT.size
            yield self._block[start:end]
            yield RECORD_FORMAT.pack(digest, *fields)
            start = end
        yield self._block[start:]

    def _search(self, digest):
        offset = self._count_before(digest) * RECORD_FORMAT.size
        if offset == len(self._block):
            return None
        found, index, number, conflict = RECORD_FORMAT.unpack_from(self._block, offset)
        return (index, number, bool(conflict)) if found == digest else None

    def _count_before(self, digest):
        """Returns the number of sorted records before a digest."""
        low = 0
        high = len(self._block) // RECORD_FORMAT.size
        while low < high:
            middle = (low + high) // 2
            start = middle * RECORD_FORMAT.size
            if self._block[start : start + DIGEST_BYTES] < digest:
                low = middle + 1
            else:
                high = middle
        return low


def _digest(change_id):
    return blake2b(change_id.encode(), digest_size=DIGEST_BYTES).digest()

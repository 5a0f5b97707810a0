"""Answers to changes, kept permanently in 24 bytes each."""

from hashlib import blake2b
from struct import Struct

DIGEST_BYTES = 16
# Digest of the change id, log index, number of the service, 1 for a conflict.
RECORD = Struct(f">{DIGEST_BYTES}sIHH")
INDEX_LIMIT = 1 << 32


class ChangeResults:
    """Log index, service number and outcome by change id.

    Records are kept sorted in one block of bytes; recent ones wait in a dict,
    since a dict of all would need five times the memory.

    :param block: encoded records.
    """

    def __init__(self, block=b""):
        self._block = bytes(block)
        self._recent = {}

    def __len__(self):
        return len(self._block) // RECORD.size + len(self._recent)

    def get(self, change_id):
        """Finds the answer to a change.

        :return: tuple of log index, service number and whether it was a conflict,
            or ``None``.
        """
        digest = _digest(change_id)
        found = self._recent.get(digest)
        return found or self._search(digest)

    def add(self, change_id, index, service_number, conflict):
        """Keeps the answer to a change."""
        self._recent[_digest(change_id)] = (index, service_number, conflict)

    def encode(self):
        """Gives all records as bytes, sorted by digest."""
        if self._recent:
            self._block = b"".join(self._merged())
            self._recent = {}
        return self._block

    def _merged(self):
        # Few records are new, so the block is cut only where they belong.
        start = 0
        for digest, fields in sorted(self._recent.items()):
            end = self._position(digest) * RECORD.size
            yield self._block[start:end]
            yield RECORD.pack(digest, *fields)
            start = end
        yield self._block[start:]

    def _search(self, digest):
        offset = self._position(digest) * RECORD.size
        if offset == len(self._block):
            return None
        found, index, number, conflict = RECORD.unpack_from(self._block, offset)
        return (index, number, bool(conflict)) if found == digest else None

    def _position(self, digest):
        """Gives the number of records before a digest."""
        low = 0
        high = len(self._block) // RECORD.size
        while low < high:
            middle = (low + high) // 2
            start = middle * RECORD.size
            if self._block[start : start + DIGEST_BYTES] < digest:
                low = middle + 1
            else:
                high = middle
        return low


def _digest(change_id):
    return blake2b(change_id.encode(), digest_size=DIGEST_BYTES).digest()

"""The log file of a control process."""

import os
import zlib

import msgspec

from ._errors import StorageError


class LogFile:
    """Appends records with a checksum and syncs them.

    :param folder: data folder.
    """

    def __init__(self, folder):
        os.makedirs(folder, exist_ok=True)
        self._path = os.path.join(folder, "log")
        self._file = open(self._path, "a+b")  # noqa: SIM115

    def read(self):
        """Reads every record.

        :return: list of JSON values.
        :raises StorageError: when a record does not match its checksum.
        """
        self._file.seek(0)
        records = []
        for line in self._file:
            checksum, _, data = line.rstrip(b"\n").partition(b" ")
            if zlib.crc32(data) != int(checksum, 16):
                raise StorageError(f"{self._path}: record {len(records)} is damaged")
            records.append(msgspec.json.decode(data))
        return records

    def append(self, record):
        """Writes one record and syncs it."""
        data = msgspec.json.encode(record)
        self._file.write(b"%08x %s\n" % (zlib.crc32(data), data))
        self._file.flush()
        os.fsync(self._file.fileno())

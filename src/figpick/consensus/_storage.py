"""Durable state of a control process: a log file and a snapshot file.

A file is a sequence of lines, each with a CRC-32, a length and a JSON list of
records. A line is synced before the next one is written, so only the last line can
be incomplete after a crash.
"""

import zlib
from base64 import b64decode, b64encode
from typing import NamedTuple

import msgspec

from ..base._errors import StorageError
from ._consensus_messages import (
    NO_SNAPSHOT,
    Entry,
    Membership,
    Snapshot,
    StoredState,
    VoteState,
)

LOG = "log"
SNAPSHOT = "snapshot"
FORMAT = 1
SECTOR_BYTES = 512
CHECKSUM_BYTES = 8


class Header(NamedTuple):
    """First record of a log file.

    :param identity: identity of the process and its disk.
    :param base_index: index before the first entry of the file.
    :param base_term: term of the entry at that index.
    :param format: version of the file format.
    """

    identity: str
    base_index: int = 0
    base_term: int = 0
    format: int = FORMAT


class Storage:
    """Stores the log, the vote and the snapshot of a process.

    :param files: :class:`~figpick.base._files.Files`.
    :raises StorageError: when the folder is in use by another process.
    """

    def __init__(self, files):
        self._files = files
        self._identity = None
        self._state = VoteState(0, None)
        self._commit_index = 0
        self._log_bytes = 0
        files.lock()

    @property
    def identity(self):
        """Identity of the process and its disk, ``None`` before the first start."""
        return self._identity

    @property
    def log_bytes(self):
        """Size of the log file in bytes."""
        return self._log_bytes

    @property
    def commit_index(self):
        """Commit index in the log file."""
        return self._commit_index

    def load(self):
        """Loads the durable state.

        :return: :class:`~figpick.consensus._consensus_messages.StoredState`, or
            ``None`` when the folder is new.
        :raises StorageError: when a file is damaged.
        """
        snapshot = self._load_snapshot()
        records = self._read_lines(LOG)
        # A process that was killed before its sync leaves records that the next loss of
        # power may take back.
        for name in (SNAPSHOT, LOG):
            self._call_files(self._files.sync, name)
        if not records:
            if snapshot is not NO_SNAPSHOT:
                raise StorageError(f"{self._files.path(LOG)}: missing or empty")
            return None
        header = self._read_header(records[0])
        self._identity = header.identity
        entries = _entries_after(snapshot, header, self._replay(records[1:]))
        if header.base_index < snapshot.index:
            self._rewrite(Header(self._identity, *snapshot[:2]), entries)
        elif header.base_index > snapshot.index:
            path = self._files.path(SNAPSHOT)
            raise StorageError(f"{path}: missing or older than the log")
        return StoredState(self._state, snapshot, entries, self._commit_index)

    def create(self, identity, entries=(), state=None):
        """Creates the log in a new folder.

        :param identity: identity of the process and its disk.
        :param entries: first entries of the log.
        :param state: first :class:`VoteState`, or ``None`` for the default.
        :raises StorageError: when the log cannot be written.
        """
        self._identity = identity
        self._state = state or self._state
        self._rewrite(Header(identity), entries)

    def write(self, output):
        """Writes and syncs the records of an output.

        The commit index is added only to records that must be written anyway; see
        :meth:`write_commit_index`.

        :param output: :class:`~figpick.consensus._consensus_core.Output`.
        :raises StorageError: when a write or sync fails; the content of the disk is
            then unknown, and no further writes are allowed.
        """
        records = []
        if output.state is not None:
            self._state = output.state
            records.append(["state", *output.state])
        records.extend(["entry", *entry] for entry in output.entries)
        if records:
            self._commit_index = max(self._commit_index, output.commit_index)
            records.append(["commit", self._commit_index])
            self._append(records)

    def write_commit_index(self, index):
        """Writes and syncs the commit index alone.

        :param index: last index known to be committed.
        :raises StorageError: as for :meth:`write`.
        """
        self._commit_index = index
        self._append([["commit", index]])

    def save_snapshot(self, snapshot, entries):
        """Replaces the snapshot and drops the entries that it covers.

        :param snapshot: :class:`Snapshot`.
        :param entries: entries after the snapshot.
        :raises StorageError: when a write or sync fails.
        """
        record = [
            snapshot.index,
            snapshot.term,
            snapshot.members,
            b64encode(snapshot.data).decode(),
        ]
        line = _format_line([record])
        self._call_files(self._files.replace, SNAPSHOT, line)
        header = Header(self._identity, snapshot.index, snapshot.term)
        self._rewrite(header, entries)

    def _append(self, records):
        line = _format_line(records)
        self._call_files(self._files.append, LOG, line)
        self._log_bytes += len(line)

    def _rewrite(self, header, entries):
        records = [
            ["header", *header],
            ["state", *self._state],
            ["commit", self._commit_index],
        ]
        records.extend(["entry", *entry] for entry in entries)
        line = _format_line(records)
        self._call_files(self._files.replace, LOG, line)
        self._log_bytes = len(line)

    def _call_files(self, operation, name, *values):
        try:
            operation(name, *values)
        except OSError as error:
            path = self._files.path(name)
            message = f"{path}: cannot be written: {error.strerror or error}"
            raise StorageError(message) from error

    def _load_snapshot(self):
        records = self._read_lines(SNAPSHOT, may_be_torn=False)
        if not records:
            return NO_SNAPSHOT
        index, term, members, data = records[0]
        return Snapshot(index, term, Membership(*members), b64decode(data))

    def _read_header(self, record):
        path = self._files.path(LOG)
        if record[0] != "header":
            raise StorageError(f"{path}: the first record is not a header")
        header = Header(*record[1:])
        if header.format > FORMAT:
            raise StorageError(f"{path}: written by a newer release")
        return header

    def _replay(self, records):
        entries = []
        for kind, *fields in records:
            if kind == "state":
                self._state = VoteState(*fields)
            elif kind == "commit":
                self._commit_index = fields[0]
            elif kind == "entry":
                entry = Entry(*fields)
                while entries and entries[-1].index >= entry.index:
                    entries.pop()
                entries.append(entry)
        return entries

    def _read_lines(self, name, may_be_torn=True):
        data = self._files.read(name) or b""
        records = []
        offset = 0
        while offset < len(data):
            end = data.find(b"\n", offset)
            payload = None if end < 0 else _parse_line(data[offset:end])
            if payload is None:
                self._check_torn(name, data, offset, may_be_torn)
                self._call_files(self._files.truncate, name, offset)
                break
            records.extend(msgspec.json.decode(payload))
            offset = end + 1
        if name == LOG:
            self._log_bytes = offset
        return records

    def _check_torn(self, name, data, offset, may_be_torn):
        tail = data[offset:]
        lines = tail.split(b"\n")
        has_valid_line_after = any(_parse_line(line) is not None for line in lines[1:])
        if has_valid_line_after or not may_be_torn or not _is_torn(tail, offset):
            path = self._files.path(name)
            raise StorageError(f"{path}: damaged record at byte offset {offset}")


def _format_line(records):
    payload = msgspec.json.encode(records)
    return b"%08x %d %s\n" % (zlib.crc32(payload), len(payload), payload)


def _parse_line(line):
    checksum, _, rest = line.partition(b" ")
    size, _, payload = rest.partition(b" ")
    try:
        is_valid = (
            len(checksum) == CHECKSUM_BYTES
            and len(payload) == int(size)
            and zlib.crc32(payload) == int(checksum, 16)
        )
    except ValueError:
        return None
    return payload if is_valid else None


def _is_torn(tail, offset):
    """Returns whether the last line was being written when the power was lost.

    An interrupted write lacks its end or leaves sectors of zeros; its first and last
    sector hold other data, too. A complete line with a wrong checksum was synced and
    then damaged.

    :param tail: bytes from the start of the line.
    :param offset: position of the line in the file.
    """
    if not tail.endswith(b"\n"):
        return True
    first_end = SECTOR_BYTES - offset % SECTOR_BYTES
    starts = (0, *range(first_end, len(tail), SECTOR_BYTES))
    ends = (*starts[1:], len(tail))
    return any(
        not any(tail[start:end]) for start, end in zip(starts, ends, strict=True)
    )


def _entries_after(snapshot, header, entries):
    """Returns the entries that follow a snapshot.

    A crash between the renames of the two files leaves a log that starts before
    the snapshot. Its entries after the snapshot are valid only if it contains the
    last entry that the snapshot covers.
    """
    if header.base_index == snapshot.index and header.base_term == snapshot.term:
        return tuple(entries)
    terms = {entry.index: entry.term for entry in entries}
    if terms.get(snapshot.index) != snapshot.term:
        return ()
    return tuple(entry for entry in entries if entry.index > snapshot.index)

"""Durable state of a control process in a real folder."""

import os

import pytest

from figpick.base._errors import StorageError
from figpick.base._files import Files
from figpick.consensus._consensus_core import Output
from figpick.consensus._consensus_messages import (
    NO_MEMBERS,
    Entry,
    Snapshot,
    VoteState,
)
from figpick.consensus._storage import SECTOR_BYTES, Storage


def output(*entries, state=None):
    return Output(None, state, entries, entries[-1].index, (), (), ())


def entry(index, term=1):
    return Entry(index, term, "command", {"text": "x" * 600, "number": index})


def reopen(folder):
    storage = Storage(Files(str(folder)))
    return storage.load()


@pytest.fixture
def folder(tmp_path):
    storage = Storage(Files(str(tmp_path)))
    assert storage.load() is None
    storage.create("a#1")
    for index in range(1, 6):
        storage.write(output(entry(index), state=VoteState(index, "a#1")))
    return tmp_path


def test_entries_and_vote_survive_a_restart(folder):
    """Guards against a second vote in the same term after a restart."""
    stored = reopen(folder)
    assert stored.state == VoteState(5, "a#1")
    assert stored.entries == tuple(entry(index) for index in range(1, 6))


def test_commit_index_is_stored_with_the_next_entry(tmp_path):
    """Guards against a restart that forgets which entries are committed."""
    storage = Storage(Files(str(tmp_path)))
    storage.load()
    storage.create("a#1")
    storage.write(output(entry(1)))
    storage.write(output(entry(2))._replace(commit_index=1))
    assert reopen(tmp_path).commit_index == 1


@pytest.mark.parametrize("cut", [1, 7, 300, 650])
def test_torn_tail_is_truncated(folder, cut):
    """Guards against a start that fails after a power loss during a write."""
    log = folder / "log"
    log.write_bytes(log.read_bytes()[:-cut])
    assert len(reopen(folder).entries) == 4
    assert len(reopen(folder).entries) == 4


@pytest.mark.parametrize("name", ["log", "snapshot"])
def test_damage_names_file_and_offset(folder, name):
    """Guards against entries that are silently lost when a sector is damaged."""
    storage = Storage(Files(str(folder)))
    storage.load()
    storage.save_snapshot(Snapshot(2, 1, NO_MEMBERS, b"x" * 900), [entry(3)])
    storage.write(output(entry(4)))
    path = folder / name
    data = bytearray(path.read_bytes())
    data[120] ^= 1
    path.write_bytes(data)
    with pytest.raises(StorageError) as raised:
        reopen(folder)
    assert str(path) in str(raised.value) and "offset 0" in str(raised.value)


def test_crash_between_snapshot_and_log_loses_no_entry(folder, monkeypatch):
    """Guards against a log that does not match the snapshot after a crash."""
    storage = Storage(Files(str(folder)))
    storage.load()
    monkeypatch.setattr(storage, "_rewrite", lambda header, entries: None)
    storage.save_snapshot(Snapshot(3, 1, NO_MEMBERS, b"state"), [entry(4), entry(5)])
    stored = reopen(folder)
    assert stored.snapshot.data == b"state"
    assert stored.entries == (entry(4), entry(5))
    assert reopen(folder) == stored


def test_replaced_entries_do_not_return(folder):
    """Guards against entries of a former leader that reappear after a restart."""
    storage = Storage(Files(str(folder)))
    storage.load()
    storage.write(output(entry(3, term=2)))
    assert [each.term for each in reopen(folder).entries] == [1, 1, 2]


def test_folder_is_locked_against_other_processes(folder):
    """Guards against two processes that write to the same log."""
    files = Files(str(folder))
    files.lock()
    child = os.fork()
    if child == 0:
        try:
            Files(str(folder)).lock()
        except StorageError:
            os._exit(7)
        os._exit(0)
    assert os.waitstatus_to_exitcode(os.waitpid(child, 0)[1]) == 7


def test_start_syncs_what_it_read(folder, monkeypatch):
    """Guards against a power loss that takes back records of a killed process."""
    synced = []

    def record(descriptor):
        synced.append(os.path.realpath(f"/proc/self/fd/{descriptor}"))

    monkeypatch.setattr(os, "fsync", record)
    monkeypatch.setattr(os, "fdatasync", record)
    reopen(folder)
    assert {str(folder / "log"), str(folder)} <= set(synced)


@pytest.mark.parametrize("sector", [0, 1])
def test_lost_sector_of_the_last_line_is_torn(folder, sector):
    """Guards against a start that fails because a line began within a sector."""
    log = folder / "log"
    data = bytearray(log.read_bytes())
    start = data.rindex(b"\n", 0, -1) + 1
    boundary = start - start % SECTOR_BYTES + SECTOR_BYTES
    assert 0 < boundary - start < SECTOR_BYTES and boundary < len(data)
    end = min(boundary + SECTOR_BYTES, len(data))
    part = (start, boundary) if sector == 0 else (boundary, end)
    data[slice(*part)] = bytes(part[1] - part[0])
    log.write_bytes(data)
    assert len(reopen(folder).entries) == 4

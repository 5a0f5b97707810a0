"""Restores a quorum from one disk after a majority of the voters is lost for good.

The control processes must not run. The chosen disk becomes the only voter; changes that
it does not hold are lost. All other control processes must start with empty disks:
one that still counts the former voters could lead a second quorum.
"""

from typing import NamedTuple

from ..base._errors import FigpickError
from ..base._files import Files
from ._consensus_core import Output
from ._consensus_log import Log
from ._consensus_messages import MEMBERS, Entry, Membership, VoteState
from ._formation import name_of
from ._storage import Storage


class NoLogError(FigpickError):
    """A data folder holds no log from which a quorum can be restored."""


class DiskState(NamedTuple):
    """Content of the disk of a control process.

    Of several disks, the one with the highest ``last_term``, and then the highest
    ``last_index``, holds the most changes.

    :param identity: identity of the process and its disk.
    :param last_term: term of the last entry of the log.
    :param last_index: index of that entry.
    :param voters: names of the voters that the log names.
    """

    identity: str
    last_term: int
    last_index: int
    voters: list


def inspect(folder):
    """Reads the state of a disk; the process must not run.

    :param folder: data folder.
    :return: :class:`DiskState`.
    :raises NoLogError: when the folder holds no log.
    :raises StorageError: when the folder is damaged or in use.
    """
    return _inspect(*_load(Storage(Files(folder))))


def recover(folder):
    """Makes the process of a disk the only voter of its quorum.

    :param folder: data folder.
    :return: :class:`DiskState` before the change.
    :raises NoLogError: when the folder holds no log of a member.
    :raises StorageError: when the folder is damaged, in use or cannot be written.
    """
    return recover_storage(Storage(Files(folder)))


def recover_storage(storage):
    """Does the same as :func:`recover` with a storage that is not loaded yet."""
    identity, stored, log = _load(storage)
    address = log.members.addresses.get(identity)
    if address is None:
        raise NoLogError(f"{identity} is not a member by its own log")
    term = max(stored.state.term, log.last_term) + 1
    members = Membership({identity: address}, {})
    entry = Entry(log.last_index + 1, term, MEMBERS, members._asdict())
    state = VoteState(term, None)
    storage.write(Output(None, state, (entry,), entry.index, (), (), ()))
    return _inspect(identity, stored, log)


def _load(storage):
    stored = storage.load()
    log = Log(stored.snapshot, stored.entries) if stored else None
    if log is None or not log.last_index:
        raise NoLogError("the folder holds no log")
    return storage.identity, stored, log


def _inspect(identity, stored, log):
    voters = sorted(map(name_of, log.members.voters))
    return DiskState(identity, log.last_term, log.last_index, voters)

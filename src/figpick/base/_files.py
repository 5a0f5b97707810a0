"""File operations for durable state.

Tests replace :class:`Files` to inject write errors and lost writes.
"""

import fcntl
import os

from ._errors import StorageError
from ._logs import logger

log = logger("files")

# Lock files by process id and path. A lock ends when the process closes any descriptor
# of its file, so the file is opened once, also if the folder is opened again.
_lock_files = {}


class Files:
    """Reads and writes the files of a data folder; file names are relative to it.

    :param folder: data folder, created if missing.
    :raises StorageError: when the folder cannot be created.
    """

    def __init__(self, folder):
        self._folder = folder
        self._open_files = {}
        try:
            os.makedirs(folder, exist_ok=True)
        except OSError as error:
            raise StorageError(f"{folder}: {error.strerror}") from error

    def path(self, name):
        """Returns the path of a file, for error messages."""
        return os.path.join(self._folder, name)

    def lock(self):
        """Locks the folder until the process exits.

        :raises StorageError: when another process holds the lock.
        """
        path = self.path("lock")
        key = os.getpid(), os.path.realpath(path)
        if key in _lock_files:
            return
        try:
            file = open(path, "wb")  # noqa: SIM115
        except OSError as error:
            raise StorageError(f"{path}: {error.strerror}") from error
        try:
            fcntl.lockf(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            file.close()
            raise StorageError(f"{path}: locked by another process") from error
        _lock_files[key] = file

    def read(self, name):
        """Returns the content of a file, or ``None`` if it does not exist.

        :raises StorageError: when the file cannot be read.
        """
        path = self.path(name)
        try:
            with open(path, "rb") as file:
                return file.read()
        except FileNotFoundError:
            return None
        except OSError as error:
            raise StorageError(f"{path}: {error.strerror}") from error

    def append(self, name, data):
        """Appends bytes to a file and syncs it.

        :raises OSError: when not all bytes can be written or the sync fails.
        """
        file = self._open_files.get(name)
        if file is None:
            file = self._open_files[name] = open(  # noqa: SIM115
                self.path(name), "ab", buffering=0
            )
        written = file.write(data)
        if written != len(data):
            raise OSError(0, f"wrote {written} of {len(data)} bytes")
        os.fdatasync(file.fileno())

    def truncate(self, name, size):
        """Truncates a file to a size and syncs it."""
        with open(self.path(name), "r+b") as file:
            file.truncate(size)
            os.fsync(file.fileno())

    def sync(self, name):
        """Syncs a file and its entry in the folder; does nothing if it does not exist.

        :raises OSError: when the sync fails.
        """
        try:
            with open(self.path(name), "rb") as file:
                os.fsync(file.fileno())
        except FileNotFoundError:
            return
        self._sync_folder()

    def replace(self, name, data):
        """Replaces the content of a file atomically.

        The new content is written to a temporary file and synced. The file is then
        renamed and the folder synced. On a full disk, a temporary file that is not
        complete would take the room that other files need.
        """
        path = self.path(name)
        try:
            with open(f"{path}.new", "wb") as file:
                file.write(data)
                file.flush()
                os.fsync(file.fileno())
        except OSError:
            self._remove(f"{path}.new")
            raise
        if name in self._open_files:
            self._open_files.pop(name).close()
        os.rename(f"{path}.new", path)
        self._sync_folder()

    def _remove(self, path):
        try:
            os.unlink(path)
        except OSError as error:
            log.info("A temporary file stays.", extra={"reason": str(error)})

    def _sync_folder(self):
        folder = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

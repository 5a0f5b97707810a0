"""The replicated state: the newest configuration and the digests of accepted ones."""

from typing import NamedTuple

import msgspec

from ..base._errors import ConflictError

LOGGED_DIGEST_LENGTH = 12

# Decisions of :meth:`ConfigurationRegistry.decide`.
ACCEPTED = "accepted"
NEW = "new"
CONFLICT = "conflict"


class VersionConflictError(ConflictError):
    """A configuration is not based on the current version."""


class ChangeSet(NamedTuple):
    """A configuration as an entry of the replicated log.

    :param version: version number that the operator assigned.
    :param base: version on which it is based.
    :param digest: digest of its content, by which a retry is recognised.
    :param document: the operator's document, compressed and encoded in base 64.
    """

    version: int
    base: int
    digest: str
    document: str

    def log_fields(self):
        """Returns the fields that identify the change set in log lines, as a dict."""
        return {
            "version": self.version,
            "base": self.base,
            "digest": self.digest[:LOGGED_DIGEST_LENGTH],
        }


class ConfigurationRegistry:
    """Applies committed change sets in log order."""

    def __init__(self):
        self._current = None
        self._revision = 0
        self._accepted = {}

    def __repr__(self):
        return f"<ConfigurationRegistry {self.version} at {self._revision}>"

    @property
    def current(self):
        """The newest :class:`ChangeSet`, or ``None``."""
        return self._current

    @property
    def version(self):
        """The version of the newest configuration, 0 before the first."""
        return self._current.version if self._current else 0

    @property
    def revision(self):
        """The log index of the newest configuration, 0 before the first."""
        return self._revision

    def is_accepted(self, digest):
        """Returns whether a configuration with this content was accepted before."""
        return digest in self._accepted

    def decide(self, change):
        """Decides on a change set by the changes that were applied so far.

        ``accepted`` is final. The other decisions hold only for this state: a member of
        the quorum may not have applied all committed changes.

        :param change: :class:`ChangeSet`.
        :return: ``accepted`` if a change set with this content was accepted before,
            ``new`` if it is based on the current version and its own version is higher,
            ``conflict`` otherwise.
        """
        if change.digest in self._accepted:
            return ACCEPTED
        if change.base == self.version and change.version > self.version:
            return NEW
        return CONFLICT

    def conflict_error(self, change):
        """Returns the :class:`VersionConflictError` for a change set."""
        message = (
            f"version {change.version} builds on {change.base}, "
            f"but {self.version} is current"
        )
        return VersionConflictError(message, {"version": self.version})

    def apply(self, command, index):
        """Applies a committed command.

        :param command: fields of a :class:`ChangeSet`.
        :param index: log index.
        :return: accepted version, or a :class:`VersionConflictError`. Two change sets
            based on one version may both enter the log; the second is refused here.
        """
        change = ChangeSet(**command)
        decision = self.decide(change)
        if decision == CONFLICT:
            return self.conflict_error(change)
        if decision == NEW:
            self._current = change
            self._revision = index
            self._accepted[change.digest] = change.version
        return change.version

    def encode(self):
        """Returns the whole state as bytes."""
        return msgspec.json.encode(
            {
                "current": self._current,
                "revision": self._revision,
                "accepted": self._accepted,
            }
        )

    def restore(self, data):
        """Replaces the whole state by one that :meth:`encode` returned."""
        state = msgspec.json.decode(data)
        current = state["current"]
        self._current = ChangeSet(*current) if current else None
        self._revision = state["revision"]
        self._accepted = state["accepted"]

"""The replicated state: the newest configuration and what was accepted before."""

from typing import NamedTuple

import msgspec

from ..base._errors import ConflictError


class VersionConflictError(ConflictError):
    """A configuration builds on a version that is not current."""


class ChangeSet(NamedTuple):
    """A configuration on its way through the log.

    :param version: number that the operator gave it.
    :param base: version on which it builds.
    :param digest: digest of its content, which recognises a resend.
    :param document: the operator's document, compressed and in base 64.
    """

    version: int
    base: int
    digest: str
    document: str


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
        """Newest :class:`ChangeSet`, or ``None``."""
        return self._current

    @property
    def version(self):
        """Version of the newest configuration, 0 before the first."""
        return self._current.version if self._current else 0

    @property
    def revision(self):
        """Log index at which it was accepted, 0 before the first."""
        return self._revision

    def is_accepted(self, digest):
        """Whether a configuration with this content was accepted before."""
        return digest in self._accepted

    def check(self, change):
        """Checks a change set against the current version.

        :raises VersionConflictError: when it does not build on it.
        """
        if change.base != self.version or change.version <= self.version:
            message = (
                f"version {change.version} builds on {change.base}, "
                f"but {self.version} is current"
            )
            raise VersionConflictError(message, {"version": self.version})

    def apply(self, command, index):
        """Applies a committed command.

        :param command: fields of a :class:`ChangeSet`.
        :param index: log index.
        :return: version, or a :class:`VersionConflictError`. Two change sets on one
            version may both enter the log; one is refused here.
        """
        change = ChangeSet(**command)
        if change.digest in self._accepted:
            return self._accepted[change.digest]
        try:
            self.check(change)
        except VersionConflictError as error:
            return error
        self._current = change
        self._revision = index
        self._accepted[change.digest] = change.version
        return change.version

    def encode(self):
        """Gives the whole state as bytes."""
        return msgspec.json.encode(
            {
                "current": self._current,
                "revision": self._revision,
                "accepted": self._accepted,
            }
        )

    def restore(self, data):
        """Replaces the whole state by one from :meth:`encode`."""
        state = msgspec.json.decode(data)
        current = state["current"]
        self._current = ChangeSet(*current) if current else None
        self._revision = state["revision"]
        self._accepted = state["accepted"]

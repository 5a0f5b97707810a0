"""The replicated state: the newest configuration, decisions on others, departures."""

from functools import singledispatchmethod

import msgspec

from ..base._errors import ConflictError, NoQuorumError
from ._commands import ChangeSet, Departure, Refusal, decode_command
from ._departures import Departures

# Decisions of :meth:`ConfigurationRegistry.decide`.
ACCEPTED = "accepted"
NEW = "new"
CONFLICT = "conflict"

# Refusals are removed once the versions on which they are based have passed.
MAX_REFUSALS = 4096


class VersionConflictError(ConflictError):
    """A configuration is not based on the current version."""


class ConfigurationRegistry:
    """Applies committed commands in log order."""

    def __init__(self):
        self._current = None
        self._revision = 0
        self._accepted = {}
        # Bases of refused change sets by digest.
        self._refused = {}
        self._departures = Departures()

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

    @property
    def departures(self):
        """:class:`~figpick.configuration._departures.Departures`, for reading only."""
        return self._departures

    def is_accepted(self, digest):
        """Returns whether a configuration with this content was accepted before."""
        return digest in self._accepted

    def decide(self, change):
        """Decides on a change set by the commands that were applied so far.

        ``accepted`` is final. The other decisions hold only for this state: a member of
        the quorum may not have applied all committed commands.

        :param change: :class:`ChangeSet`.
        :return: ``accepted`` if a change set with this content was accepted before,
            ``new`` if it is based on the current version, its own version is higher and
            it was not refused before, ``conflict`` otherwise.
        """
        if change.digest in self._accepted:
            return ACCEPTED
        if change.digest not in self._refused and self._is_next(change):
            return NEW
        return CONFLICT

    def may_apply_later(self, change):
        """Returns whether a change set in conflict could be accepted in a later state.

        Versions only increase, so this is so only while its base is still to come.

        :param change: :class:`ChangeSet`.
        """
        is_ahead = self.version < change.base < change.version
        return is_ahead and change.digest not in self._refused

    def conflict_error(self, change):
        """Returns the :class:`VersionConflictError` for a change set."""
        if change.digest in self._refused and self._is_next(change):
            message = (
                f"version {change.version} was refused before {change.base}, on which "
                f"it builds, was known; send it under another version"
            )
        else:
            message = (
                f"version {change.version} builds on {change.base}, "
                f"but {self.version} is current"
            )
        return VersionConflictError(message, {"version": self.version})

    def apply(self, command, index):
        """Applies a committed command.

        :param command: JSON value, see
            :func:`~figpick.configuration._commands.encode_command`.
        :param index: log index.
        :return: result of the command, or an error as a value.
        """
        return self._apply(decode_command(command), index)

    @singledispatchmethod
    def _apply(self, command, index):
        raise TypeError(f"{type(command).__name__} is not a command")

    @_apply.register
    def _apply_change(self, change: ChangeSet, index):
        """Returns the accepted version, or a :class:`VersionConflictError`.

        Two change sets based on one version may both enter the log; the second is
        refused here. Refusals are not looked up: members of earlier releases do not
        keep them, and all members must decide alike.
        """
        if change.digest in self._accepted:
            return change.version
        if not self._is_next(change):
            return self.conflict_error(change)
        self._current = change
        self._revision = index
        self._accepted[change.digest] = change.version
        self._refused = {
            digest: base
            for digest, base in self._refused.items()
            if base >= change.version
        }
        return change.version

    @_apply.register
    def _apply_refusal(self, refusal: Refusal, index):
        """Returns the decision on the change set; it is refused if in conflict.

        Its base may have been committed while the refusal was on its way.
        """
        decision = self.decide(refusal)
        if decision != CONFLICT or not self.may_apply_later(refusal):
            return decision
        if len(self._refused) >= MAX_REFUSALS:
            return NoQuorumError(f"{MAX_REFUSALS} refusals are kept already")
        self._refused[refusal.digest] = refusal.base
        return CONFLICT

    @_apply.register
    def _apply_departure(self, departure: Departure, index):
        self._departures.add(departure, index)
        return True

    def _is_next(self, change):
        return change.base == self.version and change.version > self.version

    def encode(self):
        """Returns the whole state as bytes."""
        return msgspec.json.encode(
            {
                "current": self._current,
                "revision": self._revision,
                "accepted": self._accepted,
                "refused": self._refused,
                "departures": self._departures.encode(),
            }
        )

    def restore(self, data):
        """Replaces the whole state by one that :meth:`encode` returned."""
        state = msgspec.json.decode(data)
        current = state["current"]
        self._current = ChangeSet(*current) if current else None
        self._revision = state["revision"]
        self._accepted = state["accepted"]
        # Earlier releases keep neither refusals nor departures.
        self._refused = state.get("refused", {})
        self._departures = Departures()
        if "departures" in state:
            self._departures.restore(state["departures"])

"""The replicated state: documents, their history, change results and rosters."""

from base64 import b64decode, b64encode

import msgspec

from ..base._errors import ConflictError, FigpickError
from . import _documents
from ._change_results import ChangeResults
from ._registry_commands import PUT, ROSTER, check_roster, check_size, parse_change

# Older entries of a service are removed; results of changes are kept forever.
HISTORY_LENGTH = 1000


class UnknownCommandError(FigpickError):
    """The log contains a command of a newer release."""


class Registry:
    """Applies committed commands in log order."""

    def __init__(self):
        self._documents = {}
        self._history = {}
        self._rosters = {}
        self._services = []
        self._change_results = ChangeResults()
        self._handlers = {PUT: self._apply_put, ROSTER: self._apply_roster}

    @property
    def versions(self):
        """Current document versions by service."""
        return {name: entry["version"] for name, entry in self._documents.items()}

    @property
    def epochs(self):
        """Current roster epochs by service."""
        return {name: roster["epoch"] for name, roster in self._rosters.items()}

    @property
    def result_count(self):
        """Number of changes whose result is kept."""
        return len(self._change_results)

    def get(self, service):
        """Returns the current entry of a service, or ``None``.

        :return: dict with ``document``, ``version`` and ``roster``, which is
            ``None`` or a :class:`~figpick.claims._rosters.Roster`.
        """
        entry = self._documents.get(service)
        if entry is None:
            return None
        return {**entry, "roster": self._rosters.get(service)}

    def roster(self, service):
        """Returns the current roster of a service, or ``None``."""
        return self._rosters.get(service)

    def history(self, service):
        """Returns the last 1,000 changes of a service, oldest first."""
        return self._history.get(service, [])

    def find_result(self, change_id):
        """Returns the result of an earlier change.

        :return: dict with ``service``, ``version`` and ``change``, or ``None``
            when the change is not known.
        :raises ConflictError: when the change was rejected as a conflict.
        """
        found = self._change_results.get(change_id)
        if found is None:
            return None
        index, number, conflict = found
        service = self._services[number]
        if conflict:
            raise self._conflict_error(service)
        return {"service": service, "version": index, "change": change_id}

    def check(self, message):
        """Checks a change before it is appended to the log.

        :param message: dict with ``document``, ``base``, ``change``, ``author``.
        :raises InvalidDocumentError: with every fault found.
        :raises ConflictError: when the base version is not current.
        """
        change = parse_change(message)
        _documents.check(change["document"])
        check_size(change["document"])
        if change["base"] != self._current_version(change["document"]["service"]):
            raise self._conflict_error(change["document"]["service"], change["base"])

    def may_apply_later(self, message):
        """Returns whether a change in conflict could be accepted in a later state.

        :param message: dict, see :meth:`check`.
        """
        if self._change_results.get(message["change"]) is not None:
            return False
        return message["base"] > self._current_version(message["document"]["service"])

    def check_roster(self, command):
        """Checks a roster before it is appended to the log.

        :raises ConflictError: when its epoch does not follow the current one.
        """
        check_roster(command)
        if command["epoch"] != self._current_epoch(command["service"]) + 1:
            raise self._roster_conflict_error(command["service"])

    def apply(self, command, index):
        """Applies a committed command.

        :param command: dict; its ``command`` is ``put`` or ``roster``.
        :param index: log index, which becomes the version of a document.
        :return: result of the command, or a :class:`ConflictError`.
        :raises UnknownCommandError: when the command is not known to this release.
        """
        apply = self._handlers.get(command["command"])
        if apply is None:
            name = command["command"]
            raise UnknownCommandError(f"entry {index}: unknown command {name!r}")
        return apply(command, index)

    def encode(self):
        """Returns the whole state as bytes."""
        state = {
            "documents": self._documents,
            "history": self._history,
            "rosters": self._rosters,
            "services": self._services,
            "answers": b64encode(self._change_results.encode()).decode(),
        }
        return msgspec.json.encode(state)

    def restore(self, data):
        """Replaces the whole state by a result of :meth:`encode`."""
        state = msgspec.json.decode(data)
        self._documents = state["documents"]
        self._history = state["history"]
        self._rosters = state["rosters"]
        self._services = state["services"]
        self._change_results = ChangeResults(b64decode(state["answers"]))

    def _apply_put(self, command, index):
        try:
            known = self.find_result(command["change"])
        except ConflictError as error:
            return error
        if known is not None:
            return known
        service = command["document"]["service"]
        conflict = self._is_conflict(command)
        number = self._service_number(service)
        self._change_results.add(command["change"], index, number, conflict)
        if conflict:
            return self._conflict_error(service, command["base"])
        self._documents[service] = {"document": command["document"], "version": index}
        names = ("base", "change", "author", "time")
        record = {"version": index, **{name: command[name] for name in names}}
        history = self._history.setdefault(service, [])
        history.append(record)
        del history[:-HISTORY_LENGTH]
        return {"service": service, "version": index, "change": command["change"]}

    def _apply_roster(self, command, index):
        service = command["service"]
        if command["epoch"] != self._current_epoch(service) + 1:
            return self._roster_conflict_error(service)
        roster = {key: value for key, value in command.items() if key != "command"}
        self._rosters[service] = roster
        return roster

    def _is_conflict(self, command):
        # The log may contain two changes with equal bases; the second is rejected here.
        return command["base"] != self._current_version(command["document"]["service"])

    def _current_version(self, service):
        entry = self._documents.get(service)
        return entry["version"] if entry else 0

    def _current_epoch(self, service):
        roster = self._rosters.get(service)
        return roster["epoch"] if roster else 0

    def _service_number(self, service):
        if service not in self._services:
            self._services.append(service)
        return self._services.index(service)

    def _conflict_error(self, service, base=None):
        version = self._current_version(service)
        message = f"{service} is at version {version}"
        if base is not None:
            message += f", not {base}"
        return ConflictError(message, self.get(service) or {"version": 0})

    def _roster_conflict_error(self, service):
        epoch = self._current_epoch(service)
        message = f"the roster of {service} is at epoch {epoch}"
        return ConflictError(message, self._rosters.get(service) or {"epoch": 0})

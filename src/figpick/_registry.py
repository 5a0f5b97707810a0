"""The replicated state: service documents, their history and change answers."""

from . import _documents
from ._errors import ConflictError


class Registry:
    """Applies committed commands in log order."""

    def __init__(self):
        self._documents = {}
        self._history = {}
        self._answers = {}

    @property
    def versions(self):
        """Current document versions by service."""
        return {name: entry["version"] for name, entry in self._documents.items()}

    def get(self, service):
        """Gives the current entry of a service, or ``None``.

        :return: dict with ``document`` and ``version``.
        """
        return self._documents.get(service)

    def history(self, service):
        """Lists the changes of a service, oldest first."""
        return self._history.get(service, [])

    def answer(self, change_id):
        """Gives the answer that a change got before, or ``None``."""
        return self._answers.get(change_id)

    def check(self, command):
        """Checks a command before it enters the log.

        :raises InvalidDocumentError: when the document is not valid.
        :raises ConflictError: when the base version is not current.
        """
        _documents.check(command["document"])
        service = command["document"]["service"]
        current = self._documents.get(service)
        version = current["version"] if current else 0
        if command["base"] != version:
            message = f"{service} is at version {version}, not {command['base']}"
            raise ConflictError(message, current or {"version": 0})

    def apply(self, command, index):
        """Applies a committed command.

        :param index: log index, which becomes the version.
        :return: answer for the operator.
        """
        known = self._answers.get(command["change"])
        if known is not None:
            return known
        service = command["document"]["service"]
        answer = {"service": service, "version": index, "change": command["change"]}
        self._documents[service] = {"document": command["document"], "version": index}
        record = {
            "version": index,
            "base": command["base"],
            "change": command["change"],
            "author": command["author"],
            "time": command["time"],
        }
        self._history.setdefault(service, []).append(record)
        self._answers[command["change"]] = answer
        return answer

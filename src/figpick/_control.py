"""The control role: keeps the replicated log of service documents."""

from ._errors import PeerRefusedError
from ._registry import Registry

NOT_FOUND = 404


class Control:
    """Takes changes from operators and serves documents.

    :param clock: :class:`~figpick._clock.Clock`.
    :param log_file: :class:`~figpick._storage.LogFile`.
    """

    def __init__(self, clock, log_file):
        self._clock = clock
        self._log_file = log_file
        self._registry = Registry()
        self._index = 0

    @property
    def versions(self):
        """Current document versions by service."""
        return self._registry.versions

    def start(self):
        """Replays the log."""
        for command in self._log_file.read():
            self._index += 1
            self._registry.apply(command, self._index)

    async def put(self, message):
        """Accepts a change of a service document.

        :param message: dict with ``document``, ``base``, ``change``, ``author``.
        :return: dict with ``service``, ``version`` and ``change``.
        """
        known = self._registry.answer(message["change"])
        if known is not None:
            return known
        self._registry.check(message)
        command = {**message, "time": self._clock.wall()}
        self._log_file.append(command)
        self._index += 1
        return self._registry.apply(command, self._index)

    async def get(self, message):
        """Gives the current document of a service."""
        entry = self._registry.get(message["service"])
        if entry is None:
            error = {"error": f"no document for {message['service']!r}"}
            raise PeerRefusedError(NOT_FOUND, error)
        return entry

    async def history(self, message):
        """Lists the changes of a service."""
        return self._registry.history(message["service"])

    def dump(self):
        """Gives the state of the role as a dict."""
        return {"index": self._index, "documents": self.versions}

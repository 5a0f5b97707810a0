"""The state dump of a process, by part."""

from ..base._errors import PeerRefusedError

NOT_FOUND = 404


class StateDump:
    """Collects the state of the parts of a process on request.

    :param name: name of the process.
    """

    def __init__(self, name):
        self._name = name
        self._parts = {}

    def add(self, part, dump):
        """Adds a part.

        :param dump: function that gives its state as a JSON value.
        """
        self._parts[part] = dump

    async def receive(self, message):
        """Gives the state.

        :param message: dict, with ``part`` to ask for one part.
        :return: dict with the name of the process and the state of each part.
        :raises PeerRefusedError: when there is no such part.
        """
        part = message.get("part")
        if part is None:
            parts = self._parts
        elif part in self._parts:
            parts = {part: self._parts[part]}
        else:
            error = f"no part {part!r}; known: {', '.join(self._parts)}"
            raise PeerRefusedError(NOT_FOUND, {"error": error})
        return {"name": self._name, **{key: dump() for key, dump in parts.items()}}

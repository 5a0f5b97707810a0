"""State dumps of a process."""

from ..base._errors import PeerRefusedError

NOT_FOUND = 404


class StateDump:
    """Returns the state of the components of a process on request.

    :param name: name of the process.
    """

    def __init__(self, name):
        self._name = name
        self._parts = {}

    def add(self, part, dump):
        """Adds a component to the dump.

        :param part: key of the component in the dump.
        :param dump: function that returns its state as a JSON value.
        """
        self._parts[part] = dump

    async def receive(self, message):
        """Returns the state of all components, or of one.

        :param message: dict; ``part``, if present, selects one component.
        :return: dict with the name of the process and the state of each component.
        :raises PeerRefusedError: when the component does not exist.
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

"""The records of all processes, merged from several sources."""

from ._records import CONTROL, LEFT, NODE


class Directory:
    """The newest record of each process."""

    def __init__(self):
        self._records = {}
        self._removed = {}

    def __repr__(self):
        return f"<Directory {len(self._records)}>"

    def __len__(self):
        return len(self._records)

    def __iter__(self):
        return iter(self._records.values())

    def get(self, name):
        """Returns the record of a process, or ``None``."""
        return self._records.get(name)

    def merge(self, record):
        """Adds a record unless a newer one is or was known.

        :return: whether the record was added.
        """
        known = self._records.get(record.name)
        if known is not None and known.order >= record.order:
            return False
        if record.order <= self._removed.get(record.name, (-1, -1)):
            return False
        self._records[record.name] = record
        return True

    def remove(self, name):
        """Removes the record of a process; only a newer record can be added again."""
        record = self._records.pop(name, None)
        if record is not None:
            self._removed[name] = record.order

    def hosts(self, service):
        """Returns the records of the nodes of a service that have not left."""
        return [
            record
            for record in self._records.values()
            if record.role == NODE
            and record.service == service
            and record.state != LEFT
        ]

    def controls(self):
        """Returns the records of the control processes that have not left."""
        return [
            record
            for record in self._records.values()
            if record.role == CONTROL and record.state != LEFT
        ]

"""The record of the own process, and records that come from others."""

from ._records import decode_record


class Announcer:
    """Keeps the own record the newest of its name.

    :param record: first :class:`~figpick.directory.HostRecord` of this start.
    :param directory: :class:`~figpick.directory.Directory`.
    """

    def __init__(self, record, directory):
        self._record = record
        self._directory = directory
        directory.merge(record)

    def __repr__(self):
        return f"<Announcer {self._record.name} {self._record.order}>"

    @property
    def record(self):
        """Own :class:`~figpick.directory.HostRecord`."""
        return self._record

    def update(self, **fields):
        """Changes fields of the own record.

        :return: whether anything changed.
        """
        if all(getattr(self._record, name) == value for name, value in fields.items()):
            return False
        self._replace(version=self._record.version + 1, **fields)
        return True

    def handle_record(self, fields):
        """Takes a record from a message.

        An earlier start of this process may have left a record that looks newer,
        since its clock was ahead; the own incarnation then passes it.

        :param fields: list of the fields of a record.
        :return: the newer record of another process, the own record when it had to
            be raised, or ``None``.
        :raises PeerError: when the fields cannot be read.
        """
        record = decode_record(fields)
        if record.name == self._record.name:
            if record.token == self._record.token or record.order < self._record.order:
                return None
            self._replace(incarnation=record.incarnation + 1)
            return self._record
        return record if self._directory.merge(record) else None

    def _replace(self, **fields):
        self._record = self._record._replace(**fields)
        self._directory.merge(self._record)

"""The record of the local process, and records received from other processes."""

from ..base._errors import PeerError
from ..base._logs import logger
from ._records import decode_record

log = logger("directory")


class Announcer:
    """Keeps the record of the local process the newest one of its name.

    :param record: initial :class:`~figpick.directory.HostRecord` of this incarnation.
    :param directory: :class:`~figpick.directory.Directory`.
    :param on_earlier: called with a record that an earlier incarnation of this process
        has left.
    """

    def __init__(self, record, directory, on_earlier=None):
        self._record = record
        self._on_earlier = on_earlier
        self._directory = directory
        directory.merge(record)

    def __repr__(self):
        return f"<Announcer {self._record.name} {self._record.order}>"

    @property
    def record(self):
        """The local :class:`~figpick.directory.HostRecord`."""
        return self._record

    def update(self, **fields):
        """Changes fields of the local record.

        :return: whether anything changed.
        """
        if all(getattr(self._record, name) == value for name, value in fields.items()):
            return False
        self._replace(version=self._record.version + 1, **fields)
        return True

    def handle_records(self, records):
        """Handles the records of a message; the valid ones hold beside others.

        :param records: list with the fields of each record.
        :return: list of the records that :meth:`handle_record` returns.
        """
        handled = []
        for fields in records:
            try:
                handled.append(self.handle_record(fields))
            except PeerError as error:
                log.warning("Record refused.", extra={"reason": str(error)})
        return [record for record in handled if record is not None]

    def handle_record(self, fields):
        """Handles a record from a message.

        An earlier incarnation of this process may have left a record that looks newer
        because its clock was ahead. The local incarnation is then raised above it.

        :param fields: list of the fields of a record.
        :return: the record of another process if it is newer, the local record if its
            incarnation was raised, or ``None``.
        :raises PeerError: if the fields are not a valid record.
        """
        record = decode_record(fields)
        if record.name == self._record.name:
            if record.token == self._record.token:
                return None
            if self._on_earlier is not None:
                self._on_earlier(record)
            if record.order < self._record.order:
                return None
            self._replace(incarnation=record.incarnation + 1)
            return self._record
        return record if self._directory.merge(record) else None

    def _replace(self, **fields):
        self._record = self._record._replace(**fields)
        self._directory.merge(self._record)

"""Links of a node to the control processes: records, configurations, crashes."""

from functools import singledispatchmethod

from ..base._errors import PeerError
from ..base._logs import logger
from ..control._messages import (
    CrashReport,
    CurrentConfiguration,
    FetchConfiguration,
    Hello,
    RecordTable,
    RecordUpdate,
    RevisionUpdate,
    deliver,
    encode,
)
from ..directory import CONTROL
from ..links import Dialer, Link

# Control processes that pass a crash on: one may fail before it does.
CRASH_COPIES = 2

log = logger("control-links")


class ControlLinks:
    """Keeps a link to each control process that is known.

    :param settings: :class:`~figpick.nodes.NodeSettings`.
    :param token: random number of this start.
    :param announcer: :class:`~figpick.directory.Announcer` of the own record.
    :param clock: :class:`~figpick.base._clock.Clock`.
    :param handlers: gets ``on_record(record)``, ``on_configuration(revision,
        document)`` and ``on_crash_report(crash_id, fingerprints)``.
    """

    def __init__(self, settings, token, announcer, clock, handlers):
        self._settings = settings
        self._token = token
        self._announcer = announcer
        self._clock = clock
        self._handlers = handlers
        self._dialers = {}
        self._revisions = {}
        self.revision = 0

    def __repr__(self):
        return f"<ControlLinks {self.open_count} of {len(self._dialers)}>"

    @property
    def open_count(self):
        """Number of control processes that can be reached."""
        return sum(dialer.link is not None for dialer in self._dialers.values())

    def start(self):
        """Connects to the addresses of the settings."""
        self.connect(self._settings.control_addresses)

    def connect(self, addresses):
        """Connects to control processes."""
        for address in addresses:
            self._dial(address)

    def finish(self):
        """Closes the links after what was sent has been written."""
        for dialer in self._dialers.values():
            if dialer.link is not None:
                dialer.link.finish()

    def stop(self):
        """Closes the links at once and opens no others."""
        for dialer in self._dialers.values():
            dialer.stop()

    def announce(self):
        """Sends the own record to every control process."""
        self._send_all(RecordUpdate(list(self._announcer.record)))

    def report_crash(self, crash_id, fingerprints):
        """Tells all nodes what ran when an upstream crashed."""
        links = [dialer.link for dialer in self._dialers.values()]
        for link in [link for link in links if link is not None][:CRASH_COPIES]:
            link.send(encode(CrashReport(crash_id, fingerprints)))

    def fetch(self):
        """Asks again for a newer configuration that has not come."""
        for link, revision in list(self._revisions.items()):
            if not link.is_open:
                del self._revisions[link]
            elif revision > self.revision:
                link.send(encode(FetchConfiguration()))
                return

    def _send_all(self, message):
        for dialer in self._dialers.values():
            if dialer.link is not None:
                dialer.link.send(encode(message))

    def _dial(self, address):
        address = tuple(address)
        if address in self._dialers:
            return

        def make_link():
            return Link(self._receive, self._on_closed, self._clock)

        dialer = Dialer(address, make_link, self._on_open, self._clock)
        self._dialers[address] = dialer
        dialer.start()

    def _on_open(self, link):
        link.send(encode(Hello(self._settings.name, self._token)))
        link.send(encode(RecordUpdate(list(self._announcer.record))))

    def _on_closed(self, link):
        self._revisions.pop(link, None)
        log.notice("Link to control {} is lost.", link.peer)

    def _receive(self, link, items):
        deliver(self._take, link, items, log)

    @singledispatchmethod
    def _take(self, message, link):
        """Takes a message of a control process."""
        raise PeerError(f"{type(message).__name__} is not for nodes")

    @_take.register
    def _take_hello(self, message: Hello, link):
        log.notice("Link to control {} is open.", message.name)

    @_take.register
    def _take_record(self, message: RecordUpdate, link):
        self._learn(message.fields)

    @_take.register
    def _take_table(self, message: RecordTable, link):
        for fields in message.records:
            self._learn(fields)

    @_take.register
    def _take_revision(self, message: RevisionUpdate, link):
        self._revisions[link] = message.revision
        if message.revision > self.revision:
            link.send(encode(FetchConfiguration()))

    @_take.register
    def _take_configuration(self, message: CurrentConfiguration, link):
        self._handlers.on_configuration(message.revision, message.document)

    @_take.register
    def _take_crash(self, message: CrashReport, link):
        self._handlers.on_crash_report(message.crash_id, message.fingerprints)

    def _learn(self, fields):
        record = self._announcer.handle_record(fields)
        if record is None:
            return
        if record is self._announcer.record:
            self.announce()
        elif record.role == CONTROL:
            self._dial(record.address)
        else:
            self._handlers.on_record(record)

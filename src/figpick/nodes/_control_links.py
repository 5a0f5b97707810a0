"""Links of a node to control processes: records, configurations, crash reports."""

from functools import singledispatchmethod

from ..base._errors import PeerError
from ..base._logs import logger
from ..control._messages import (
    CrashReport,
    CurrentConfiguration,
    DepartureReport,
    FetchConfiguration,
    Hello,
    RecordTable,
    RecordUpdate,
    RevisionUpdate,
    StoredDepartures,
    deliver,
    encode,
)
from ..directory import CONTROL
from ..links import Dialer, Link

# Crash reports are sent to this many control processes, since one may fail before it
# forwards the report.
CRASH_COPIES = 2
# Departures, too.
DEPARTURE_COPIES = 2

log = logger("control-links")


class ControlLinks:
    """Keeps a link open to each known control process.

    :param settings: :class:`~figpick.nodes.NodeSettings`.
    :param token: random number that identifies this start of the process.
    :param announcer: :class:`~figpick.directory.Announcer` of this node's record.
    :param clock: :class:`~figpick.base._clock.Clock`.
    :param handlers: object whose ``on_record(record)``, ``on_configuration(revision,
        document)``, ``on_crash_report(crash_id, fingerprints)`` and
        ``on_departures(incarnations)`` are called.
    """

    def __init__(self, settings, token, announcer, clock, handlers):
        self._settings = settings
        self._token = token
        self._announcer = announcer
        self._clock = clock
        self._handlers = handlers
        self._dialers = {}
        self._revisions = {}
        self._is_finished = False
        self.revision = 0

    def __repr__(self):
        return f"<ControlLinks {self.open_count} of {len(self._dialers)}>"

    @property
    def open_count(self):
        """Number of control processes with an open link."""
        return sum(dialer.link is not None for dialer in self._dialers.values())

    @property
    def is_outdated(self):
        """Whether a control process has announced a revision not received yet."""
        return any(revision > self.revision for revision in self._revisions.values())

    def open_links(self):
        """Returns the open links."""
        links = [dialer.link for dialer in self._dialers.values()]
        return [link for link in links if link is not None]

    def start(self):
        """Connects to the control processes named in the settings."""
        self.connect(self._settings.control_addresses)

    def connect(self, addresses):
        """Connects to the control processes at the given addresses."""
        for address in addresses:
            self._open_link(address)

    def finish(self):
        """Closes the links once pending messages have been written; opens no others."""
        self._is_finished = True
        for dialer in self._dialers.values():
            dialer.finish()

    def stop(self):
        """Closes the links at once and stops reconnecting."""
        for dialer in self._dialers.values():
            dialer.stop()

    def announce(self):
        """Sends the record of this node to every control process."""
        self._send_all(RecordUpdate(list(self._announcer.record)))

    def report_crash(self, crash_id, fingerprints):
        """Reports the requests that were running when an upstream crashed.

        The control processes forward the report to all nodes.

        :param crash_id: identifier of the incarnation that crashed.
        :param fingerprints: fingerprints of the requests.
        """
        links = [dialer.link for dialer in self._dialers.values()]
        for link in [link for link in links if link is not None][:CRASH_COPIES]:
            link.send(encode(CrashReport(crash_id, fingerprints)))

    def report_departure(self, incarnation, attempt):
        """Asks some control processes to store the end of the upstream.

        :param incarnation: key of its incarnation.
        :param attempt: number of the attempt; each one asks other processes.
        """
        links = self.open_links()
        message = encode(DepartureReport(self._settings.name, incarnation))
        start = attempt * DEPARTURE_COPIES
        for number in range(min(DEPARTURE_COPIES, len(links))):
            links[(start + number) % len(links)].send(message)

    def fetch(self):
        """Requests a newer configuration again if it has not arrived."""
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

    def _open_link(self, address):
        address = tuple(address)
        if address in self._dialers or self._is_finished:
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
        log.notice("Link to control process {} is lost.", link.peer)

    def _receive(self, link, items):
        deliver(self._handle, link, items, log)

    @singledispatchmethod
    def _handle(self, message, link):
        """Handles a message from a control process."""
        raise PeerError(f"nodes do not handle {type(message).__name__} messages")

    @_handle.register
    def _handle_hello(self, message: Hello, link):
        log.notice("Link to control process {} is open.", message.name)

    @_handle.register
    def _handle_record(self, message: RecordUpdate, link):
        self._update_records([message.fields])

    @_handle.register
    def _handle_table(self, message: RecordTable, link):
        self._update_records(message.records)

    @_handle.register
    def _handle_revision(self, message: RevisionUpdate, link):
        self._revisions[link] = message.revision
        if message.revision > self.revision:
            link.send(encode(FetchConfiguration()))

    @_handle.register
    def _handle_configuration(self, message: CurrentConfiguration, link):
        self._handlers.on_configuration(message.revision, message.document)

    @_handle.register
    def _handle_crash(self, message: CrashReport, link):
        self._handlers.on_crash_report(message.crash_id, message.fingerprints)

    @_handle.register
    def _handle_departures(self, message: StoredDepartures, link):
        self._handlers.on_departures(message.incarnations)

    def _update_records(self, records):
        for record in self._announcer.handle_records(records):
            if record is self._announcer.record:
                self.announce()
            elif record.role == CONTROL:
                self._open_link(record.address)
            else:
                self._handlers.on_record(record)

"""Connections of clients, on which responses keep the order of the requests."""

import asyncio
import fcntl
import sys
import termios
from collections import deque

from ..base._logs import logger
from ..base._memory import STALL_S, Holder
from ..wire import render_error_response
from ._call_logging import call_state, log_behind_close, log_cut
from ._client_responses import ResponseWriter
from ._request_intake import (
    LARGE_BODY_BYTES,
    REASON_NO_MEMORY,
    STATUS_UNAVAILABLE,
    RequestIntake,
)

# Reading from a connection pauses above this number of open requests.
MAX_PIPELINED_REQUESTS = 64
# The same while the client does not read its responses.
MAX_UNREAD_REQUESTS = 8
# The same for the memory that they take; a large body counts as LARGE_BODY_BYTES.
MAX_PIPELINED_BYTES = 512 * 1024
# Memory of an open connection, and of an open request beside its head and body.
CONNECTION_BYTES = 6 * 1024
OPEN_REQUEST_BYTES = 4 * 1024
# A streamed response pauses while its client has more unread bytes than this.
WRITE_BUFFER_HIGH_BYTES = 256 * 1024
# A client that reads nothing for this long, while bytes wait for it, is disconnected.
CLIENT_READ_TIMEOUT_S = 15.0
# After its last response a connection stays open until the client closes it, at most
# for this long after the client's host has acknowledged all bytes.
LINGER_TIMEOUT_S = 2.0
# A connection that is closing discards at most this many bytes of further requests.
MAX_DISCARDED_BYTES = 16 * 1024 * 1024
STATUS_REQUEST_TIMEOUT = 408
REASON_STOPS = "the node stops"
REJECTION_TEXTS = {STATUS_REQUEST_TIMEOUT: "the request is not complete in time"}

log = logger("entry")


class ClientConnection(asyncio.Protocol, Holder):
    """One connection of a client.

    :param entry: :class:`~figpick.nodes._entry.EntryServer` that accepted it.
    """

    def __init__(self, entry):
        self._entry = entry
        self._transport = None
        self._responses = deque()
        self._account = entry.account
        self._intake = RequestIntake(self, entry, self._on_request)
        # Memory of the open requests, and of responses that the client has not read.
        self._pipelined_bytes = 0
        self._output_bytes = 0
        self.pending_bytes = 0
        self.has_sent_requests = False
        self._is_closing = False
        self._is_reading_paused = False
        self._is_writing_paused = False
        # Whether the account knows that the client does not read.
        self._is_unread = False
        self._reading_resumed_at = 0.0
        self.idle_since = 0.0
        self._last_request_id = b""
        self._is_lingering = False
        self._unread_before = 0
        self._progress_at = 0.0
        self.discarded_bytes = 0

    def connection_made(self, transport):
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_BUFFER_HIGH_BYTES)
        self.idle_since = self._entry.now()
        self._account.add(CONNECTION_BYTES)
        self._entry.add_connection(self)
        if self._entry.is_closed:
            # The event loop had accepted it before the server was closed.
            self.abort()

    def data_received(self, data):
        if self._is_closing:
            self.discarded_bytes += len(data)
            self.update_reading()
        else:
            intake = self._intake
            intake.receive(data, self._entry.now())
            if intake.has_unparsed or self.is_blocked:
                self.update_reading()

    def pause_writing(self):
        self._is_writing_paused = True
        self._note_progress(self._entry.now())

    def resume_writing(self):
        self._is_writing_paused = False
        self.flush()

    def connection_lost(self, error):
        self._is_closing = True
        self._entry.forget(self)
        self._abandon_calls()
        self._intake.discard()
        self._account.forget(self)
        self._account.add(-CONNECTION_BYTES - self._output_bytes)
        self._output_bytes = 0

    @property
    def account(self):
        """The :class:`~figpick.base._memory.MemoryAccount` of the process."""
        return self._account

    @property
    def is_closing(self):
        """Whether no further requests are taken."""
        return self._is_closing

    @property
    def is_blocked(self):
        """Whether no further requests are parsed until responses have been read."""
        return not self._is_closing and (
            len(self._responses) > self._max_pipelined
            or self._pipelined_bytes > MAX_PIPELINED_BYTES
        )

    @property
    def _max_pipelined(self):
        if self._is_writing_paused:
            return MAX_UNREAD_REQUESTS
        return MAX_PIPELINED_REQUESTS

    def is_evictable(self, now):
        """Returns whether the connection may be closed for a new one.

        :param now: monotonic seconds.
        """
        if self._is_closing or self._responses or self._output_bytes:
            return False
        if not self._intake.has_partial_request:
            return True
        return now - self._intake.progress_at > STALL_S

    def evict(self, now):
        """Closes the connection for a new one.

        :param now: monotonic seconds.
        """
        if self._intake.has_partial_request:
            self._intake.reclaim(now)
        else:
            self.close_gracefully()

    def update_reading(self):
        """Pauses or resumes reading."""
        if self._is_closing:
            must_pause = self.discarded_bytes > MAX_DISCARDED_BYTES
        else:
            must_pause = self._intake.has_unparsed or self.is_blocked
        if must_pause == self._is_reading_paused or self._transport.is_closing():
            return
        self._is_reading_paused = must_pause
        if must_pause:
            self._transport.pause_reading()
        else:
            self._reading_resumed_at = self._entry.now()
            self._transport.resume_reading()

    @property
    def is_idle(self):
        """Whether no request is being received or waiting for its response."""
        return not self._responses and not self._intake.has_partial_request

    def closes_after(self, response):
        """Returns whether the connection closes after a response.

        While the node stops, only the last pending response closes the connection:
        requests after a response that closes it would be lost, although they may run.
        """
        is_last = (
            response is self._responses[-1] and not self._intake.has_partial_request
        )
        return not response.keeps_alive or (self._entry.is_stopping and is_last)

    def stop_reading(self):
        """Refuses the request that is being received, and closes an idle connection.

        An idle connection whose client has not received all responses stays open: its
        close would become a reset if the client has sent a further request.
        """
        self._intake.parse_all(self._entry.now())
        if self._intake.has_partial_request:
            self._intake.reject(STATUS_UNAVAILABLE)
        elif not self._is_closing and self.is_drained(self._entry.now()):
            self.close_gracefully()

    def close_gracefully(self):
        """Closes the connection after the written data has been sent."""
        self._is_closing = True
        self._transport.close()

    @property
    def unsent_bytes(self):
        """Bytes of responses that were not yet handed to the kernel."""
        return self.pending_bytes + self._transport.get_write_buffer_size()

    @property
    def unacknowledged_bytes(self):
        """Bytes in the kernel that the client's host has not acknowledged."""
        return _unacknowledged_bytes(self._transport)

    def is_drained(self, now):
        """Returns whether no request is open and the client has all responses.

        :param now: monotonic seconds.
        """
        if self._is_lingering:
            return self._has_lingered(now)
        return self.is_idle and self._unread_bytes == 0

    def open_requests(self, now):
        """Returns the requests without a whole response, as a list of dicts for logs.

        :param now: monotonic seconds.
        """
        requests = [
            call_state(response.call, now)
            for response in self._responses
            if response.call is not None
        ]
        if not self._responses and self._unread_bytes:
            request_id = self._last_request_id.decode("latin-1")
            requests.append({"id": request_id, "state": "answered"})
        return requests

    def end_lingering(self):
        """Closes the connection if the client's host has all responses."""
        if self._unread_bytes == 0:
            self.abort()

    def abort(self):
        """Closes the connection immediately."""
        self._is_closing = True
        self._transport.abort()

    def close(self):
        """Ends the connection; responses without their end are cut off.

        Bytes that are already in the write buffer are still sent if the process runs
        long enough.
        """
        self._is_closing = True
        self._abandon_calls()
        self._transport.close()

    def flush(self):
        """Writes the available response data, in the order of the requests."""
        self._write_responses()
        self._charge_output()
        if (
            self._is_reading_paused
            and not self._is_closing
            and self._takes_requests_again
        ):
            self._intake.resume()
            self.update_reading()

    def reclaim(self, now):
        self._cut("the client does not read, and others need its memory", now)

    def _write_responses(self):
        responses = self._responses
        while (
            responses
            and not self._is_writing_paused
            and not self._transport.is_closing()
        ):
            response = responses[0]
            if response.head is not None:
                response.keeps_alive = not self.closes_after(response)
                closing = b""
                if not response.keeps_alive:
                    # Clients send requests behind a response that closes the connection
                    # again, so none of them may be passed on.
                    self._is_closing = True
                    closing = b"Connection: close\r\n"
                response.pending.insert(0, response.head + closing + b"\r\n")
                response.head = None
                response.is_begun = True
            if response.pending:
                data, body_bytes = response.take_pending()
                self._transport.write(data)
                if response.call is not None and not response.is_complete:
                    self._entry.forwarder.grant_credit(response.call, body_bytes)
            if response.is_broken:
                response.keeps_alive = False
                self._is_closing = True
            elif not response.is_complete:
                return
            responses.popleft()
            self._release(response)
            if response.call is not None:
                self._last_request_id = response.call.request_id
            if not response.keeps_alive:
                self._linger()
                return
        if not responses:
            self.idle_since = self._entry.now()

    def enforce_timeouts(self, now, limits):
        """Ends the connection if its client is idle or slow for too long.

        :param now: monotonic seconds.
        :param limits: :class:`~figpick.configuration.Limits`.
        """
        if self._output_bytes:
            self._charge_output()
        if self._is_lingering:
            if self._has_lingered(now):
                self._cut("the client does not read", now)
            return
        if self._is_writing_paused:
            if self._seconds_without_progress(now) > CLIENT_READ_TIMEOUT_S:
                self._cut("the client does not read", now)
            return
        if self.is_idle:
            if now - self.idle_since > limits.idle_timeout_s:
                self._close_idle(now)
            return
        started_at = self._intake.started_at
        if started_at is None or self._is_reading_paused:
            return
        # The client can only send the rest while this node reads.
        waited_s = now - max(started_at, self._reading_resumed_at)
        if waited_s > limits.header_timeout_s:
            self._intake.reject(STATUS_REQUEST_TIMEOUT)

    def _on_request(self, request):
        if self._is_closing:
            return
        is_head = request.method == b"HEAD"
        response = ResponseWriter(self, request.keeps_alive, is_head)
        self._responses.append(response)
        self.has_sent_requests = True
        status = request.error_status
        reason = request.error_reason or REASON_STOPS
        if status is None and not self._charge(request, response):
            status, reason = STATUS_UNAVAILABLE, REASON_NO_MEMORY
        if status is None and self._entry.is_refusing:
            status = STATUS_UNAVAILABLE
        forwarder = self._entry.forwarder
        if status is None:
            try:
                response.call = forwarder.handle_request(request, response)
            except Exception:
                log.exception("A request cannot be handled.")
                response.abort("the node cannot handle the request")
        elif status == STATUS_UNAVAILABLE:
            response.call = forwarder.refuse_request(request, response, reason)
        else:
            text = REJECTION_TEXTS.get(status, "the request is malformed")
            head, body = render_error_response(status, text)
            response.start(status, head, len(body), body, True)

    @property
    def _unread_bytes(self):
        """Bytes that were written and that the client's host has not acknowledged."""
        return self._transport.get_write_buffer_size() + self.unacknowledged_bytes

    def _close_idle(self, now):
        unread = self._unread_bytes
        if not unread:
            self.close_gracefully()
        elif unread == self._unread_before:
            self._cut("the client does not read", now)
        else:
            # The client is still receiving a response.
            self._unread_before = unread
            self.idle_since = now

    def _cut(self, reason, now):
        requests = self.open_requests(now)
        if requests:
            self._entry.counters.count_connection_event("cut", len(requests))
            unsent = self.unsent_bytes
            log_cut(reason, requests, unsent, self.unacknowledged_bytes, now)
        self.abort()

    def _linger(self):
        """Ends the writing side; the client closes the connection.

        A close would be a reset as soon as the client sends more, which discards what
        the client has not read yet.
        """
        # Requests after a response that closes the connection count as not read.
        counters = self._entry.counters
        for response in self._responses:
            if response.call is not None:
                counters.count_connection_event("behind-close")
                log_behind_close(response.call, self._entry.now())
        self._abandon_calls()
        self._is_lingering = True
        self._note_progress(self._entry.now())
        self._intake.discard()
        self.update_reading()
        try:
            self._transport.write_eof()
        except OSError as error:
            log.debug("A client has reset its connection: {}.", error)
            self.abort()
            return
        self._entry.add_lingering(self)

    def _has_lingered(self, now):
        """Returns whether the client has had enough time to read and to close."""
        waited_s = self._seconds_without_progress(now)
        limit_s = CLIENT_READ_TIMEOUT_S if self._unread_before else LINGER_TIMEOUT_S
        return waited_s > limit_s

    def _note_progress(self, now):
        self._unread_before = self._unread_bytes
        self._progress_at = now

    def _seconds_without_progress(self, now):
        """Returns the seconds in which the client's host has acknowledged nothing."""
        if self._unread_bytes != self._unread_before:
            self._note_progress(now)
        return now - self._progress_at

    def _abandon_calls(self):
        for response in self._responses:
            if response.call is not None:
                self._entry.forwarder.abandon(response.call)
            self._release(response)
        self._responses.clear()

    @property
    def _takes_requests_again(self):
        return (
            not self.is_blocked
            and len(self._responses) < self._max_pipelined // 2
            and self._pipelined_bytes <= MAX_PIPELINED_BYTES // 2
        )

    def _charge(self, request, response):
        """Charges a complete request until its response has ended.

        :return: whether the account has room for it.
        """
        intake, account = self._intake, self._account
        if intake.held_bytes:
            # Until now, it was charged as a partial request.
            intake.release()
        size = OPEN_REQUEST_BYTES + request.held_bytes
        if account.is_full(size) and not account.has_room(size, self._entry.now()):
            request.body = []
            return False
        body_bytes = request.body_bytes
        response.hold_request(size, body_bytes if body_bytes > LARGE_BODY_BYTES else 0)
        self._pipelined_bytes += min(size, LARGE_BODY_BYTES)
        return True

    def _release(self, response):
        self._pipelined_bytes -= min(response.request_bytes, LARGE_BODY_BYTES)
        response.release_request()

    def _charge_output(self):
        """Charges the responses that the client has not read."""
        if self._is_unread != self._is_writing_paused:
            self._is_unread = self._is_writing_paused
            self._account.set_unread(self, self._is_unread)
        size = self.pending_bytes + self._transport.get_write_buffer_size()
        growth = size - self._output_bytes
        if not growth or self._transport.is_closing():
            return
        self._output_bytes = size
        self._account.add(growth)
        if growth > 0:
            self._account.has_room(0, self._entry.now())


def _unacknowledged_bytes(transport):
    if transport.is_closing():
        # Its descriptor may belong to another connection already.
        return 0
    connection = transport.get_extra_info("socket")
    try:
        size = fcntl.ioctl(connection.fileno(), termios.TIOCOUTQ, bytes(4))
    except OSError as error:
        log.debug("The send queue of a connection cannot be read: {}.", error)
        return 0
    return int.from_bytes(size, sys.byteorder)

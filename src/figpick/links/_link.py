"""A connection between two processes, and the dialer that keeps one open."""

import asyncio
import fcntl
import sys
import termios
from collections import deque

from ..base._logs import CALL_LOG_LIMITER, logger
from ..base._memory import Holder
from ._frames import MAX_FRAME_BYTES, FrameError, FrameReader, encode_frame

# A host without power does not answer, and a lost opening packet is sent again only
# after a second, so the first attempts are short. Later ones allow for a slow link.
MIN_CONNECT_TIMEOUT_S = 0.15
MAX_CONNECT_TIMEOUT_S = 1.0
# Above this number of unsent bytes, parts of bodies wait until they are written.
CONGESTED_BYTES = 512 * 1024
# Above this number, whole responses wait as well. They hold slots of their upstream.
BACKLOG_BYTES = 4 * 1024 * 1024
# Limits the memory for unsent messages to a peer that does not read.
MAX_UNSENT_BYTES = 16 * 1024 * 1024
PING_INTERVAL_S = 0.5
# A connection can fail silently, without a reset. A healthy peer replies to a ping at
# once, a peer on a loaded processor within a few hundred milliseconds.
SILENCE_TIMEOUT_S = 1.6
# If this process itself was late by more, the silence of a peer does not count: what
# the peer has sent meanwhile has yet to be read.
MAX_OWN_DELAY_S = 0.5
# A frame of the largest size needs less on a slow link. Bytes of a frame that is never
# complete would count as signs of life for ever.
MAX_FRAME_S = 30.0
MIN_RECONNECT_DELAY_S = 0.05
MAX_RECONNECT_DELAY_S = 0.8
# Hosts that lost power together return within a second, so the first attempts are close
# to each other.
BACKOFF_FACTOR = 1.25
FINISH_POLL_PERIOD_S = 0.01

LINK_BACKLOG = 512
# Accepted connections whose other end has not said which process it is.
MAX_UNNAMED_LINKS = 256

PING = "ping"
PONG = "pong"

log = logger("links")


class Link(asyncio.Protocol, Holder):
    """Sends and receives messages on one connection.

    :param on_message: called with the link and each received message.
    :param on_closed: called once with the link, after an established link was closed
        or lost.
    :param clock: :class:`~figpick.base._clock.Clock`.
    :param account: :class:`~figpick.base._memory.MemoryAccount` for frames that are not
        complete, ``None`` if the other end is trusted.
    :param max_frame_bytes: size of the longest frame that is taken.
    """

    def __init__(
        self,
        on_message,
        on_closed,
        clock,
        account=None,
        max_frame_bytes=MAX_FRAME_BYTES,
    ):
        self._on_message = on_message
        self._on_closed = on_closed
        self._clock = clock
        self._account = account
        self._transport = None
        self._reader = FrameReader(max_frame_bytes)
        self._frame_started_at = None
        self._is_open = False
        self._has_ended = False
        self._is_finishing = False
        self._is_congested = False
        self._waiting = deque()
        # Whether the owner at the other end grants credit for the bodies of requests.
        self.grants_body_credit = False
        self.last_received_at = 0.0
        self.peer = None

    def __repr__(self):
        return f"<Link {self.peer} {'open' if self._is_open else 'closed'}>"

    @property
    def is_open(self):
        """Whether messages can be sent."""
        return self._is_open

    @property
    def has_ended(self):
        """Whether the link was open and is closed now."""
        return self._has_ended

    @property
    def unsent_bytes(self):
        """Number of bytes that have not been passed to the network yet."""
        if not self._is_open:
            return 0
        return self._transport.get_write_buffer_size()

    @property
    def unacknowledged_bytes(self):
        """Number of written bytes that the host of the peer has yet to receive."""
        if not self._is_open or self._transport.is_closing():
            return 0
        connection = self._transport.get_extra_info("socket")
        try:
            size = fcntl.ioctl(connection.fileno(), termios.TIOCOUTQ, bytes(4))
        except OSError as error:
            log.debug("The send queue of a link cannot be read: {}.", error)
            return 0
        return int.from_bytes(size, sys.byteorder)

    def connection_made(self, transport):
        self._transport = transport
        transport.set_write_buffer_limits(high=CONGESTED_BYTES)
        self._is_open = True
        self.last_received_at = self._clock.monotonic()

    def data_received(self, data):
        self.last_received_at = self._clock.monotonic()
        try:
            messages = self._reader.feed(data)
        except FrameError as error:
            self._log_closed(str(error))
            self.close()
            return
        if self._is_frame_overdue(bool(messages)):
            self._log_closed("a frame is not complete")
            self.close()
            return
        if self._account is not None and not self._charge_frame():
            self._log_closed("no memory for its frame")
            self.close()
            return
        for message in messages:
            if not message:
                self._log_closed("a message is empty")
                self.close()
                return
            kind = message[0]
            if kind == PING:
                self.send((PONG,))
            elif kind != PONG:
                self._deliver(message)

    def _charge_frame(self):
        """Charges what has been received of a frame.

        :return: whether the account has room for it.
        """
        size = self._reader.partial_bytes
        if size == self.held_bytes:
            return True
        return self._account.hold(self, size, 0, self.last_received_at)

    def reclaim(self, now):
        self._log_closed("others need its memory")
        self.close()

    def _log_closed(self, reason):
        # Strangers can connect as often as they like.
        is_named = self.peer is not None
        if is_named or CALL_LOG_LIMITER.allow("Link closed.", self.last_received_at):
            log.warning("Link to {} closed: {}.", self.peer, reason)

    def _free(self):
        """Frees what is held for a link that is closed."""
        self._has_ended = True
        self._waiting.clear()
        self._reader = FrameReader()
        if self._account is not None:
            self._account.forget(self)

    def _is_frame_overdue(self, has_completed):
        """Returns whether the last frame has been incomplete for too long.

        :param has_completed: whether the data just received completed a frame.
        """
        now = self.last_received_at
        if not self._reader.has_partial_frame:
            self._frame_started_at = None
            return False
        if has_completed or self._frame_started_at is None:
            self._frame_started_at = now
        return now - self._frame_started_at > MAX_FRAME_S

    def _deliver(self, message):
        try:
            self._on_message(self, message)
        except Exception:
            # A failure to handle one message must not abort the other calls on the
            # link.
            log.exception("Message {!r} from {} failed.", message[0], self.peer)

    @property
    def is_congested(self):
        """Whether parts of bodies have to wait until other messages are written."""
        return self._is_congested

    @property
    def is_backlogged(self):
        """Whether whole responses have to wait, too."""
        return self._is_congested and self.unsent_bytes > BACKLOG_BYTES

    def call_when_writable(self, send):
        """Calls a function once the link is no longer congested.

        It is not called if the link closes before.
        """
        self._waiting.append(send)

    def pause_writing(self):
        self._is_congested = True

    def resume_writing(self):
        self._is_congested = False
        for _ in range(len(self._waiting)):
            if self._is_congested:
                return
            self._waiting.popleft()()

    def connection_lost(self, error):
        if self._is_open:
            self._is_open = False
            self._free()
            self._on_closed(self)

    def send(self, message):
        """Sends a message, or drops it if the link is closed."""
        if self._is_open and not self._is_finishing:
            self._transport.write(encode_frame(message))
            if self._is_congested and self.unsent_bytes > MAX_UNSENT_BYTES:
                # The peer has stopped reading: fail its calls instead of buffering
                # without limit.
                log.warning("Link to {} closed: the peer does not read.", self.peer)
                asyncio.get_running_loop().call_soon(self.close)

    def probe(self):
        """Requests a message from the peer, which updates ``last_received_at``."""
        self.send((PING,))

    def close(self):
        """Closes the connection at once and discards unsent data."""
        if self._is_open:
            self._is_open = False
            self._free()
            self._transport.abort()
            self._on_closed(self)

    def finish(self):
        """Ends sending once all buffered messages have been written.

        The link stays open until its peer has read them and closes its end. To close
        this end at once could reset the connection, which discards messages on the way.
        """
        if self._is_open and not self._is_finishing:
            self._is_finishing = True
            try:
                self._transport.write_eof()
            except OSError as error:
                log.debug("Link to {} was reset: {}.", self.peer, error)
                self.close()


async def finish_links(links, unconfirmed_s, timeout_s, clock):
    """Finishes links and waits until their peers have read everything.

    :param links: list of :class:`Link`.
    :param unconfirmed_s: seconds to wait for peers once all bytes have been written and
        their hosts receive no more of them.
    :param timeout_s: seconds after which the rest is discarded.
    :param clock: :class:`~figpick.base._clock.Clock`.
    :return: number of bytes that were not written.
    """
    for link in links:
        link.finish()
    now = clock.monotonic()
    end_at = now + timeout_s
    written_at = now
    unacknowledged = None
    while any(link.is_open for link in links):
        before, unacknowledged = (
            unacknowledged,
            [link.unacknowledged_bytes for link in links],
        )
        if any(link.unsent_bytes for link in links) or unacknowledged != before:
            written_at = now
        if now >= min(end_at, written_at + unconfirmed_s):
            break
        await asyncio.sleep(FINISH_POLL_PERIOD_S)
        now = clock.monotonic()
    return sum(link.unsent_bytes for link in links)


async def listen(address, make_link):
    """Accepts links from other processes.

    The peer of a link is ``None`` until its first message. Connections that have sent
    none are closed when there are too many, the longest first.

    :param address: tuple of IP address and port.
    :param make_link: function that returns a new :class:`Link`.
    :return: the :class:`asyncio.Server`.
    """
    unnamed = deque()

    def accept():
        link = make_link()
        unnamed.append(link)
        if len(unnamed) > MAX_UNNAMED_LINKS:
            kept = [
                each for each in unnamed if each.peer is None and not each.has_ended
            ]
            unnamed.clear()
            unnamed.extend(kept)
        if len(unnamed) > MAX_UNNAMED_LINKS:
            unnamed.popleft().close()
        return link

    loop = asyncio.get_running_loop()
    return await loop.create_server(accept, *address, backlog=LINK_BACKLOG)


class Dialer:
    """Keeps one link to a peer open, and reconnects when it is lost or silent.

    ``failed_at`` is the monotonic time in seconds of the last failure, ``None`` while
    connected and before the first failure.

    :param address: tuple of IP address and port.
    :param make_link: function that returns a new :class:`Link`.
    :param on_open: called with the link once it is connected.
    :param clock: :class:`~figpick.base._clock.Clock`.
    """

    def __init__(self, address, make_link, on_open, clock):
        self._address = address
        self._make_link = make_link
        self._on_open = on_open
        self._clock = clock
        self._link = None
        self._task = None
        self.failed_at = None

    def __repr__(self):
        return f"<Dialer {self._address[0]}:{self._address[1]}>"

    @property
    def link(self):
        """The open :class:`Link`, or ``None``."""
        link = self._link
        return link if link is not None and link.is_open else None

    def start(self):
        """Starts connecting."""
        if self._task is None:
            self._task = asyncio.ensure_future(self._run())

    def stop_reconnecting(self):
        """Keeps the present link, but opens no other."""
        if self._task is not None:
            self._task.cancel()
            self._task = None

    def stop(self):
        """Closes the link and stops reconnecting."""
        self.stop_reconnecting()
        if self._link is not None:
            self._link.close()

    def finish(self):
        """Finishes the link and stops reconnecting."""
        self.stop_reconnecting()
        if self._link is not None:
            self._link.finish()

    async def _run(self):
        delay_s = MIN_RECONNECT_DELAY_S
        timeout_s = MIN_CONNECT_TIMEOUT_S
        while True:
            if await self._connect(timeout_s):
                delay_s = MIN_RECONNECT_DELAY_S
                timeout_s = MIN_CONNECT_TIMEOUT_S
                await self._ping_until_closed()
            self.failed_at = self._clock.monotonic()
            await asyncio.sleep(delay_s)
            delay_s = min(BACKOFF_FACTOR * delay_s, MAX_RECONNECT_DELAY_S)
            timeout_s = min(BACKOFF_FACTOR * timeout_s, MAX_CONNECT_TIMEOUT_S)

    async def _connect(self, timeout_s):
        loop = asyncio.get_running_loop()
        link = self._make_link()
        link.peer = "{}:{}".format(*self._address)
        try:
            async with asyncio.timeout(timeout_s):
                await loop.create_connection(lambda: link, *self._address)
        except (OSError, TimeoutError) as error:
            log.debug("Cannot connect to {}: {!r}.", link.peer, error)
            return False
        self._link = link
        self.failed_at = None
        self._on_open(link)
        return True

    async def _ping_until_closed(self):
        link = self._link
        while link.is_open:
            link.send((PING,))
            due_at = self._clock.monotonic() + PING_INTERVAL_S
            await asyncio.sleep(PING_INTERVAL_S)
            now = self._clock.monotonic()
            if now - due_at > MAX_OWN_DELAY_S:
                link.last_received_at = now
            silent_s = now - link.last_received_at
            if link.is_open and silent_s > SILENCE_TIMEOUT_S:
                log.info(
                    "Link to {} closed: nothing received for {:.1f} s.",
                    link.peer,
                    silent_s,
                )
                link.close()

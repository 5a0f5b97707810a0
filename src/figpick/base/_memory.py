"""One account of the memory that a process holds for clients and strangers."""

from ._logs import logger

MIB = 1024 * 1024
DEFAULT_MEMORY_BYTES = 300_000_000
# Memory of a process that holds nothing for clients: interpreter, libraries, tables.
IDLE_PROCESS_BYTES = 64 * MIB
# The rest is for what the allocator keeps, what the event loop and the kernel buffer,
# and what is allocated only while a message is handled.
ACCOUNT_SHARE = 0.65
# Share of the account that large bodies may take; the rest serves small requests.
LARGE_SHARE = 0.85
MIN_ACCOUNT_BYTES = 4 * MIB
# A holder makes progress if it receives so many bytes within this time.
STALL_S = 1.0
MIN_PROGRESS_BYTES = 16 * 1024

log = logger("memory")


def account_bytes(memory_bytes):
    """Returns the size of the account of a process.

    :param memory_bytes: memory of its host.
    """
    free_bytes = max(0, memory_bytes - IDLE_PROCESS_BYTES)
    return max(MIN_ACCOUNT_BYTES, int(free_bytes * ACCOUNT_SHARE))


class Holder:
    """Base class of what holds memory for one sender, such as a connection."""

    held_bytes = 0
    # Part of it that is a large body.
    large_bytes = 0
    _progress_bytes = 0
    progress_at = 0.0

    def reclaim(self, now):
        """Frees the memory, since others need it and this sender makes no progress.

        :param now: monotonic seconds.
        """
        raise NotImplementedError


class MemoryAccount:
    """Counts the bytes that are held, and frees those of senders without progress.

    :param limit_bytes: size of the account.
    """

    def __init__(self, limit_bytes):
        self._limit_bytes = limit_bytes
        self._large_limit_bytes = int(limit_bytes * LARGE_SHARE)
        self._held_bytes = 0
        self._large_bytes = 0
        # Holders that are receiving, the longest without progress first, and holders
        # whose clients do not read, the longest first. Both keep their order.
        self._receiving = {}
        self._unread = {}
        self.reclaimed_count = 0

    def __repr__(self):
        return f"<MemoryAccount {self._held_bytes} of {self._limit_bytes}>"

    @property
    def held_bytes(self):
        """Number of bytes that are held."""
        return self._held_bytes

    @property
    def large_limit_bytes(self):
        """Number of bytes that large bodies may take."""
        return self._large_limit_bytes

    def add(self, size, large_bytes=0):
        """Counts bytes that are held in any case; negative numbers free them.

        :param large_bytes: part of them that is a large body.
        """
        self._held_bytes += size
        self._large_bytes += large_bytes

    def is_full(self, size):
        """Returns whether bytes do not fit as long as nothing is freed."""
        return self._held_bytes + size > self._limit_bytes

    def has_room(self, size, now):
        """Returns whether bytes can be added, after those of others were freed.

        :param now: monotonic seconds.
        """
        if self._held_bytes + size > self._limit_bytes:
            self._reclaim_stalled(size, 0, now)
            self._reclaim_unread(size, now)
        return self._held_bytes + size <= self._limit_bytes

    def has_room_for_body(self, size, now):
        """Returns whether a large body of a size can be received now.

        :param now: monotonic seconds.
        """
        if self._large_bytes + size > self._large_limit_bytes:
            self._reclaim_stalled(0, size, now)
        fits = self._large_bytes + size <= self._large_limit_bytes
        return fits and self.has_room(size, now)

    def hold(self, holder, size, large_bytes, now):
        """Sets what a holder that receives has received, and notes its progress.

        :param holder: :class:`Holder`.
        :param size: number of bytes that it holds now.
        :param large_bytes: part of them that is a large body.
        :param now: monotonic seconds.
        :return: whether the account has room for it.
        """
        growth = size - holder.held_bytes
        large_growth = large_bytes - holder.large_bytes
        self._held_bytes += growth
        self._large_bytes += large_growth
        holder.held_bytes, holder.large_bytes = size, large_bytes
        if not size:
            self._receiving.pop(holder, None)
            return True
        self._note_progress(holder, size, now)
        if growth > 0 and self._held_bytes > self._limit_bytes:
            return self.has_room(0, now)
        if large_growth > 0 and self._large_bytes > self._large_limit_bytes:
            return self.has_room_for_body(0, now)
        return True

    def set_unread(self, holder, is_unread):
        """Notes whether the client of a holder does not read its responses."""
        if not is_unread:
            self._unread.pop(holder, None)
        elif holder not in self._unread:
            self._unread[holder] = None

    def forget(self, holder):
        """Frees what a holder holds and removes it."""
        self.hold(holder, 0, 0, 0.0)
        self._unread.pop(holder, None)

    def _note_progress(self, holder, size, now):
        is_new = holder not in self._receiving
        if is_new or abs(size - holder._progress_bytes) >= MIN_PROGRESS_BYTES:
            holder._progress_bytes = size
            holder.progress_at = now
            self._receiving.pop(holder, None)
            self._receiving[holder] = None

    def _reclaim_stalled(self, size, large_bytes, now):
        while self._receiving and (
            self._held_bytes + size > self._limit_bytes
            or self._large_bytes + large_bytes > self._large_limit_bytes
        ):
            holder = next(iter(self._receiving))
            if now - holder.progress_at < STALL_S:
                return
            del self._receiving[holder]
            self._reclaim(holder, now)

    def _reclaim_unread(self, size, now):
        while self._unread and self._held_bytes + size > self._limit_bytes:
            holder = next(iter(self._unread))
            del self._unread[holder]
            self._reclaim(holder, now)

    def _reclaim(self, holder, now):
        self.reclaimed_count += 1
        holder.reclaim(now)

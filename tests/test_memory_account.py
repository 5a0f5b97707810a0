"""The account of the memory that a process holds for others."""

from figpick.base._memory import (
    DEFAULT_MEMORY_BYTES,
    MIB,
    STALL_S,
    Holder,
    MemoryAccount,
    account_bytes,
)
from figpick.configuration import Limits

KIB = 1024


class Upload(Holder):
    """Holder that frees its memory when it is asked to."""

    def __init__(self, account):
        self._account = account
        self.is_reclaimed = False

    def reclaim(self, now):
        self.is_reclaimed = True
        self._account.forget(self)


def test_largest_default_body_fits_into_the_account_of_a_default_host():
    """Guards against a legal body that is refused although nothing else is held."""
    account = MemoryAccount(account_bytes(DEFAULT_MEMORY_BYTES))
    assert account.large_limit_bytes > Limits().body_bytes
    # What is not in the account is left for the process and the allocator.
    assert account_bytes(DEFAULT_MEMORY_BYTES) < DEFAULT_MEMORY_BYTES / 2 + 10 * MIB


def test_sender_without_progress_goes_first():
    """Guards against memory that stalled senders keep from those that send."""
    account = MemoryAccount(1000 * KIB)
    stalled, sending, newest = (Upload(account) for _ in range(3))
    assert account.hold(stalled, 400 * KIB, 400 * KIB, 0.0)
    assert account.hold(sending, 300 * KIB, 300 * KIB, 0.0)
    assert account.hold(sending, 400 * KIB, 400 * KIB, 2 * STALL_S)
    assert account.hold(newest, 400 * KIB, 400 * KIB, 2 * STALL_S)
    assert stalled.is_reclaimed
    assert not sending.is_reclaimed
    assert account.held_bytes == 800 * KIB


def test_bytes_that_trickle_are_no_progress():
    """Guards against senders that keep memory with a byte now and then."""
    account = MemoryAccount(1000 * KIB)
    trickling, newest = Upload(account), Upload(account)
    for second in range(4):
        assert account.hold(trickling, 500 * KIB + second, 500 * KIB, float(second))
    assert account.hold(newest, 500 * KIB, 500 * KIB, 4.0)
    assert trickling.is_reclaimed


def test_two_halves_do_not_wait_for_each_other():
    """Guards against two bodies that each hold half of the account for ever."""
    account = MemoryAccount(1000 * KIB)
    first, second = Upload(account), Upload(account)
    assert account.hold(first, 425 * KIB, 425 * KIB, 0.0)
    assert account.hold(second, 425 * KIB, 425 * KIB, 0.0)
    assert not account.hold(first, 426 * KIB, 426 * KIB, 0.1)
    account.forget(first)
    assert account.hold(second, 800 * KIB, 800 * KIB, 0.2)


def test_large_bodies_leave_room_for_small_requests():
    """Guards against ordinary callers that are refused beside large bodies."""
    account = MemoryAccount(1000 * KIB)
    for _ in range(8):
        account.hold(Upload(account), 100 * KIB, 100 * KIB, 0.0)
    assert not account.has_room_for_body(100 * KIB, 0.0)
    assert account.has_room(100 * KIB, 0.0)


def test_clients_that_do_not_read_are_cut_for_others():
    """Guards against responses that nobody reads and that fill the account."""
    account = MemoryAccount(1000 * KIB)
    unread = Upload(account)
    account.add(900 * KIB)
    account.set_unread(unread, True)
    unread.reclaim = lambda now: account.add(-900 * KIB)
    assert account.has_room(200 * KIB, 0.0)
    assert account.held_bytes == 0


def test_all_is_freed_in_the_end():
    """Guards against an account that fills up with what was freed."""
    account = MemoryAccount(1000 * KIB)
    uploads = [Upload(account) for _ in range(5)]
    for size in (10, 200, 100):
        for upload in uploads:
            account.hold(upload, size * KIB, size * KIB, float(size))
    for upload in uploads:
        account.forget(upload)
    assert account.held_bytes == 0
    assert account._large_bytes == 0

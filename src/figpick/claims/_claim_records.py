"""Records of claims, kept for ten minutes within fixed memory limits."""

RETENTION_S = 600.0
MAX_RECORDS = 60_000
MAX_STORED_RESPONSE_BYTES = 1024
MAX_TOTAL_RESPONSE_BYTES = 4 * 1024 * 1024
RESPONSE_OVERHEAD_BYTES = 200

CLAIMED = "claimed"
FINISHED = "finished"
RELEASED = "released"

# Claimant of a record on which the copies of different holders disagree.
CONTESTED = "*"


class Record:
    """Record of one claim at one holder.

    :param state: ``claimed``, ``finished`` or ``released``.
    :param claimant: identifies the claimant.
    :param claimed_at: monotonic seconds.
    :param deadline: deadline of the request, in monotonic seconds.

    ``response`` is the stored response of a finished request, or ``None``.
    """

    __slots__ = ("state", "claimant", "claimed_at", "deadline", "response")

    def __init__(self, state, claimant, claimed_at, deadline):
        self.state = state
        self.claimant = claimant
        self.claimed_at = claimed_at
        self.deadline = deadline
        self.response = None

    @property
    def expires_at(self):
        """Time in monotonic seconds after which the record is removed."""
        return max(self.claimed_at, self.deadline) + RETENTION_S


class RecordStore:
    """Counts and limits the records and stored responses of all groups of a holder.

    A group is a dict from key hash to :class:`Record`, oldest first.
    """

    def __init__(self):
        self.count = 0
        self.response_bytes = 0
        self._records_with_response = {}

    @property
    def is_full(self):
        """Whether no further claim can be recorded."""
        return self.count >= MAX_RECORDS

    def put(self, records, key_hash, record):
        """Stores a record in a group."""
        if records.pop(key_hash, None) is None:
            self.count += 1
        records[key_hash] = record

    def merge(self, records, entry, now):
        """Merges a record copied from another holder into a group.

        :param entry: copy made by :func:`pack`.
        :param now: monotonic seconds.
        """
        key_hash, state, claimant, age_s, remaining_s, response = entry
        known = records.get(key_hash)
        if known is None:
            record = Record(state, claimant, now - age_s, now + remaining_s)
            self.put(records, key_hash, record)
            self.store_response(record, response)
            return
        if state == RELEASED:
            return
        if known.state == RELEASED:
            known.state, known.claimant = state, claimant
        elif known.claimant != claimant:
            # Either claim may be the one that was granted, so neither claimant
            # may withdraw the record.
            known.claimant = CONTESTED
        known.claimed_at = max(known.claimed_at, now - age_s)
        known.deadline = max(known.deadline, now + remaining_s)
        if state == FINISHED:
            known.state = FINISHED
            self.store_response(known, response)

    def store_response(self, record, response):
        """Stores the response of a finished request and evicts the oldest responses.

        :param response: dict with ``status``, ``headers`` and ``body``, or ``None``.
        """
        if response is None or record.response is not None:
            return
        record.response = response
        self._records_with_response[id(record)] = record
        self.response_bytes += _response_size(response)
        while self.response_bytes > MAX_TOTAL_RESPONSE_BYTES:
            self._discard_response(next(iter(self._records_with_response.values())))

    def expire(self, records, now):
        """Removes the records of a group that are past their retention.

        :param now: monotonic seconds.
        """
        while records:
            key_hash = next(iter(records))
            if records[key_hash].expires_at > now:
                return
            self._discard_response(records.pop(key_hash))
            self.count -= 1

    def clear_group(self, records):
        """Removes all records of a group."""
        for record in records.values():
            self._discard_response(record)
        self.count -= len(records)
        records.clear()

    def _discard_response(self, record):
        if self._records_with_response.pop(id(record), None) is not None:
            self.response_bytes -= _response_size(record.response)
            record.response = None


def pack(key_hash, record, now):
    """Returns the copy of a record for another holder.

    :param now: monotonic seconds.
    """
    return [
        key_hash,
        record.state,
        record.claimant,
        now - record.claimed_at,
        record.deadline - now,
        record.response,
    ]


def _response_size(response):
    return len(response["body"]) + RESPONSE_OVERHEAD_BYTES

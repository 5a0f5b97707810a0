"""Which requests an upstream has refused, by which later refusals are judged."""

from ..base._expiring_table import ExpiringTable

# A call that waits for a host, which takes less, may come to one that has refused it.
REFUSAL_TTL_S = 60.0
MAX_REFUSALS = 4096


class RefusedRequests:
    """The ids of requests that the incarnations of an upstream have refused."""

    def __init__(self):
        self._refusals = ExpiringTable(REFUSAL_TTL_S, MAX_REFUSALS)

    def __repr__(self):
        return f"<RefusedRequests {len(self._refusals)}>"

    def add(self, call, echoed_id, now):
        """Records a refusal on the connection of a call.

        A faulty upstream sends an earlier refusal again. It is told from that of the
        call by the id of the request, unless the same upstream has refused the same
        request before.

        :param call: :class:`~figpick.nodes._messages.CallMessage`.
        :param echoed_id: id of the request in the refusal, or ``None``.
        :param now: monotonic seconds.
        :return: whether the refusal certainly belongs to the call.
        """
        if not call.request_id:
            return True
        if echoed_id != call.request_id:
            return False
        key = call.instance, call.request_id
        is_first = self._refusals.get(key, now) is None
        self._refusals.put(key, True, now)
        return is_first
